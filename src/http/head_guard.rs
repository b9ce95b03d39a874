//! A client connection that limits the bytes before the head of a response.

use {
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// The most bytes that are read before the head of a response is complete: the largest head, and as
/// much again for interim responses and what is read ahead of the body.
const BEFORE_BODY_MAX_BYTES: usize = 128 * 1024;

/// The most bytes of one read.
///
/// The HTTP library reads ahead of those who read a body, by twice what the last read returned.
const READ_MAX_BYTES: usize = 16 * 1024;

/// The bytes that may still be read on a connection, shared with the request that uses it.
///
/// The HTTP library limits each head, but reads and drops any number of interim responses.
#[derive(Debug, Clone)]
pub(crate) struct HeadAllowance(Arc<AtomicUsize>);

impl HeadAllowance {
    fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Begins the wait for the head of a response.
    pub(crate) fn begin(&self) {
        self.0.store(BEFORE_BODY_MAX_BYTES, Ordering::Relaxed);
    }

    /// Records that the head arrived; the body has limits of its own.
    pub(crate) fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that were read; returns whether they were allowed.
    fn spend(&self, bytes: usize) -> bool {
        let update = |left: usize| match left {
            usize::MAX => Some(left),
            left => left.checked_sub(bytes),
        };
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        self.0.fetch_update(set, fetch, update).is_ok()
    }
}

/// A connection whose reads fail when too many bytes arrive before the head of a response.
#[derive(Debug)]
pub(crate) struct HeadGuard<T> {
    inner: T,
    allowance: HeadAllowance,
}

impl<T> HeadGuard<T> {
    pub(crate) fn new(inner: T) -> Self {
        Self {
            inner,
            allowance: HeadAllowance::unlimited(),
        }
    }

    pub(crate) fn allowance(&self) -> HeadAllowance {
        self.allowance.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadGuard<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        if buffer.remaining() <= READ_MAX_BYTES {
            ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(READ_MAX_BYTES));
            ready!(Pin::new(&mut self.inner).poll_read(context, &mut part))?;
            let read = part.filled().len();
            buffer.advance(read);
        }
        let read = buffer.filled().len() - filled_before;
        match self.allowance.spend(read) {
            true => Poll::Ready(Ok(())),
            false => Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("more than {BEFORE_BODY_MAX_BYTES} bytes arrived before a response head"),
            ))),
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadGuard<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
