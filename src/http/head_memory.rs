//! A server's connection that counts the memory of long request heads.

use {
    crate::request_memory::{Holder, MemoryShare, RequestMemory, UNCOUNTED_BYTES},
    hyper::{HeaderMap, Request, Version},
    std::{
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// The memory of a header beside its text.
const HEADER_BYTES: usize = 64;

/// The most bytes of one read.
///
/// The HTTP library reads ahead of those who read a body, by twice what the last read returned.
const READ_MAX_BYTES: usize = 16 * 1024;

/// What a connection reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The head of a request, of which this much was read.
    Head { read_bytes: usize },
    /// The body of a request, which is counted by those who read it.
    Body,
}

#[derive(Debug)]
struct Count {
    phase: Phase,
    share: MemoryShare,
}

/// The count of a connection's heads, shared with the requests on it.
#[derive(Debug, Clone)]
pub(crate) struct HeadCount(Arc<Mutex<Count>>);

impl HeadCount {
    /// Creates the count of a new connection.
    pub(crate) fn new(memory: &RequestMemory) -> Self {
        Self(Arc::new(Mutex::new(Count {
            phase: Phase::Head { read_bytes: 0 },
            share: memory.share(Holder::Arrived),
        })))
    }

    /// Notes that a head arrived, which is held until [`Self::end_request`].
    ///
    /// Requests of HTTP/2 overlap, so that their heads are counted by [`share_of_head`] instead.
    pub(crate) fn begin_request(&self) {
        self.lock().phase = Phase::Body;
    }

    /// Notes that the next head on the connection may come.
    pub(crate) fn end_request(&self) {
        let mut count = self.lock();
        count.phase = Phase::Head { read_bytes: 0 };
        count.share.try_resize(0);
    }

    /// Counts bytes that were read; returns whether there is memory for them.
    fn add(&self, bytes: usize) -> bool {
        let mut count = self.lock();
        let Phase::Head { read_bytes } = &mut count.phase else {
            return true;
        };
        *read_bytes += bytes;
        let buffer_bytes = match *read_bytes <= UNCOUNTED_BYTES {
            true => *read_bytes,
            // The HTTP library doubles its buffer.
            false => 2 * *read_bytes,
        };
        count.share.try_resize(buffer_bytes)
    }

    fn lock(&self) -> MutexGuard<'_, Count> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the share of the head of an HTTP/2 request; `Err` without memory for it, and a share
/// that holds nothing for other versions.
pub(crate) fn share_of_head<B>(
    memory: &RequestMemory,
    request: &Request<B>,
) -> Result<MemoryShare, ()> {
    let mut share = memory.share(Holder::Arrived);
    let is_counted = request.version() == Version::HTTP_2;
    match !is_counted || share.try_resize(head_bytes(request.headers())) {
        true => Ok(share),
        false => Err(()),
    }
}

fn head_bytes(headers: &HeaderMap) -> usize {
    let lengths = headers.iter();
    let lengths = lengths.map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    lengths.sum()
}

/// A connection whose reads are short, and fail when there is no memory for the head of a request.
#[derive(Debug)]
pub(crate) struct HeadMemory<T> {
    inner: T,
    /// `None` if no head is long enough to be counted.
    count: Option<HeadCount>,
}

impl<T> HeadMemory<T> {
    pub(crate) fn new(inner: T, count: Option<HeadCount>) -> Self {
        Self { inner, count }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadMemory<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let Some(count) = &this.count else {
            return Pin::new(&mut this.inner).poll_read(context, buffer);
        };
        let size_bytes = buffer.remaining().min(READ_MAX_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size_bytes));
        ready!(Pin::new(&mut this.inner).poll_read(context, &mut part))?;
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        match count.add(read_bytes) {
            true => Poll::Ready(Ok(())),
            false => Poll::Ready(Err(io::ErrorKind::OutOfMemory.into())),
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadMemory<T> {
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
