//! Watches the node registrations and the leader keys.

use {
    super::membership::SharedState,
    crate::{
        membership::Backoff,
        store::{StoreError, StoreVersion},
    },
    futures::StreamExt,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, timeout},
};

/// The delay after the first failed store call.
const BACKOFF_INITIAL: Duration = Duration::from_millis(200);
/// The longest delay after failed store calls.
const BACKOFF_MAX: Duration = Duration::from_millis(700);
/// How long a watch may report nothing before it is reopened; a half-open connection never
/// reports an error.
const WATCH_IDLE_MAX: Duration = Duration::from_secs(8);

/// The time over which changes are batched between two reads of a watch, per listed node. Without
/// batching, nodes that start together would wake all others with each registration.
const BATCH_DELAY_PER_NODE: Duration = Duration::from_millis(5);
/// The longest time over which changes are batched.
const BATCH_DELAY_MAX: Duration = Duration::from_millis(500);

/// The largest number of keys in a full read.
const KEYS_READ_MAX: usize = 100_000;

/// Keeps the cluster view up to date with the store; never returns.
pub(super) async fn watch_keys(shared: Arc<SharedState>) {
    let mut backoff = Backoff::new(BACKOFF_INITIAL, BACKOFF_MAX);
    let mut resume_from = None;
    loop {
        let result = match resume_from {
            None => load_all(&shared).await.map(Some),
            Some(version) => watch_from(&shared, version).await,
        };
        match result {
            Ok(version) => {
                resume_from = version;
                backoff.reset();
                continue;
            }
            Err(StoreError::Compacted) => resume_from = None,
            Err(error) => {
                // The store may have come back from an older copy that has the version already.
                resume_from = None;
                log::debug!("leader: watch of the cluster keys failed, reading them again: {error}")
            }
        }
        tokio::select! {
            () = tokio::time::sleep(backoff.next_delay()) => {}
            () = shared.reload_keys.notified() => {}
        }
    }
}

/// Reads all keys into the cluster view; returns the store version of the read.
async fn load_all(shared: &SharedState) -> Result<StoreVersion, StoreError> {
    let sent_at = Instant::now();
    let range = shared
        .store
        .range(&shared.keys.prefix, KEYS_READ_MAX)
        .await?;
    shared.replace(&range.entries, range.version, sent_at);
    Ok(range.version)
}

/// Waits while changes are batched; the leader does not wait, so that it receives each at once.
async fn batch_changes(shared: &SharedState) {
    if shared.term.borrow().is_none() {
        let nodes = shared.view().listed_count();
        tokio::time::sleep((BATCH_DELAY_PER_NODE * nodes).min(BATCH_DELAY_MAX)).await;
    }
}

/// Applies changes until the watch reports nothing for too long; returns the store version from
/// which to resume, or `None` when all keys must be read again.
///
/// # Errors
///
/// Fails when the watch does.
async fn watch_from(
    shared: &SharedState,
    since: StoreVersion,
) -> Result<Option<StoreVersion>, StoreError> {
    let mut watch = shared.store.watch(&shared.keys.prefix, since);
    let mut version = since;
    loop {
        let next = tokio::select! {
            next = timeout(WATCH_IDLE_MAX, watch.next()) => next,
            () = shared.reload_keys.notified() => return Ok(None),
        };
        let Ok(next) = next else {
            return Ok(Some(version));
        };
        let batch = match next {
            Some(Ok(batch)) => batch,
            Some(Err(error)) => return Err(error),
            None => return Err(StoreError::Unknown("the watch ended".to_owned())),
        };
        if batch.version < version {
            return Ok(None);
        }
        version = batch.version;
        if !batch.changes.is_empty() {
            shared.apply(&batch.changes);
            batch_changes(shared).await;
        }
    }
}
