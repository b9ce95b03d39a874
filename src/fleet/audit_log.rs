//! The audit log of orders: one bounded ring of batches per data centre in the store.

use {
    super::{AuditRecord, record_io::version_condition},
    crate::{
        store::{Op, SharedStore, StoreError, StoreVersion, Txn, keys::AUDIT_PREFIX},
        units::DataCentreName,
    },
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// The number of batches in the ring of a data centre.
const RING_BATCHES: u64 = 256;
/// The most records in one batch.
const BATCH_RECORDS_MAX: usize = 256;
/// The most records queued for the store; beyond that, the oldest is dropped.
const QUEUED_RECORDS_MAX: usize = 4096;
/// The key, below the data centre's prefix, of the number of batches written so far.
const CURSOR_NAME: &str = "cursor";

/// Queues audit records in memory and writes them to the store in batches.
pub struct AuditLog {
    store: SharedStore,
    data_centre: DataCentreName,
    queued: Mutex<Vec<AuditRecord>>,
}

impl AuditLog {
    /// Creates this process's audit log for a data centre.
    pub fn new(store: SharedStore, data_centre: DataCentreName) -> Self {
        Self {
            store,
            data_centre,
            queued: Mutex::default(),
        }
    }

    /// Queues a record for the next batch.
    pub fn append(&self, record: AuditRecord) {
        let mut queued = self.queued();
        if queued.len() >= QUEUED_RECORDS_MAX {
            queued.remove(0);
        }
        queued.push(record);
    }

    /// Writes the next batch, if records are queued.
    ///
    /// # Errors
    ///
    /// Fails when the store does; the records stay queued for the next call.
    pub async fn flush(&self) -> Result<(), StoreError> {
        let batch: Vec<_> = self
            .queued()
            .iter()
            .take(BATCH_RECORDS_MAX)
            .cloned()
            .collect();
        if batch.is_empty() {
            return Ok(());
        }
        if self.write_batch(&batch).await? {
            let mut queued = self.queued();
            let written = batch.len().min(queued.len());
            queued.drain(..written);
        }
        Ok(())
    }

    /// Writes a batch to the ring's next slot; returns whether no other process wrote meanwhile.
    async fn write_batch(&self, batch: &[AuditRecord]) -> Result<bool, StoreError> {
        let cursor_key = self.key(CURSOR_NAME);
        let read = Txn {
            then: vec![Op::Get {
                key: cursor_key.clone(),
            }],
            ..Txn::default()
        };
        let found = self
            .store
            .txn(read)
            .await?
            .reads
            .into_iter()
            .flatten()
            .next();
        let version = found
            .as_ref()
            .map_or(StoreVersion::default(), |entry| entry.modified);
        let number: u64 = found
            .and_then(|entry| serde_json::from_slice(&entry.value).ok())
            .unwrap_or(0);
        let slot = self.key(&format!("{:04}", number % RING_BATCHES));
        let value = serde_json::to_vec(batch).unwrap_or_default();
        let txn = Txn {
            compare: vec![version_condition(&cursor_key, version)],
            then: vec![
                put(cursor_key, (number + 1).to_string().into_bytes()),
                put(slot, value),
            ],
            otherwise: Vec::new(),
        };
        Ok(self.store.txn(txn).await?.succeeded)
    }

    fn key(&self, name: &str) -> String {
        format!("{AUDIT_PREFIX}{}/{name}", self.data_centre)
    }

    fn queued(&self) -> MutexGuard<'_, Vec<AuditRecord>> {
        self.queued.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn put(key: String, value: Vec<u8>) -> Op {
    Op::Put {
        key,
        value: value.into(),
        lease: None,
    }
}
