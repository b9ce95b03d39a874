//! Transactions.

use {
    super::{Base64, Header, Int64, RangeRequest, RangeResponse},
    serde::{Deserialize, Serialize},
};

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<CompareRequest>,
    /// What runs when all conditions hold.
    pub success: Vec<RequestOp>,
    /// What runs otherwise.
    pub failure: Vec<RequestOp>,
}

/// What a condition looks at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// The number of writes to the key.
    #[default]
    Version,
    /// The version that created the key.
    Create,
    /// The version that last wrote the key.
    Mod,
}

/// How a condition compares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// Both are equal.
    #[default]
    Equal,
}

/// A condition.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompareRequest {
    /// How it compares.
    pub result: CompareResult,
    /// What it looks at.
    pub target: CompareTarget,
    /// The key.
    pub key: Base64,
    /// The version expected when the target is `Create`.
    pub create_revision: Int64,
    /// The version expected when the target is `Mod`.
    pub mod_revision: Int64,
}

/// One operation; one of the fields is set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A write.
    #[serde(skip_serializing_if = "Option::is_none", alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// A removal.
    #[serde(skip_serializing_if = "Option::is_none", alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteRangeRequest>,
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none", alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
}

/// Writes a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// The lease, or zero.
    pub lease: Int64,
}

/// Removes the keys from `key` up to and without `range_end`, or `key` alone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Base64,
    /// The first key after the range.
    pub range_end: Base64,
}

/// The answer to a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The version after it.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// One answer per operation.
    pub responses: Vec<ResponseOp>,
}

/// The answer to one operation; only reads carry content.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// What a read found.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}
