//! Records of streams as nodes send and store them.

use {
    super::StreamId,
    crate::traffic::{ServiceId, SoftwareVersion},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Streams that began at one software version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBatch {
    /// The service.
    pub service: ServiceId,
    /// The software version.
    pub software: SoftwareVersion,
    /// The streams.
    pub ids: Vec<StreamId>,
}

impl StreamBatch {
    /// Encodes batches for a peer or the store.
    pub fn encode(batches: &[Self]) -> Bytes {
        postcard::to_stdvec(batches).unwrap_or_default().into()
    }

    /// Decodes batches; `None` if the bytes are not valid.
    pub fn decode(bytes: &[u8]) -> Option<Vec<Self>> {
        postcard::from_bytes(bytes).ok()
    }
}
