//! Messages that grant, renew and revoke leases, and the envelope of streamed messages.

use {
    super::{Header, Int64},
    serde::{Deserialize, Serialize},
};

/// A request to grant a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// The requested time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// A request to renew or revoke a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The identifier of the lease.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// The response to a grant or a renewal; the time to live of an expired lease is zero.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The version of the key space at the response.
    pub header: Header,
    /// The identifier of the lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// The remaining time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// One message of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamMessage<T> {
    /// The message.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<T>,
    /// The error that ends the stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<super::ErrorReply>,
}
