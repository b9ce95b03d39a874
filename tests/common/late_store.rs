//! A store some of whose writes arrive long after their caller gave up.

use {
    futures::{
        future::{BoxFuture, FutureExt},
        stream::BoxStream,
    },
    greengagetrail::store::{
        Changes, Lease, LeaseId, Op, Range, SharedStore, Store, StoreError, StoreVersion, Txn,
        TxnReply,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Mutex, time::Duration},
    tokio::time::sleep,
};

/// How long the caller waits before it gives up.
const GIVE_UP_MS: u64 = 300;
/// The latest that a late write arrives.
const LATE_MAX_MS: u64 = 4000;

/// Passes calls on, but delays a share of the writes past their caller's patience.
pub struct LateStore {
    inner: SharedStore,
    rng: Mutex<SmallRng>,
    late_percent: u32,
}

impl LateStore {
    /// Delays a share of the writes to `inner`.
    pub fn new(inner: SharedStore, seed: u64, late_percent: u32) -> Self {
        Self {
            inner,
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            late_percent,
        }
    }

    /// Draws the delay of a late write, or `None` for one that goes through at once.
    fn draw_delay(&self, txn: &Txn) -> Option<Duration> {
        let mut rng = self.rng.lock().unwrap();
        let writes = txn.then.iter().any(|op| !matches!(op, Op::Get { .. }));
        let late = writes && rng.random_range(0..100) < self.late_percent;
        late.then(|| Duration::from_millis(rng.random_range(0..LATE_MAX_MS)))
    }
}

impl Store for LateStore {
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.inner.range(prefix, limit)
    }

    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.inner.range_between(start, end, limit)
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        let Some(delay) = self.draw_delay(&txn) else {
            return self.inner.txn(txn);
        };
        let inner = self.inner.clone();
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

    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        self.inner.grant_lease(ttl_s)
    }

    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.renew_lease(id)
    }

    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.revoke_lease(id)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>> {
        self.inner.watch(prefix, since)
    }
}
