//! The watches of the key-value service.

use {
    super::MemoryStore,
    crate::store::{Change, Changes, StoreError, StoreVersion},
    futures::{
        future::pending,
        stream::{self, BoxStream, StreamExt},
    },
    std::{sync::atomic::Ordering, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// The time between two signs of life, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 1_000;

/// The keys of a watch and how far it has reported.
#[derive(Debug, Clone)]
pub(super) struct WatchPosition {
    pub(super) start: String,
    pub(super) end: String,
    pub(super) since: StoreVersion,
}

struct Watch {
    store: MemoryStore,
    position: WatchPosition,
    changed: watch::Receiver<()>,
    restores: watch::Receiver<u64>,
    ended: bool,
    progress_due: Instant,
}

/// Returns the stream of a watch; it ends after its first error.
pub(super) fn watch_stream(
    store: MemoryStore,
    position: WatchPosition,
) -> BoxStream<'static, Result<Changes, StoreError>> {
    let watch = Watch {
        changed: store.shared.changed.subscribe(),
        restores: store.shared.restores.subscribe(),
        store,
        position,
        ended: false,
        progress_due: Instant::now(),
    };
    stream::unfold(watch, |mut watch| async move {
        if watch.ended {
            return None;
        }
        let next = watch.next().await;
        watch.ended = next.is_err();
        Some((next, watch))
    })
    .boxed()
}

impl Watch {
    async fn next(&mut self) -> Result<Changes, StoreError> {
        loop {
            self.changed.mark_unchanged();
            if self.restores.has_changed().unwrap_or(true) {
                return Err(StoreError::Unknown("the watch was closed".to_owned()));
            }
            let faults = self.store.faults();
            if faults.down {
                return Err(StoreError::Unreachable("connection refused".to_owned()));
            }
            if faults.silent || faults.watch_silent {
                self.wait_for_switch().await;
                continue;
            }
            if !faults.watch_stale
                && let Some(changes) = self.read_changes()?
            {
                return Ok(self.batch(changes));
            }
            if Instant::now() >= self.progress_due {
                return Ok(self.batch(Vec::new()));
            }
            self.wait().await;
        }
    }

    fn read_changes(&mut self) -> Result<Option<Vec<Change>>, StoreError> {
        let state = self.store.state();
        let WatchPosition { start, end, since } = &self.position;
        let refuses_future = &self.store.shared.refuses_future_watches;
        if *since > state.version() && refuses_future.load(Ordering::Relaxed) {
            return Err(StoreError::Compacted);
        }
        let changes = state.changes_since(start, end, *since)?;
        self.position.since = state.version().max(*since);
        Ok(Some(changes).filter(|changes| !changes.is_empty()))
    }

    fn batch(&mut self, changes: Vec<Change>) -> Changes {
        self.progress_due = Instant::now() + Duration::from_millis(PROGRESS_INTERVAL_MS);
        Changes {
            changes,
            version: self.position.since,
        }
    }

    /// Waits for a change, the end of a lease or the next sign of life.
    async fn wait(&mut self) {
        let now_ms = self.store.now_ms();
        let lease_end_ms = self.store.state().next_lease_end_ms();
        let until_lease_end = async {
            match lease_end_ms {
                Some(end_ms) => {
                    sleep(Duration::from_millis((end_ms + 1).saturating_sub(now_ms))).await
                }
                None => pending().await,
            }
        };
        tokio::select! {
            _ = self.changed.changed() => {}
            _ = self.restores.changed() => self.restores.mark_changed(),
            () = until_lease_end => {}
            () = tokio::time::sleep_until(self.progress_due) => {}
        }
    }

    /// Waits until the fault switches or the data change.
    async fn wait_for_switch(&mut self) {
        tokio::select! {
            _ = self.changed.changed() => {}
            _ = self.restores.changed() => self.restores.mark_changed(),
        }
    }
}
