//! Messages of transactions.

use {
    super::{Base64, Header, Int64, RangeRequest, RangeResponse},
    serde::{Deserialize, Serialize},
};

/// A request to run a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<CompareRequest>,
    /// The operations that run when all conditions hold.
    pub success: Vec<RequestOp>,
    /// The operations that run when a condition does not hold.
    pub failure: Vec<RequestOp>,
}

/// The property of a key that a condition compares.
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

/// The comparison that a condition requires.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// The actual value equals the expected one.
    #[default]
    Equal,
}

/// A condition of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompareRequest {
    /// The required comparison.
    pub result: CompareResult,
    /// The property to compare.
    pub target: CompareTarget,
    /// The key.
    pub key: Base64,
    /// The expected version if the target is `Create`.
    pub create_revision: Int64,
    /// The expected version if the target is `Mod`.
    pub mod_revision: Int64,
}

/// One operation of a transaction; exactly one field is set.
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

/// A write of a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// The lease to which the key is bound, or zero for none.
    pub lease: Int64,
}

/// A removal of the keys from `key` up to but not including `range_end`.
///
/// Removes `key` alone if `range_end` is empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Base64,
    /// The first key after the range.
    pub range_end: Base64,
}

/// The response to a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The version of the key space after the transaction.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The results of the operations, in their order.
    pub responses: Vec<ResponseOp>,
}

/// The result of one operation; only reads have content.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// The result of a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}
