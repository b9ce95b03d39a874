//! Counts and times the calls to a store, and records when each watch last reported.

use {
    super::{
        Changes, Lease, LeaseId, Range, SharedStore, Store, StoreError, StoreVersion, Txn, TxnReply,
    },
    crate::telemetry::{Counter, DurationHistogram, MetricText},
    futures::{
        StreamExt,
        future::{BoxFuture, FutureExt},
        stream::BoxStream,
    },
    std::{
        fmt,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// The metric labels of the kinds of calls, in the order of [`CallKind`].
const CALL_KINDS: [&str; 7] = [
    "range",
    "txn",
    "grant_lease",
    "renew_lease",
    "revoke_lease",
    "watch",
    "changes",
];

/// The metric labels of the outcomes of calls.
const CALL_OUTCOMES: [&str; 6] = [
    "done",
    "unreachable",
    "unknown",
    "refused",
    "lease_lapsed",
    "compacted",
];

/// The kind of a call to the store.
#[derive(Debug, Clone, Copy)]
enum CallKind {
    Range,
    Txn,
    GrantLease,
    RenewLease,
    RevokeLease,
    Watch,
    Changes,
}

/// The time of the last report of a watch.
#[derive(Debug)]
struct WatchReport {
    prefix: String,
    reported_at: Instant,
}

/// A store that counts and times the calls to another store.
pub struct MeteredStore {
    store: SharedStore,
    calls: [[Counter; CALL_OUTCOMES.len()]; CALL_KINDS.len()],
    times: DurationHistogram,
    /// One element for each prefix that was ever watched.
    watches: Mutex<Vec<WatchReport>>,
}

impl fmt::Debug for MeteredStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MeteredStore")
    }
}

impl MeteredStore {
    /// Creates a store that counts the calls to `store`.
    pub fn new(store: SharedStore) -> Self {
        Self {
            store,
            calls: Default::default(),
            times: DurationHistogram::default(),
            watches: Mutex::default(),
        }
    }

    /// Returns the time since the last report of each watch, by prefix; empty reports count.
    pub fn watch_ages(&self) -> Vec<(String, Duration)> {
        let watches = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        let ages = watches.iter();
        ages.map(|watch| (watch.prefix.clone(), watch.reported_at.elapsed()))
            .collect()
    }

    /// Writes the metrics of the calls and the watches to `text`.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_store_calls_total";
        text.begin(
            name,
            "counter",
            "Calls to the store, by kind and outcome; each answer of a watch is one.",
        );
        for (kind, counters) in CALL_KINDS.iter().zip(&self.calls) {
            for (outcome, counter) in CALL_OUTCOMES.iter().zip(counters) {
                let labels = [("kind", *kind), ("outcome", *outcome)];
                text.value(name, &labels, counter.get() as f64);
            }
        }
        let name = "ggt_store_call_seconds";
        text.begin(
            name,
            "histogram",
            "Time of calls to the store, without watches.",
        );
        text.histogram(name, &[], &self.times);
        let name = "ggt_watch_age_seconds";
        text.begin(
            name,
            "gauge",
            "Time since a watch last answered, by prefix of its keys.",
        );
        for (prefix, age) in self.watch_ages() {
            text.value(name, &[("prefix", prefix.as_str())], age.as_secs_f64());
        }
    }

    fn count<T>(&self, kind: CallKind, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => 0,
            Err(StoreError::Unreachable(_)) => 1,
            Err(StoreError::Unknown(_)) => 2,
            Err(StoreError::Refused(_)) => 3,
            Err(StoreError::LeaseLapsed(_)) => 4,
            Err(StoreError::Compacted) => 5,
        };
        self.calls[kind as usize][outcome].count();
    }

    async fn measured<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let started_at = Instant::now();
        let result = call.await;
        self.times.record(started_at.elapsed());
        self.count(kind, &result);
        result
    }

    fn record_watch_report(&self, prefix: &str) {
        let reported_at = Instant::now();
        let mut watches = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        match watches.iter_mut().find(|watch| watch.prefix == prefix) {
            Some(watch) => watch.reported_at = reported_at,
            None => watches.push(WatchReport {
                prefix: prefix.to_owned(),
                reported_at,
            }),
        }
    }
}

impl Store for MeteredStore {
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.measured(CallKind::Range, self.store.range(prefix, limit))
            .boxed()
    }

    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        let call = self.store.range_between(start, end, limit);
        self.measured(CallKind::Range, call).boxed()
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        self.measured(CallKind::Txn, self.store.txn(txn)).boxed()
    }

    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        self.measured(CallKind::GrantLease, self.store.grant_lease(ttl_s))
            .boxed()
    }

    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.measured(CallKind::RenewLease, self.store.renew_lease(id))
            .boxed()
    }

    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.measured(CallKind::RevokeLease, self.store.revoke_lease(id))
            .boxed()
    }

    fn changes_now<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxFuture<'a, Result<Changes, StoreError>> {
        let call = self.store.changes_now(prefix, since);
        self.measured(CallKind::Changes, call).boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>> {
        self.record_watch_report(prefix);
        let batches = self.store.watch(prefix, since);
        let counted = batches.inspect(move |batch| {
            self.count(CallKind::Watch, batch);
            if batch.is_ok() {
                self.record_watch_report(prefix);
            }
        });
        counted.boxed()
    }
}
