//! Writes records of streams to the store, and reads them.

use {
    super::{RESUMABLE_MAX, StreamBatch},
    crate::{
        store::{LeaseId, Op, SharedStore, StoreError, Txn},
        traffic::NodeName,
    },
    std::{fmt, time::Duration},
    tokio::time::Instant,
};

/// The time to live of the records of a node that no longer writes, in seconds.
const RECORDS_TTL_S: u64 = 3 * RESUMABLE_MAX.as_secs();

/// The interval at which the lease of the records is renewed.
const LEASE_RENEWAL_INTERVAL: Duration = RESUMABLE_MAX;

/// How long streams are added to one key.
const BLOCK_SPAN: Duration = Duration::from_secs(5);

/// The keys that a node writes in turn.
const KEYS_PER_NODE: u64 = RESUMABLE_MAX.as_secs() / BLOCK_SPAN.as_secs() + 2;

/// The most keys that are read.
const KEYS_READ_MAX: usize = 10_000;

/// Writes the records of one node to the store, in a ring of keys.
pub struct StreamWriter {
    store: SharedStore,
    /// The prefix of the keys of this process.
    prefix: String,
    lease: Option<(LeaseId, Instant)>,
    /// The number of blocks before the present one.
    blocks: u64,
    block: Vec<StreamBatch>,
    block_began_at: Instant,
}

impl fmt::Debug for StreamWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StreamWriter")
    }
}

impl StreamWriter {
    /// Creates the writer of a process of a node; `incarnation` tells the process from earlier
    /// ones, whose records stay until their lease ends.
    pub fn new(store: SharedStore, prefix: &str, node: &NodeName, incarnation: u64) -> Self {
        Self {
            store,
            prefix: format!("{prefix}{node}-{incarnation:x}/"),
            lease: None,
            blocks: 0,
            block: Vec::new(),
            block_began_at: Instant::now(),
        }
    }

    /// Adds records to the present block, and writes it.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached, refuses a call or does not respond in time. After
    /// [`StoreError::LeaseLapsed`] all earlier records are gone.
    pub async fn write(&mut self, batches: &[StreamBatch]) -> Result<(), StoreError> {
        let lease = self.lease().await?;
        if self.block_began_at.elapsed() >= BLOCK_SPAN {
            (self.block, self.block_began_at) = (Vec::new(), Instant::now());
            self.blocks += 1;
        }
        let block = joined(&self.block, batches);
        let slot = self.blocks % KEYS_PER_NODE;
        let put = Op::Put {
            key: format!("{}{slot:02}", self.prefix),
            value: StreamBatch::encode(&block),
            lease: Some(lease),
        };
        let txn = Txn {
            then: vec![put],
            ..Txn::default()
        };
        let written = self.store.txn(txn).await;
        if matches!(written, Err(StoreError::LeaseLapsed(_))) {
            self.lease = None;
        }
        written?;
        self.block = block;
        Ok(())
    }

    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        let now = Instant::now();
        match self.lease {
            Some((lease, renewed_at)) if now < renewed_at + LEASE_RENEWAL_INTERVAL => Ok(lease),
            Some((lease, _)) => {
                let renewed = self.store.renew_lease(lease).await;
                if matches!(renewed, Err(StoreError::LeaseLapsed(_))) {
                    self.lease = None;
                }
                renewed?;
                self.lease = Some((lease, now));
                Ok(lease)
            }
            None => {
                let lease = self.store.grant_lease(RECORDS_TTL_S).await?.id;
                self.lease = Some((lease, now));
                Ok(lease)
            }
        }
    }
}

/// Returns the streams of both lists, with one batch for each version of a service.
fn joined(batches: &[StreamBatch], more: &[StreamBatch]) -> Vec<StreamBatch> {
    let mut joined = batches.to_vec();
    for batch in more {
        let mut known = joined.iter_mut();
        let same = |known: &&mut StreamBatch| {
            known.service == batch.service && known.software == batch.software
        };
        match known.find(same) {
            Some(known) => known.ids.extend(&batch.ids),
            None => joined.push(batch.clone()),
        }
    }
    joined
}

/// Reads the records of all nodes.
///
/// # Errors
///
/// Fails if the store cannot be reached, refuses the call or does not respond in time.
pub async fn read_streams(
    store: &SharedStore,
    prefix: &str,
) -> Result<Vec<StreamBatch>, StoreError> {
    let range = store.range(prefix, KEYS_READ_MAX).await?;
    let decoded = range.entries.iter().filter_map(|entry| {
        let batches = StreamBatch::decode(&entry.value);
        if batches.is_none() {
            log::warn!(key:% = entry.key; "streams: ignored a record that cannot be decoded.");
        }
        batches
    });
    Ok(decoded.flatten().collect())
}
