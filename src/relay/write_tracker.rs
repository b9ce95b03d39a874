//! Checks a request before its first byte, and tracks whether the kernel accepted all bytes.

use {
    super::{FirstWrite, WithheldCause},
    std::{
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::Instant,
    },
};

/// How far the request on a connection is written.
#[derive(Debug, Default)]
enum WriteProgress {
    /// No byte is written yet; the first one needs a check.
    Due(FirstWrite),
    /// The check failed, and the connection accepts no bytes any more.
    Withheld(WithheldCause),
    /// The first byte may have been written; whether the last write left bytes behind.
    #[default]
    Complete,
    Partial,
}

impl WriteProgress {
    /// Checks the request if its first byte is about to be written.
    fn check(&mut self) -> io::Result<()> {
        let checked = match self {
            Self::Due(first) => first.check(Instant::now()),
            Self::Withheld(cause) => Err(*cause),
            Self::Complete | Self::Partial => Ok(()),
        };
        checked.map_err(|cause| {
            *self = Self::Withheld(cause);
            io::Error::other("the request is withheld")
        })
    }

    fn record(&mut self, offered_bytes: usize, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(bytes)) if *bytes == offered_bytes => *self = Self::Complete,
            Poll::Ready(Ok(bytes)) if *bytes > 0 => *self = Self::Partial,
            // Nothing was written: the check of a first write is due again.
            _ if matches!(self, Self::Due(_)) => {}
            _ => *self = Self::Partial,
        }
    }
}

/// The progress of the writes to a connection, shared with the request that uses it.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestWrites(Arc<Mutex<WriteProgress>>);

impl RequestWrites {
    /// Begins a request, whose first byte is checked.
    pub(super) fn begin(&self, first: FirstWrite) {
        *self.lock() = WriteProgress::Due(first);
    }

    /// Returns whether the last write left bytes behind.
    pub(super) fn is_pending(&self) -> bool {
        !matches!(*self.lock(), WriteProgress::Complete)
    }

    /// Returns why the request was not written, if its check failed.
    pub(super) fn withheld(&self) -> Option<WithheldCause> {
        match *self.lock() {
            WriteProgress::Withheld(cause) => Some(cause),
            _ => None,
        }
    }

    /// Lets the request not be written any more; returns whether no byte of it was.
    pub(super) fn withhold(&self) -> bool {
        let mut progress = self.lock();
        if let WriteProgress::Due(_) = *progress {
            *progress = WriteProgress::Withheld(WithheldCause::TooLate);
        }
        matches!(*progress, WriteProgress::Withheld(_))
    }

    fn lock(&self) -> MutexGuard<'_, WriteProgress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that checks and tracks what is written to it.
#[derive(Debug)]
pub(super) struct WriteTracker {
    stream: TcpStream,
    writes: RequestWrites,
}

impl WriteTracker {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            writes: RequestWrites::default(),
        }
    }

    pub(super) fn writes(&self) -> RequestWrites {
        self.writes.clone()
    }

    /// Writes some bytes by `write` unless the request is withheld.
    fn write_checked(
        &mut self,
        offered_bytes: usize,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        // Locked until the bytes are written, so that a request is not withheld meanwhile.
        let mut progress = self.writes.lock();
        progress.check()?;
        let written = write(Pin::new(&mut self.stream));
        progress.record(offered_bytes, &written);
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
        self.write_checked(bytes.len(), |stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let offered_bytes = parts.iter().map(|part| part.len()).sum();
        self.write_checked(offered_bytes, |stream| {
            stream.poll_write_vectored(context, parts)
        })
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
