//! A connection whose stalled writes time out.

use {
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::{self, Instant, Sleep},
    },
};

/// A connection whose writes fail when the peer accepts no bytes for too long.
#[derive(Debug)]
pub(crate) struct StallGuard<T> {
    inner: T,
    timeout: Duration,
    deadline: Pin<Box<Sleep>>,
    stalled: bool,
}

impl<T> StallGuard<T> {
    pub(crate) fn new(inner: T, timeout: Duration) -> Self {
        Self {
            inner,
            timeout,
            deadline: Box::pin(time::sleep(timeout)),
            stalled: false,
        }
    }

    /// Returns the result of a write, or an error if writes have been pending for too long.
    fn check_stall<R>(
        &mut self,
        written: Poll<io::Result<R>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<R>> {
        if written.is_ready() {
            self.stalled = false;
            return written;
        }
        if !self.stalled {
            self.stalled = true;
            self.deadline.as_mut().reset(Instant::now() + self.timeout);
        }
        ready!(self.deadline.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for StallGuard<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for StallGuard<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check_stall(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.check_stall(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        self.check_stall(flushed, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
