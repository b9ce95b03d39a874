//! A watch that is opened again after each outage of the store.

use {
    super::{Changes, Store, StoreError, StoreHealth, StoreVersion},
    futures::{
        StreamExt,
        stream::{self, BoxStream},
    },
    rand::RngExt,
    std::time::Duration,
    tokio::time::{Instant, sleep_until},
};

/// The time after an outage over which the processes open their watches again, so that they don't
/// call the store in the same instant.
const REOPEN_SPREAD: Duration = Duration::from_millis(500);

/// The shortest time between two openings after outages, so that a watch of a store whose other
/// calls fail now and then still gets its responses.
const REOPEN_INTERVAL_MIN: Duration = Duration::from_secs(2);

/// A watch of a store whose outages are detected from other calls.
///
/// A call that waited for changes during an outage may never get a response, although the store
/// responds again and the connection is alive.
pub(super) struct ReopeningWatch<'a> {
    store: &'a dyn Store,
    health: &'a StoreHealth,
    prefix: &'a str,
    since: StoreVersion,
    watch: BoxStream<'a, Result<Changes, StoreError>>,
    reopened_at: Option<Instant>,
}

impl<'a> ReopeningWatch<'a> {
    /// Opens a watch of the keys that start with `prefix`, from just after `since`.
    pub(super) fn open(
        store: &'a dyn Store,
        health: &'a StoreHealth,
        prefix: &'a str,
        since: StoreVersion,
    ) -> Self {
        Self {
            store,
            health,
            prefix,
            since,
            watch: store.watch(prefix, since),
            reopened_at: None,
        }
    }

    /// Returns the stream of the watch, which ends after its first error.
    pub(super) fn into_stream(self) -> BoxStream<'a, Result<Changes, StoreError>> {
        let batches = stream::unfold(Some(self), async |watch| {
            let mut watch = watch?;
            let next = watch.next().await?;
            let rest = next.is_ok().then_some(watch);
            Some((next, rest))
        });
        batches.boxed()
    }

    /// Returns the next batch, an empty one after the watch was opened again.
    async fn next(&mut self) -> Option<Result<Changes, StoreError>> {
        let waiting_since = Instant::now();
        let next = tokio::select! {
            biased;
            next = self.watch.next() => next,
            () = wait_to_reopen(self.health, waiting_since, self.reopened_at) => {
                log::debug!("store: the watch of {} is opened again after an outage", self.prefix);
                self.watch = self.store.watch(self.prefix, self.since);
                self.reopened_at = Some(Instant::now());
                return Some(Ok(Changes::none_after(self.since)));
            }
        };
        if let Some(Ok(batch)) = &next {
            self.health.record_response();
            self.since = self.since.max(batch.version);
        }
        next
    }
}

/// Waits until a watch that has waited for a response since `waiting_since` must be opened again.
async fn wait_to_reopen(
    health: &StoreHealth,
    waiting_since: Instant,
    reopened_at: Option<Instant>,
) {
    let ended_at = health.outage_ended_after(waiting_since).await;
    let due_at = ended_at + REOPEN_SPREAD.mul_f64(rand::rng().random());
    let earliest = reopened_at.map_or(due_at, |at| at + REOPEN_INTERVAL_MIN);
    sleep_until(due_at.max(earliest)).await;
}
