//! Reads the bodies of requests within the memory for them.

use {
    super::{Holder, MemoryShare, NoMemory, RequestMemory, hold},
    crate::http::ReadError,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    std::time::Duration,
    tokio::time,
};

impl From<NoMemory> for ReadError {
    fn from(_: NoMemory) -> Self {
        Self::NoMemory
    }
}

impl RequestMemory {
    /// Reads the complete body of a request; its memory is held until the result is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, arrives too slowly or ends early, or if there is no memory
    /// for it.
    pub async fn read_body(
        &self,
        body: Incoming,
        limit_bytes: usize,
        timeout: Duration,
    ) -> Result<Bytes, ReadError> {
        let (bytes, share) = self.read_shared(body, limit_bytes, timeout).await?;
        Ok(match bytes {
            Read::AtOnce(bytes) => hold(bytes, share),
            Read::Joined(bytes) => hold(bytes, share),
        })
    }

    /// Reads the complete body of a request like [`Self::read_body`], and returns its share, which
    /// may count for longer than the body.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::read_body`] does.
    pub async fn read_body_with_share(
        &self,
        body: Incoming,
        limit_bytes: usize,
        timeout: Duration,
    ) -> Result<(Bytes, MemoryShare), ReadError> {
        let (bytes, share) = self.read_shared(body, limit_bytes, timeout).await?;
        Ok((bytes.into(), share))
    }

    async fn read_shared(
        &self,
        body: Incoming,
        limit_bytes: usize,
        timeout: Duration,
    ) -> Result<(Read, MemoryShare), ReadError> {
        let hint = body.size_hint();
        if hint.lower() > limit_bytes as u64 {
            return Err(ReadError::TooLarge { limit_bytes });
        }
        let announced_bytes = hint.exact().and_then(|bytes| usize::try_from(bytes).ok());
        let reader = BodyReader {
            limit_bytes,
            end_bytes: announced_bytes.unwrap_or(limit_bytes),
            share: self.share(Holder::Arriving),
            buffer: Vec::new(),
        };
        match time::timeout(timeout, reader.read(body)).await {
            Ok(result) => result,
            Err(_) => Err(ReadError::TooSlow),
        }
    }
}

/// The bytes of a body.
#[derive(Debug)]
enum Read {
    /// As they came, in one part.
    AtOnce(Bytes),
    Joined(Vec<u8>),
}

impl From<Read> for Bytes {
    fn from(read: Read) -> Self {
        match read {
            Read::AtOnce(bytes) => bytes,
            Read::Joined(bytes) => bytes.into(),
        }
    }
}

/// Reads one body.
#[derive(Debug)]
struct BodyReader {
    limit_bytes: usize,
    /// The most bytes that may come.
    end_bytes: usize,
    share: MemoryShare,
    buffer: Vec<u8>,
}

impl BodyReader {
    async fn read(mut self, mut body: Incoming) -> Result<(Read, MemoryShare), ReadError> {
        let mut first = Bytes::new();
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = self.share.gives_way() => return Err(ReadError::NoMemory),
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|cause| ReadError::Cut(cause.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if first.is_empty() && self.buffer.is_empty() && body.is_end_stream() {
                // The usual small body, which comes at once.
                first = data;
                continue;
            }
            self.push(&first).await?;
            first = Bytes::new();
            self.push(&data).await?;
        }
        self.share.arrived();
        if !first.is_empty() {
            self.share.resize(first.len(), first.len()).await?;
            return Ok((Read::AtOnce(first), self.share));
        }
        Ok((Read::Joined(self.buffer), self.share))
    }

    /// Appends bytes; the buffer is counted before it grows.
    ///
    /// The buffer that it replaces is not: bytes are moved at once, so there is one on a thread.
    async fn push(&mut self, data: &[u8]) -> Result<(), ReadError> {
        let needed_bytes = self.buffer.len() + data.len();
        if needed_bytes > self.limit_bytes {
            return Err(ReadError::TooLarge {
                limit_bytes: self.limit_bytes,
            });
        }
        let before_bytes = self.buffer.capacity();
        if needed_bytes > before_bytes {
            let doubled_bytes = (2 * before_bytes).min(self.end_bytes);
            let size_bytes = needed_bytes.max(doubled_bytes);
            let received_bytes = self.buffer.len();
            self.share.resize(size_bytes, received_bytes).await?;
            self.buffer.reserve_exact(size_bytes - received_bytes);
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }
}
