//! Keeps the quarantined requests and prompt parts in the store, so that they survive a restart of
//! all nodes.

use {
    crate::{
        dispatch::RunnerRegistry,
        quarantine::{ContentId, Verdict},
        store::{Compare, Entry, Op, SharedStore, Txn},
        units::unix_now_ms,
    },
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{interval, sleep},
    },
};

/// The interval at which the verdicts are compared with the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The longest random delay of a write, since all nodes learn of a verdict at about the same time.
const WRITE_DELAY_MAX: Duration = Duration::from_millis(500);

/// A verdict as it is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct StoredVerdict {
    version: u32,
    is_quarantined: bool,
    #[serde(default)]
    is_provisional: bool,
    until_unix_ms: u64,
}

/// Writes verdicts to the store, and applies those that are there.
pub struct VerdictTask {
    /// The verdicts in force.
    pub registry: Arc<RunnerRegistry>,
    /// The store.
    pub store: SharedStore,
    /// The prefix of the keys.
    pub prefix: String,
    /// The stored entries.
    pub entries: watch::Receiver<Vec<Entry>>,
}

impl fmt::Debug for VerdictTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("VerdictTask")
    }
}

impl VerdictTask {
    /// Applies and writes verdicts until the future is dropped.
    pub async fn run(mut self) {
        let mut checks = interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                Ok(()) = self.entries.changed() => self.apply_stored(),
                _ = checks.tick() => self.write_missing().await,
            }
        }
    }

    fn apply_stored(&mut self) {
        let now_unix_ms = unix_now_ms();
        let verdicts = self.entries.borrow_and_update().clone();
        let verdicts = verdicts
            .iter()
            .filter_map(|entry| self.decode(entry, now_unix_ms));
        self.registry.apply_verdicts(verdicts.collect());
    }

    /// Returns the verdict in an entry; `None` if it cannot be decoded or no longer holds.
    fn decode(&self, entry: &Entry, now_unix_ms: u64) -> Option<Verdict> {
        let content = entry.key.strip_prefix(&self.prefix)?.parse().ok()?;
        let stored: StoredVerdict = serde_json::from_slice(&entry.value).ok()?;
        let remaining_ms = stored.until_unix_ms.saturating_sub(now_unix_ms);
        (remaining_ms > 0).then(|| Verdict {
            content,
            version: stored.version,
            is_quarantined: stored.is_quarantined,
            is_provisional: stored.is_provisional,
            remaining_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
        })
    }

    /// Writes the verdicts that the store lacks, and removes the entries that no longer hold.
    async fn write_missing(&self) {
        let txns = self.due_writes();
        if txns.is_empty() {
            return;
        }
        let delay = WRITE_DELAY_MAX.mul_f64(rand::rng().random());
        sleep(delay).await;
        for txn in self.due_writes() {
            if let Err(cause) = self.store.txn(txn).await {
                log::debug!("quarantine: a verdict was not stored, it is written again: {cause}");
            }
        }
    }

    fn due_writes(&self) -> Vec<Txn> {
        let entries = self.entries.borrow();
        let now_unix_ms = unix_now_ms();
        let verdicts = self.registry.verdicts();
        let missing = verdicts.iter().filter_map(|verdict| {
            let key = self.key(verdict.content);
            let entry = entries.iter().find(|entry| entry.key == key);
            let stored = entry.and_then(|entry| self.decode(entry, now_unix_ms));
            let is_stored = stored.is_some_and(|stored| stored.version >= verdict.version);
            (!is_stored).then(|| write(key, entry, verdict, now_unix_ms))
        });
        let is_outdated = |entry: &&Entry| {
            let is_held = |verdict: &Verdict| self.key(verdict.content) == entry.key;
            self.decode(entry, now_unix_ms).is_none() && !verdicts.iter().any(is_held)
        };
        let outdated = entries.iter().filter(is_outdated);
        missing.chain(outdated.map(remove)).collect()
    }

    fn key(&self, content: ContentId) -> String {
        format!("{}{content}", self.prefix)
    }
}

fn write(key: String, entry: Option<&Entry>, verdict: &Verdict, now_unix_ms: u64) -> Txn {
    let stored = StoredVerdict {
        version: verdict.version,
        is_quarantined: verdict.is_quarantined,
        is_provisional: verdict.is_provisional,
        until_unix_ms: now_unix_ms + u64::from(verdict.remaining_ms),
    };
    let compare = match entry {
        Some(entry) => Compare::ModifiedAt(key.clone(), entry.modified),
        None => Compare::Absent(key.clone()),
    };
    let value = serde_json::to_vec(&stored).unwrap_or_default().into();
    Txn {
        compare: vec![compare],
        then: vec![Op::Put {
            key,
            value,
            lease: None,
        }],
        otherwise: Vec::new(),
    }
}

fn remove(entry: &Entry) -> Txn {
    let key = entry.key.clone();
    Txn {
        compare: vec![Compare::ModifiedAt(key.clone(), entry.modified)],
        then: vec![Op::Delete { key }],
        otherwise: Vec::new(),
    }
}
