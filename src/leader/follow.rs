//! Follows the keys of nodes and of the leader.

use {
    super::membership::Shared,
    crate::{
        membership::Backoff,
        store::{StoreError, StoreVersion},
    },
    futures::StreamExt,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The first pause after a failed call.
const BACKOFF_FIRST: Duration = Duration::from_millis(200);
/// The longest pause after failed calls.
const BACKOFF_LONGEST: Duration = Duration::from_secs(2);
/// The longest that a watch may report nothing before it is opened anew; a connection can go
/// silent for good.
const SILENCE_MAX: Duration = Duration::from_secs(8);

/// How long changes gather between two answers of a watch, for each listed node. Many nodes that
/// start together would otherwise wake one another with each registration.
const GATHER_PER_NODE: Duration = Duration::from_millis(5);
/// The longest that changes gather.
const GATHER_MAX: Duration = Duration::from_millis(500);

/// The most keys that are read.
const KEYS_MAX: usize = 100_000;

/// Keeps the view up to date; never ends.
pub(super) async fn follow(shared: Arc<Shared>) {
    let mut backoff = Backoff::new(BACKOFF_FIRST, BACKOFF_LONGEST);
    let mut known = None;
    loop {
        let result = match known {
            None => read_all(&shared).await,
            Some(version) => watch_from(&shared, version).await,
        };
        match result {
            Ok(version) => {
                known = Some(version);
                backoff.reset();
                continue;
            }
            Err(StoreError::Compacted) => known = None,
            Err(error) => log::debug!("leader: following the nodes failed: {error}"),
        }
        tokio::time::sleep(backoff.next_pause()).await;
    }
}

async fn read_all(shared: &Shared) -> Result<StoreVersion, StoreError> {
    let range = shared.store.range(&shared.keys.prefix, KEYS_MAX).await?;
    shared.replace(&range.entries, range.version);
    Ok(range.version)
}

/// Pauses while changes gather; the node that leads hears of each at once.
async fn gather(shared: &Shared) {
    if shared.term.borrow().is_none() {
        let nodes = shared.view().count_listed();
        tokio::time::sleep((GATHER_PER_NODE * nodes).min(GATHER_MAX)).await;
    }
}

/// Watches until the watch ends or goes silent; returns from where to go on.
async fn watch_from(shared: &Shared, since: StoreVersion) -> Result<StoreVersion, StoreError> {
    let mut watch = shared.store.watch(&shared.keys.prefix, since);
    let mut version = since;
    while let Ok(next) = timeout(SILENCE_MAX, watch.next()).await {
        let batch = match next {
            Some(Ok(batch)) => batch,
            Some(Err(StoreError::Compacted)) => return Err(StoreError::Compacted),
            // What came before the end must not be read twice.
            _ if version > since => return Ok(version),
            Some(Err(error)) => return Err(error),
            None => return Err(StoreError::Unknown("the watch ended".to_owned())),
        };
        version = version.max(batch.version);
        if !batch.changes.is_empty() {
            shared.apply(&batch.changes);
            gather(shared).await;
        }
    }
    Ok(version)
}
