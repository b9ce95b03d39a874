//! The records of the audit trail of orders, and how they are read.

use {
    crate::{
        engine::Action,
        store::{Entry, Store, StoreError, keys::AUDIT_PREFIX, prefix_end},
        units::{Epoch, OrderId, RunnerName, VmName},
    },
    serde::{Deserialize, Serialize},
};

/// Batches that are read at once.
const PAGE_BATCHES: usize = 16;

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditEvent {
    /// The order was written ahead and is about to be sent.
    Reserved,
    /// The engine finished the order, or it is known to have no further effect.
    Settled,
}

/// One record of the audit trail of orders.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// The VM that wrote it.
    pub vm: VmName,
    /// The runner.
    pub runner: RunnerName,
    /// The fencing number of the runner's owner.
    pub epoch: Epoch,
    /// The order.
    pub order: OrderId,
    /// The action of the order.
    pub action: Action,
    /// What became of it.
    pub event: AuditEvent,
    /// The decision that the order follows from, if it is known here.
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
        let page = store.range_between(&start, &end, PAGE_BATCHES).await?;
        records.extend(page.entries.iter().flat_map(batch_of));
        records.sort_by_key(|record| record.at_ms);
        records.drain(..records.len().saturating_sub(limit));
        match page.entries.last() {
            Some(last) if page.more => start = format!("{}\0", last.key),
            _ => return Ok(records),
        }
    }
}

/// Reads a batch; the cursor of a ring holds none.
fn batch_of(entry: &Entry) -> Vec<AuditRecord> {
    serde_json::from_slice(&entry.value).unwrap_or_default()
}
