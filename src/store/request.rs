//! Encodes and counts the calls to the key-value service.

use {super::StoreError, crate::telemetry::STORE_CALLS, bytes::Bytes, serde::Serialize};

/// Increments the metric of calls to the key-value service.
pub(super) fn count_call(kind: &'static str) {
    metrics::counter!(STORE_CALLS, "kind" => kind).increment(1);
}

/// Encodes a request as JSON.
pub(super) fn encode_json(request: &impl Serialize) -> Result<Bytes, StoreError> {
    match serde_json::to_vec(request) {
        Ok(text) => Ok(text.into()),
        Err(cause) => Err(StoreError::Refused(cause.to_string())),
    }
}
