//! The identifier of a stream.

use {
    crate::quarantine::RequestDigest,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identifies a stream by a digest of the id of the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the identifier of the stream that an attempt began; `None` without an id.
    pub fn of(request_id: &[u8]) -> Option<Self> {
        let is_named = !request_id.is_empty();
        is_named.then(|| Self(RequestDigest::of(&[request_id]).0))
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
