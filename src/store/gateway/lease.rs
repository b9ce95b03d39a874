//! Leases.

use {
    super::{Header, Int64},
    serde::{Deserialize, Serialize},
};

/// Grants a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// How long it lasts, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Names a lease to renew or to end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// The answer to a grant or a renewal; a lapsed lease has no time to live.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The version of the key space.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// How long it lasts, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// One message of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamMessage<T> {
    /// The message.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<T>,
    /// Why the stream ends.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<super::ErrorReply>,
}
