//! The records of the audit log of orders, and reading them from the store.

use {
    crate::{
        engine::Action,
        store::{Entry, Store, StoreError, keys::AUDIT_PREFIX, prefix_end},
        units::{Epoch, OrderId, RunnerName, VmName},
    },
    serde::{Deserialize, Serialize},
};

/// The number of batches in one read of the store.
const BATCHES_PER_READ: usize = 16;

/// A step in the life of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditEvent {
    /// The order was written to the runner record and is about to be sent.
    Reserved,
    /// The engine finished the order, or the order can have no further effect.
    Settled,
}

/// One record of the audit log of orders.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The time of the event, in milliseconds since 1970.
    pub at_ms: u64,
    /// The VM that wrote the record.
    pub vm: VmName,
    /// The runner that the order is for.
    pub runner: RunnerName,
    /// The fencing epoch of the runner's owner.
    pub epoch: Epoch,
    /// The order's id.
    pub order: OrderId,
    /// The order's action.
    pub action: Action,
    /// The step that the order reached.
    pub event: AuditEvent,
    /// The planning decision behind the order, if known.
    pub decision: Option<String>,
}

/// Reads the newest records of all data centres, oldest first.
///
/// # Errors
///
/// Fails when the store does.
pub async fn read_audit(store: &dyn Store, limit: usize) -> Result<Vec<AuditRecord>, StoreError> {
    let end = prefix_end(AUDIT_PREFIX);
    let mut start = AUDIT_PREFIX.to_owned();
    let mut records: Vec<AuditRecord> = Vec::new();
    loop {
        let page = store.range_between(&start, &end, BATCHES_PER_READ).await?;
        records.extend(page.entries.iter().flat_map(decode_batch));
        records.sort_by_key(|record| record.at_ms);
        records.drain(..records.len().saturating_sub(limit));
        match page.entries.last() {
            Some(last) if page.more => start = format!("{}\0", last.key),
            _ => return Ok(records),
        }
    }
}

/// Decodes a batch; the cursor key and malformed entries yield none.
fn decode_batch(entry: &Entry) -> Vec<AuditRecord> {
    serde_json::from_slice(&entry.value).unwrap_or_default()
}
