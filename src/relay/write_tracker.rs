//! Tracks whether the kernel accepted all bytes of a request.

use {
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Whether a connection has bytes left to write.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingWrites(Arc<AtomicBool>);

impl PendingWrites {
    /// Returns whether the last write left bytes behind.
    pub(super) fn is_pending(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection that tracks whether its writes were complete.
#[derive(Debug)]
pub(super) struct WriteTracker {
    stream: TcpStream,
    pending_writes: PendingWrites,
}

impl WriteTracker {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            pending_writes: PendingWrites::default(),
        }
    }

    pub(super) fn pending_writes(&self) -> PendingWrites {
        self.pending_writes.clone()
    }

    fn record_write(
        &self,
        offered_bytes: usize,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let is_complete = matches!(&written, Poll::Ready(Ok(bytes)) if *bytes == offered_bytes);
        self.pending_writes.0.store(!is_complete, Ordering::Relaxed);
        written
    }
}

impl AsyncRead for WriteTracker {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteTracker {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(bytes.len(), written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let offered_bytes = parts.iter().map(|part| part.len()).sum();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_write(offered_bytes, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
