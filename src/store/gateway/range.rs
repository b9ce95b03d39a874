//! Range reads.

use {
    super::{Base64, Header, Int64},
    serde::{Deserialize, Serialize},
};

/// Reads the keys from `key` up to and without `range_end`, or `key` alone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64,
    /// The first key after the range.
    pub range_end: Base64,
    /// The most keys to return; zero means all.
    pub limit: Int64,
}

/// The answer to a range read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The version that the read saw.
    pub header: Header,
    /// The keys found, in order.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit cut off further keys.
    pub more: bool,
}

/// A key and its value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The version that created the key.
    pub create_revision: Int64,
    /// The version that last wrote the key.
    pub mod_revision: Int64,
    /// The value.
    pub value: Base64,
}
