//! Permits for model loads, which enforce the weight store's limits over the whole fleet.
//!
//! A permit is a slot key in the store. One transaction writes the key together with the order,
//! and another removes both, so that the permit lasts exactly as long as the load may run, even
//! when the runner changes its owner.

use {
    super::{RecordError, TxnExtras, read_records, record_io::version_condition},
    crate::{
        config::Deployment,
        store::{
            Compare, Entry, Op, SharedStore, StoreVersion, Txn,
            keys::{LOAD_SLOTS_PREFIX, LOAD_START_KEY},
        },
        units::{OrderId, RunnerName},
    },
    serde::{Deserialize, Serialize},
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// The extra time between two load starts when no caller waits for the later one, so that urgent
/// loads of other VMs start first.
const NON_URGENT_EXTRA_SPACING_MS: u64 = 100;

/// The value of a slot key: the load that occupies the slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct SlotHolder {
    runner: RunnerName,
    order: OrderId,
}

/// A permit for one model load, which takes effect with the transaction that writes its order.
#[derive(Debug)]
pub struct LoadPermit {
    /// The slot that the load occupies.
    pub slot: u32,
    /// The conditions and writes to add to the order's transaction.
    pub extras: TxnExtras,
}

/// Why a load may not start now.
#[derive(Debug)]
pub enum LoadDenial {
    /// All slots are occupied.
    NoFreeSlot,
    /// The last load started too recently.
    TooSoon,
    /// The store did not answer.
    Store(RecordError),
}

/// Issues permits for model loads.
pub struct LoadLimiter {
    store: SharedStore,
    /// The store version of the last start that was seen, and when it was first seen.
    last_start_seen: Mutex<Option<(StoreVersion, Instant)>>,
}

impl LoadLimiter {
    /// Creates this process's limiter.
    pub fn new(store: SharedStore) -> Self {
        Self {
            store,
            last_start_seen: Mutex::default(),
        }
    }

    /// Returns a permit for a load if the limits allow a start now.
    ///
    /// # Errors
    ///
    /// Fails with the limit that the load would exceed, or when the store does.
    pub async fn try_acquire(
        &self,
        limits: &Deployment,
        runner: &RunnerName,
        order: OrderId,
        urgent: bool,
    ) -> Result<LoadPermit, LoadDenial> {
        let slots = limits.model_loads_at_once_max;
        let entries = self.read_slots(slots).await.map_err(LoadDenial::Store)?;
        let start = entries[0]
            .as_ref()
            .map_or(StoreVersion::default(), modified);
        let since_start = self.since_start(start);
        if start != StoreVersion::default() && since_start < spacing(limits, urgent) {
            return Err(LoadDenial::TooSoon);
        }
        let free = (0..slots)
            .zip(&entries[1..])
            .find(|(_, held)| held.is_none());
        let Some((slot, _)) = free else {
            self.remove_abandoned(&entries[1..]).await;
            return Err(LoadDenial::NoFreeSlot);
        };
        let holder = SlotHolder {
            runner: runner.clone(),
            order,
        };
        Ok(LoadPermit {
            slot,
            extras: permit_extras(slot, start, &holder),
        })
    }

    /// Reads the key of the last start, followed by the slot keys.
    async fn read_slots(&self, slots: u32) -> Result<Vec<Option<Entry>>, RecordError> {
        let slot_keys = (0..slots).map(slot_key);
        let keys = std::iter::once(LOAD_START_KEY.to_owned()).chain(slot_keys);
        let txn = Txn {
            then: keys.map(|key| Op::Get { key }).collect(),
            ..Txn::default()
        };
        let reads = self.store.txn(txn).await?.reads;
        if reads.len() != slots as usize + 1 {
            return Err(RecordError::Malformed(
                "the store returned fewer load slots than requested".to_owned(),
            ));
        }
        Ok(reads)
    }

    /// Returns the time since this process first saw the last start.
    fn since_start(&self, start: StoreVersion) -> Duration {
        let mut last = self
            .last_start_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match *last {
            Some((version, since)) if version == start => since.elapsed(),
            _ => {
                *last = Some((start, Instant::now()));
                Duration::ZERO
            }
        }
    }

    /// Frees the slots of loads that their runner's record no longer lists.
    async fn remove_abandoned(&self, entries: &[Option<Entry>]) {
        for entry in entries.iter().flatten() {
            if let Ok(holder) = serde_json::from_slice::<SlotHolder>(&entry.value)
                && !self.is_load_pending(&holder).await
            {
                let txn = Txn {
                    compare: vec![version_condition(&entry.key, entry.modified)],
                    then: vec![Op::Delete {
                        key: entry.key.clone(),
                    }],
                    otherwise: Vec::new(),
                };
                let _ = self.store.txn(txn).await;
            }
        }
    }

    /// Returns whether the runner's record still lists the load, or could not be read.
    async fn is_load_pending(&self, holder: &SlotHolder) -> bool {
        match read_records(&self.store, std::slice::from_ref(&holder.runner)).await {
            Ok(records) => records.iter().any(|(record, _)| {
                record
                    .orders
                    .iter()
                    .any(|pending| pending.id() == holder.order)
            }),
            Err(_) => true,
        }
    }
}

/// Returns the store operation that frees a slot.
pub fn free_slot_op(slot: u32) -> Op {
    Op::Delete {
        key: slot_key(slot),
    }
}

/// Returns the conditions and writes that occupy a slot and record the load's start.
fn permit_extras(slot: u32, start: StoreVersion, holder: &SlotHolder) -> TxnExtras {
    let value = serde_json::to_vec(holder).unwrap_or_default();
    let put = |key| Op::Put {
        key,
        value: value.clone().into(),
        lease: None,
    };
    TxnExtras {
        compare: vec![
            version_condition(LOAD_START_KEY, start),
            Compare::Absent(slot_key(slot)),
        ],
        ops: vec![put(LOAD_START_KEY.to_owned()), put(slot_key(slot))],
    }
}

fn slot_key(slot: u32) -> String {
    format!("{LOAD_SLOTS_PREFIX}{slot}")
}

fn modified(entry: &Entry) -> StoreVersion {
    entry.modified
}

/// Returns the shortest time between two load starts.
fn spacing(limits: &Deployment, urgent: bool) -> Duration {
    let rate = limits.model_loads_per_s.max(f64::MIN_POSITIVE);
    let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
    let extra_ms = if urgent {
        0
    } else {
        NON_URGENT_EXTRA_SPACING_MS
    };
    spacing.saturating_add(Duration::from_millis(extra_ms))
}
