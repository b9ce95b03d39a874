//! Connections that can be made to go silent while new ones work.

use {
    hyper::rt::{Read, ReadBufCursor, Write},
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
    },
};

/// Makes the connections of a server go silent for good.
#[derive(Debug, Clone, Default)]
pub struct ConnectionSwitch {
    silenced: Arc<AtomicU64>,
}

impl ConnectionSwitch {
    /// Silences all connections that are open now; they stay open and new ones work.
    pub fn silence(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    fn count(&self) -> u64 {
        self.silenced.load(Ordering::SeqCst)
    }
}

/// A connection that carries nothing any more once its switch was thrown.
#[derive(Debug)]
pub(super) struct SwitchedIo<T> {
    io: T,
    switch: ConnectionSwitch,
    opened_at: u64,
}

impl<T> SwitchedIo<T> {
    pub(super) fn new(io: T, switch: ConnectionSwitch) -> Self {
        Self {
            io,
            opened_at: switch.count(),
            switch,
        }
    }

    fn is_silent(&self) -> bool {
        self.switch.count() != self.opened_at
    }
}

impl<T: Read + Unpin> Read for SwitchedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl<T: Write + Unpin> Write for SwitchedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_write_vectored(context, buffers)
    }
}
