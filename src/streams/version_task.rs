//! Keeps the software versions in use in the store, for nodes that start later.

use {
    super::{ServiceVersions, StreamVersions},
    crate::{
        leader::Term,
        store::{Compare, Entry, Op, SharedStore, Txn},
    },
    std::{fmt, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, interval},
    },
};

/// The interval at which the leader compares the versions with the stored ones.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The shortest interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The stored entry of the software versions, as last read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredVersions {
    /// Whether the store was read.
    pub is_read: bool,
    /// The entry, if there is one.
    pub entry: Option<Entry>,
}

/// Applies the stored versions; the leader also writes them when they change.
pub struct VersionTask {
    /// The versions in use.
    pub streams: Arc<StreamVersions>,
    /// The store.
    pub store: SharedStore,
    /// The key of the versions.
    pub key: String,
    /// The entry of the key.
    pub stored: watch::Receiver<StoredVersions>,
    /// The node's term while it leads.
    pub term: watch::Receiver<Option<Term>>,
}

impl fmt::Debug for VersionTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("VersionTask")
    }
}

impl VersionTask {
    /// Applies and writes versions until the future is dropped.
    pub async fn run(mut self) {
        let mut checks = interval(CHECK_INTERVAL);
        let mut next_write_at = Instant::now();
        self.apply_stored();
        loop {
            tokio::select! {
                Ok(()) = self.stored.changed() => self.apply_stored(),
                _ = checks.tick() => {
                    if self.term.borrow().is_some() && Instant::now() >= next_write_at {
                        next_write_at = Instant::now() + WRITE_INTERVAL;
                        self.write_if_changed().await;
                    }
                }
            }
        }
    }

    fn apply_stored(&mut self) {
        let stored = self.stored.borrow_and_update().clone();
        if stored.is_read {
            self.streams.set_stored(&decode(stored.entry.as_ref()));
        }
    }

    async fn write_if_changed(&self) {
        let stored = self.stored.borrow().clone();
        let versions = self.streams.to_store();
        if !stored.is_read || versions.is_empty() || versions == decode(stored.entry.as_ref()) {
            return;
        }
        let compare = match &stored.entry {
            Some(entry) => Compare::ModifiedAt(self.key.clone(), entry.modified),
            None => Compare::Absent(self.key.clone()),
        };
        let put = Op::Put {
            key: self.key.clone(),
            value: serde_json::to_vec(&versions).unwrap_or_default().into(),
            lease: None,
        };
        let txn = Txn {
            compare: vec![compare],
            then: vec![put],
            otherwise: Vec::new(),
        };
        if let Err(cause) = self.store.txn(txn).await {
            log::debug!("streams: the software versions were not stored: {cause}");
        }
    }
}

/// Returns the versions in an entry; none if it is missing or cannot be decoded.
fn decode(entry: Option<&Entry>) -> Vec<ServiceVersions> {
    let decoded = entry.map(|entry| serde_json::from_slice(&entry.value));
    decoded.and_then(Result::ok).unwrap_or_default()
}
