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
pub(super) struct Unwritten(Arc<AtomicBool>);

impl Unwritten {
    /// Returns whether the last write left bytes behind.
    pub(super) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection that tracks whether its writes were complete.
#[derive(Debug)]
pub(super) struct WriteWatch {
    stream: TcpStream,
    unwritten: Unwritten,
}

impl WriteWatch {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unwritten: Unwritten::default(),
        }
    }

    pub(super) fn unwritten(&self) -> Unwritten {
        self.unwritten.clone()
    }

    fn note(
        &self,
        offered_bytes: usize,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let whole = matches!(&written, Poll::Ready(Ok(bytes)) if *bytes == offered_bytes);
        self.unwritten.0.store(!whole, Ordering::Relaxed);
        written
    }
}

impl AsyncRead for WriteWatch {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteWatch {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note(bytes.len(), written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let offered_bytes = parts.iter().map(|part| part.len()).sum();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.note(offered_bytes, written)
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
