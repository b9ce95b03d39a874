//! Permits for model loads, which hold the weight store's limits over the whole fleet.
//!
//! A permit is a slot key that is written with the order in one transaction and removed with it
//! in another, so that it lasts exactly as long as the load may run, whoever owns the runner.

use {
    super::{Extra, RecordError, read_records, record_io::unchanged},
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

/// How much longer a load waits for its turn when no caller waits for it.
const DEFERRED_WAIT_MS: u64 = 100;

/// The load that holds a slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct SlotHolder {
    runner: RunnerName,
    order: OrderId,
}

/// A load's turn: the slot, and what its order's transaction has to carry.
#[derive(Debug)]
pub struct LoadTurn {
    /// The slot that the load takes.
    pub slot: u32,
    /// The conditions and writes that make it hold.
    pub extra: Extra,
}

/// Why a load must wait.
#[derive(Debug)]
pub enum LoadWait {
    /// All slots are taken.
    Full,
    /// The last start is too recent.
    Spacing,
    /// The store gave no answer.
    Store(RecordError),
}

/// Gives loads their turns.
pub struct LoadGate {
    store: SharedStore,
    /// The last start that was seen, and since when.
    last_start: Mutex<Option<(StoreVersion, Instant)>>,
}

impl LoadGate {
    /// Creates the gate of this process.
    pub fn new(store: SharedStore) -> Self {
        Self {
            store,
            last_start: Mutex::default(),
        }
    }

    /// Returns a turn for a load if one is free now.
    ///
    /// # Errors
    ///
    /// Returns why the load must wait.
    pub async fn turn(
        &self,
        limits: &Deployment,
        runner: &RunnerName,
        order: OrderId,
        urgent: bool,
    ) -> Result<LoadTurn, LoadWait> {
        let slots = limits.model_loads_at_once_max;
        let entries = self.read(slots).await.map_err(LoadWait::Store)?;
        let start = entries[0]
            .as_ref()
            .map_or(StoreVersion::default(), modified);
        let waited = self.waited(start);
        if start != StoreVersion::default() && waited < spacing(limits, urgent) {
            return Err(LoadWait::Spacing);
        }
        let free = (0..slots)
            .zip(&entries[1..])
            .find(|(_, held)| held.is_none());
        let Some((slot, _)) = free else {
            self.remove_abandoned(&entries[1..]).await;
            return Err(LoadWait::Full);
        };
        let holder = SlotHolder {
            runner: runner.clone(),
            order,
        };
        Ok(LoadTurn {
            slot,
            extra: turn_extra(slot, start, &holder),
        })
    }

    async fn read(&self, slots: u32) -> Result<Vec<Option<Entry>>, RecordError> {
        let slot_keys = (0..slots).map(slot_key);
        let keys = std::iter::once(LOAD_START_KEY.to_owned()).chain(slot_keys);
        let txn = Txn {
            then: keys.map(|key| Op::Get { key }).collect(),
            ..Txn::default()
        };
        let reads = self.store.txn(txn).await?.reads;
        if reads.len() != slots as usize + 1 {
            return Err(RecordError::Malformed("reads are missing".to_owned()));
        }
        Ok(reads)
    }

    /// Returns how long the last start is known to be past.
    fn waited(&self, start: StoreVersion) -> Duration {
        let mut last = self
            .last_start
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

    /// Removes the slots of loads that their runner's record does not know any more.
    async fn remove_abandoned(&self, entries: &[Option<Entry>]) {
        for entry in entries.iter().flatten() {
            if let Ok(holder) = serde_json::from_slice::<SlotHolder>(&entry.value)
                && !self.is_open(&holder).await
            {
                let txn = Txn {
                    compare: vec![unchanged(&entry.key, entry.modified)],
                    then: vec![Op::Delete {
                        key: entry.key.clone(),
                    }],
                    otherwise: Vec::new(),
                };
                let _ = self.store.txn(txn).await;
            }
        }
    }

    async fn is_open(&self, holder: &SlotHolder) -> bool {
        match read_records(&self.store, std::slice::from_ref(&holder.runner)).await {
            Ok(records) => records
                .iter()
                .any(|(record, _)| record.orders.iter().any(|open| open.id() == holder.order)),
            Err(_) => true,
        }
    }
}

/// Returns the write that frees a slot.
pub fn free_slot(slot: u32) -> Op {
    Op::Delete {
        key: slot_key(slot),
    }
}

fn turn_extra(slot: u32, start: StoreVersion, holder: &SlotHolder) -> Extra {
    let value = serde_json::to_vec(holder).unwrap_or_default();
    let put = |key| Op::Put {
        key,
        value: value.clone().into(),
        lease: None,
    };
    Extra {
        compare: vec![
            unchanged(LOAD_START_KEY, start),
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

/// Returns the time between two starts.
fn spacing(limits: &Deployment, urgent: bool) -> Duration {
    let rate = limits.model_loads_per_s.max(f64::MIN_POSITIVE);
    let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
    let deferred_ms = if urgent { 0 } else { DEFERRED_WAIT_MS };
    spacing.saturating_add(Duration::from_millis(deferred_ms))
}
