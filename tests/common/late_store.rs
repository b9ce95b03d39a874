//! A store some of whose writes arrive long after their caller gave up.

use {
    super::faulty_store::{FaultyStore, TxnFaults},
    futures::future::{BoxFuture, FutureExt},
    greengagetrail::store::{Op, SharedStore, StoreError, Txn, TxnReply},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::{
            Mutex,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// How long the caller waits before it gives up.
const GIVE_UP_MS: u64 = 300;
/// The latest that a late write arrives.
const LATE_MAX_MS: u64 = 4000;

/// Passes calls on, but delays a share of the writes past their caller's patience.
pub type LateStore = FaultyStore<LateWrites>;

/// Draws the writes that are late.
pub struct LateWrites {
    rng: Mutex<SmallRng>,
    late_percent: AtomicU32,
}

impl LateStore {
    /// Delays a share of the writes to `inner`.
    pub fn new(inner: SharedStore, seed: u64, late_percent: u32) -> Self {
        let faults = LateWrites {
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            late_percent: AtomicU32::new(late_percent),
        };
        Self { inner, faults }
    }

    /// Delays another share of the writes from now on.
    #[allow(dead_code)]
    pub fn set_late_percent(&self, late_percent: u32) {
        let share = &self.faults.late_percent;
        share.store(late_percent, Ordering::Relaxed);
    }
}

impl LateWrites {
    /// Draws the delay of a late write, or `None` for one that goes through at once.
    fn draw_delay(&self, txn: &Txn) -> Option<Duration> {
        let mut rng = self.rng.lock().unwrap();
        let writes = txn.then.iter().any(|op| !matches!(op, Op::Get { .. }));
        let late = writes && rng.random_range(0..100) < self.late_percent.load(Ordering::Relaxed);
        late.then(|| Duration::from_millis(rng.random_range(0..LATE_MAX_MS)))
    }
}

impl TxnFaults for LateWrites {
    fn txn<'a>(
        &'a self,
        inner: &'a SharedStore,
        txn: Txn,
    ) -> BoxFuture<'a, Result<TxnReply, StoreError>> {
        let Some(delay) = self.draw_delay(&txn) else {
            return inner.txn(txn);
        };
        let inner = inner.clone();
        async move {
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = inner.txn(txn).await;
            });
            sleep(Duration::from_millis(GIVE_UP_MS)).await;
            Err(StoreError::Unknown("no answer in time".to_owned()))
        }
        .boxed()
    }
}
