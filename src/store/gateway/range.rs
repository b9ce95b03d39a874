//! Messages of range reads.

use {
    super::{Base64, Header, Int64},
    serde::{Deserialize, Serialize},
};

/// A request to read the keys from `key` up to but not including `range_end`.
///
/// Reads `key` alone if `range_end` is empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64,
    /// The first key after the range.
    pub range_end: Base64,
    /// The largest number of keys to return; zero means all.
    pub limit: Int64,
}

/// The response to a range read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The version of the key space at the read.
    pub header: Header,
    /// The entries found, sorted by key.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit cut off further entries.
    pub more: bool,
}

/// A key with its value and versions.
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
