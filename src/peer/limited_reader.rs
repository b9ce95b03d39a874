//! A reader that limits the bytes a connection may send before login.

use {
    futures::io::AsyncRead,
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
};

/// The largest number of bytes that a connection may send before login.
const BEFORE_LOGIN_MAX_BYTES: usize = 4096;

/// A reader that limits the bytes a connection may send before login.
#[derive(Debug)]
pub(super) struct LimitedReader<R> {
    inner: R,
    logged_in: Rc<Cell<bool>>,
    read_bytes: usize,
}

impl<R> LimitedReader<R> {
    /// Wraps a reader; the limit applies until `logged_in` is set.
    pub(super) fn new(inner: R, logged_in: Rc<Cell<bool>>) -> Self {
        Self {
            inner,
            logged_in,
            read_bytes: 0,
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for LimitedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.logged_in.get() {
            return Pin::new(&mut self.inner).poll_read(context, buffer);
        }
        let left_bytes = BEFORE_LOGIN_MAX_BYTES.saturating_sub(self.read_bytes);
        if left_bytes == 0 {
            return Poll::Ready(Err(io::Error::other(
                "too many bytes were sent before login",
            )));
        }
        let end = buffer.len().min(left_bytes);
        let poll = Pin::new(&mut self.inner).poll_read(context, &mut buffer[..end]);
        if let Poll::Ready(Ok(count)) = poll {
            self.read_bytes += count;
        }
        poll
    }
}
