//! The body type of requests and responses.

use {
    super::BodyError,
    bytes::Bytes,
    futures::{Stream, StreamExt, stream::BoxStream},
    hyper::body::{Frame, Incoming, SizeHint},
    std::{
        fmt,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A body that is buffered, forwarded or generated while it is sent.
pub enum Body {
    /// Buffered bytes.
    Full(Bytes),
    /// The body of a message that is forwarded.
    Incoming(Incoming),
    /// Chunks that are generated one by one; an error aborts the message.
    Stream(BoxStream<'static, Result<Bytes, BodyError>>),
}

impl Body {
    /// Returns the body with a guard that is dropped once all of it was handed over.
    pub(crate) fn guarded(self, guard: impl Send + 'static) -> Self {
        match self {
            Self::Stream(stream) => Self::Stream(
                stream
                    .inspect(move |_| {
                        let _ = &guard;
                    })
                    .boxed(),
            ),
            full => full,
        }
    }

    /// Creates a body without content.
    pub fn empty() -> Self {
        Self::Full(Bytes::new())
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(bytes) => write!(f, "Full({} bytes)", bytes.len()),
            Self::Incoming(_) => f.write_str("Incoming"),
            Self::Stream(_) => f.write_str("Stream"),
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Full(bytes)
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Full(text.into())
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Incoming(incoming) => Pin::new(incoming)
                .poll_frame(context)
                .map_err(|cause| BodyError(cause.to_string())),
            Self::Stream(stream) => Pin::new(stream)
                .poll_next(context)
                .map(|next| next.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_empty(),
            Self::Incoming(incoming) => incoming.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Incoming(incoming) => incoming.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
