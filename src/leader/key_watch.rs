//! Watches the node registrations and the leader keys.

use {
    super::membership::SharedState,
    crate::{
        membership::Backoff,
        store::{StoreError, StoreVersion},
    },
    futures::StreamExt,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The delay after the first failed store call.
const BACKOFF_INITIAL: Duration = Duration::from_millis(200);
/// The longest delay after failed store calls.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
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
            None => load_all(&shared).await,
            Some(version) => watch_from(&shared, version).await,
        };
        match result {
            Ok(version) => {
                resume_from = Some(version);
                backoff.reset();
                continue;
            }
            Err(StoreError::Compacted) => resume_from = None,
            Err(error) => {
                log::debug!("leader: watch of the cluster keys failed, retrying: {error}")
            }
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

/// Reads all keys into the cluster view; returns the store version of the read.
async fn load_all(shared: &SharedState) -> Result<StoreVersion, StoreError> {
    let range = shared
        .store
        .range(&shared.keys.prefix, KEYS_READ_MAX)
        .await?;
    shared.replace(&range.entries, range.version);
    Ok(range.version)
}

/// Waits while changes are batched; the leader does not wait, so that it receives each at once.
async fn batch_changes(shared: &SharedState) {
    if shared.term.borrow().is_none() {
        let nodes = shared.view().listed_count();
        tokio::time::sleep((BATCH_DELAY_PER_NODE * nodes).min(BATCH_DELAY_MAX)).await;
    }
}

/// Applies changes until the watch ends or reports nothing for too long; returns the store version
/// from which to resume.
async fn watch_from(shared: &SharedState, since: StoreVersion) -> Result<StoreVersion, StoreError> {
    let mut watch = shared.store.watch(&shared.keys.prefix, since);
    let mut version = since;
    while let Ok(next) = timeout(WATCH_IDLE_MAX, watch.next()).await {
        let batch = match next {
            Some(Ok(batch)) => batch,
            Some(Err(StoreError::Compacted)) => return Err(StoreError::Compacted),
            // The changes received before the end must not be applied twice.
            _ if version > since => return Ok(version),
            Some(Err(error)) => return Err(error),
            None => return Err(StoreError::Unknown("the watch ended".to_owned())),
        };
        version = version.max(batch.version);
        if !batch.changes.is_empty() {
            shared.apply(&batch.changes);
            batch_changes(shared).await;
        }
    }
    Ok(version)
}
