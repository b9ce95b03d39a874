//! Conversions between the gateway's messages and the calls of the `Store` trait.

use {
    super::{
        Base64, CompareRequest, CompareResult, CompareTarget, DeleteRangeRequest, EventType, Int64,
        KeyValue, PutRequest, RangeRequest, RequestOp, TxnRequest, WatchEvent,
    },
    crate::store::{Change, Compare, Entry, LeaseId, Op, StoreVersion, Txn},
    std::str,
    thiserror::Error,
};

/// Why a message cannot be expressed in the types of the `Store` trait.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GatewayError {
    /// A key is not UTF-8 text.
    #[error("a key is not UTF-8 text")]
    KeyNotText,
    /// A condition on an unsupported target.
    #[error("a condition on this target is not supported")]
    CompareUnsupported,
    /// An operation is empty or not supported.
    #[error("an operation is empty or not supported")]
    OpUnsupported,
}

impl Base64 {
    /// Decodes the bytes as a key.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not UTF-8 text.
    pub fn to_key(&self) -> Result<String, GatewayError> {
        let text = str::from_utf8(&self.0).map_err(|_| GatewayError::KeyNotText)?;
        Ok(text.to_owned())
    }
}

impl From<Entry> for KeyValue {
    fn from(entry: Entry) -> Self {
        Self {
            key: Base64::from_text(&entry.key),
            create_revision: Int64(entry.created.0),
            mod_revision: Int64(entry.modified.0),
            value: Base64(entry.value),
        }
    }
}

impl TryFrom<KeyValue> for Entry {
    type Error = GatewayError;

    fn try_from(kv: KeyValue) -> Result<Self, GatewayError> {
        Ok(Self {
            key: kv.key.to_key()?,
            value: kv.value.0,
            created: StoreVersion(kv.create_revision.0),
            modified: StoreVersion(kv.mod_revision.0),
        })
    }
}

impl From<Change> for WatchEvent {
    fn from(change: Change) -> Self {
        match change {
            Change::Put(entry) => Self {
                event_type: EventType::Put,
                kv: entry.into(),
            },
            Change::Delete { key, version } => Self {
                event_type: EventType::Delete,
                kv: KeyValue {
                    key: Base64::from_text(&key),
                    mod_revision: Int64(version.0),
                    ..KeyValue::default()
                },
            },
        }
    }
}

impl TryFrom<WatchEvent> for Change {
    type Error = GatewayError;

    fn try_from(event: WatchEvent) -> Result<Self, GatewayError> {
        match event.event_type {
            EventType::Put => Ok(Self::Put(event.kv.try_into()?)),
            EventType::Delete => Ok(Self::Delete {
                key: event.kv.key.to_key()?,
                version: StoreVersion(event.kv.mod_revision.0),
            }),
        }
    }
}

impl From<Compare> for CompareRequest {
    fn from(compare: Compare) -> Self {
        match compare {
            Compare::Absent(key) => Self {
                target: CompareTarget::Create,
                key: Base64::from_text(&key),
                ..Self::default()
            },
            Compare::ModifiedAt(key, version) => Self {
                target: CompareTarget::Mod,
                key: Base64::from_text(&key),
                mod_revision: Int64(version.0),
                ..Self::default()
            },
        }
    }
}

impl TryFrom<CompareRequest> for Compare {
    type Error = GatewayError;

    fn try_from(request: CompareRequest) -> Result<Self, GatewayError> {
        let CompareResult::Equal = request.result;
        let key = request.key.to_key()?;
        match request.target {
            CompareTarget::Create if request.create_revision.0 == 0 => Ok(Self::Absent(key)),
            CompareTarget::Mod => Ok(Self::ModifiedAt(key, StoreVersion(request.mod_revision.0))),
            _ => Err(GatewayError::CompareUnsupported),
        }
    }
}

impl From<Op> for RequestOp {
    fn from(op: Op) -> Self {
        match op {
            Op::Put { key, value, lease } => Self {
                request_put: Some(PutRequest {
                    key: Base64::from_text(&key),
                    value: Base64(value),
                    lease: Int64(lease.map_or(0, |id| id.0)),
                }),
                ..Self::default()
            },
            Op::Delete { key } => Self::delete_range(&key, ""),
            Op::DeleteRange { start, end } => Self::delete_range(&start, &end),
            Op::Get { key } => Self {
                request_range: Some(RangeRequest {
                    key: Base64::from_text(&key),
                    ..RangeRequest::default()
                }),
                ..Self::default()
            },
        }
    }
}

impl RequestOp {
    fn delete_range(start: &str, end: &str) -> Self {
        Self {
            request_delete_range: Some(DeleteRangeRequest {
                key: Base64::from_text(start),
                range_end: Base64::from_text(end),
            }),
            ..Self::default()
        }
    }
}

impl TryFrom<RequestOp> for Op {
    type Error = GatewayError;

    fn try_from(request: RequestOp) -> Result<Self, GatewayError> {
        let RequestOp {
            request_put,
            request_delete_range,
            request_range,
        } = request;
        match (request_put, request_delete_range, request_range) {
            (Some(put), None, None) => Ok(Self::Put {
                key: put.key.to_key()?,
                value: put.value.0,
                lease: Some(LeaseId(put.lease.0)).filter(|id| id.0 != 0),
            }),
            (None, Some(delete), None) if delete.range_end.0.is_empty() => Ok(Self::Delete {
                key: delete.key.to_key()?,
            }),
            (None, Some(delete), None) => Ok(Self::DeleteRange {
                start: delete.key.to_key()?,
                end: delete.range_end.to_key()?,
            }),
            (None, None, Some(range)) if range.range_end.0.is_empty() => Ok(Self::Get {
                key: range.key.to_key()?,
            }),
            _ => Err(GatewayError::OpUnsupported),
        }
    }
}

impl From<Txn> for TxnRequest {
    fn from(txn: Txn) -> Self {
        Self {
            compare: txn.compare.into_iter().map(Into::into).collect(),
            success: txn.then.into_iter().map(Into::into).collect(),
            failure: txn.otherwise.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<TxnRequest> for Txn {
    type Error = GatewayError;

    fn try_from(request: TxnRequest) -> Result<Self, GatewayError> {
        let ops = |ops: Vec<RequestOp>| ops.into_iter().map(Op::try_from);
        let compare = request.compare.into_iter().map(Compare::try_from);
        Ok(Self {
            compare: compare.collect::<Result<_, _>>()?,
            then: ops(request.success).collect::<Result<_, _>>()?,
            otherwise: ops(request.failure).collect::<Result<_, _>>()?,
        })
    }
}
