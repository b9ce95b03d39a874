//! Reads and watches the keys of head, members and runner records in the key-value service.

use {
    crate::{
        config::Head,
        membership::{Backoff, Member},
        store::{
            Change, Entry, SharedStore, StoreError, StoreVersion,
            keys::{HEAD_KEY, LEAVING_PREFIX, LIVE_PREFIX, MEMBERS_PREFIX, RUNNERS_PREFIX},
            prefix_end,
        },
        units::{RunnerName, VmName},
    },
    bytes::Bytes,
    futures::StreamExt,
    std::time::Duration,
    tokio::{sync::mpsc, time::timeout},
};

/// The largest number of entries that one read returns.
const PAGE_ENTRIES_MAX: usize = 200;
/// The longest time without messages before a watch is reopened.
const WATCH_SILENCE_MAX: Duration = Duration::from_secs(8);
/// The delay after the first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(300);
/// The longest delay after repeated failures.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// A change of the live keys.
#[derive(Debug, Clone, PartialEq)]
pub enum LiveEvent {
    /// All live keys were read.
    Listed {
        /// The head, if one was published.
        head: Option<Head>,
        /// All members.
        members: Vec<Member>,
        /// All runner records, undecoded.
        records: Vec<(RunnerName, Bytes)>,
    },
    /// A head was published.
    Head(Head),
    /// A member's key was written: the member joined or changed.
    MemberWritten(Member),
    /// A member announced a planned stop.
    MemberLeaving(VmName),
    /// A member's key was deleted or expired.
    MemberKeyDeleted(VmName),
    /// A runner record was written.
    RecordWritten(RunnerName, Bytes),
}

/// Sends changes of the live keys to `events` until its receiver is dropped.
///
/// After a failure, the watch resumes at the last version received; when the store has compacted
/// that version or went back to an older copy, all keys are read again.
pub async fn follow_live_keys(store: SharedStore, events: mpsc::Sender<LiveEvent>) {
    let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX);
    let mut since = None;
    while !events.is_closed() {
        let ended = follow_until_interrupted(&store, &events, &mut since, &mut backoff).await;
        if let Err(error) = ended {
            if error == StoreError::Compacted {
                since = None;
            }
            log::warn!("keeper: following the key-value service failed: {error}");
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }
}

async fn follow_until_interrupted(
    store: &SharedStore,
    events: &mpsc::Sender<LiveEvent>,
    since: &mut Option<StoreVersion>,
    backoff: &mut Backoff,
) -> Result<(), StoreError> {
    let start = match *since {
        Some(version) if !has_gone_back(store, events, version).await? => version,
        _ => list(store, events).await?,
    };
    *since = Some(start);
    let mut watch = store.watch(LIVE_PREFIX, start);
    loop {
        let Ok(batch) = timeout(WATCH_SILENCE_MAX, watch.next()).await else {
            return Ok(());
        };
        let Some(batch) = batch else {
            return Err(StoreError::Unknown("the watch was closed".to_owned()));
        };
        let batch = batch?;
        backoff.reset();
        for change in batch.changes {
            send_change(change, events).await;
        }
        *since = (*since).max(Some(batch.version));
    }
}

/// Reads the head, in case the watch missed a write, and returns whether the service was restored
/// from an older copy of its data.
async fn has_gone_back(
    store: &SharedStore,
    events: &mpsc::Sender<LiveEvent>,
    since: StoreVersion,
) -> Result<bool, StoreError> {
    let read = store.range(HEAD_KEY, 1).await?;
    if read.version < since {
        log::warn!("keeper: the key-value service was restored from an older copy.");
        return Ok(true);
    }
    if let Some(event) = read.entries.into_iter().next().and_then(decode) {
        let _ = events.send(event).await;
    }
    Ok(false)
}

async fn list(
    store: &SharedStore,
    events: &mpsc::Sender<LiveEvent>,
) -> Result<StoreVersion, StoreError> {
    let end = prefix_end(LIVE_PREFIX);
    let mut start = LIVE_PREFIX.to_owned();
    let mut entries = Vec::new();
    let mut first_version = None;
    loop {
        let page = store.range_between(&start, &end, PAGE_ENTRIES_MAX).await?;
        first_version.get_or_insert(page.version);
        entries.extend(page.entries);
        match entries.last() {
            Some(last) if page.more => start = format!("{}\0", last.key),
            _ => break,
        }
    }
    let _ = events.send(decode_list(entries)).await;
    Ok(first_version.unwrap_or_default())
}

fn decode_list(entries: Vec<Entry>) -> LiveEvent {
    let mut head = None;
    let mut members = Vec::new();
    let mut records = Vec::new();
    let mut leaving = Vec::new();
    for entry in entries {
        match decode(entry) {
            Some(LiveEvent::Head(found)) => head = Some(found),
            Some(LiveEvent::MemberWritten(member)) => members.push(member),
            Some(LiveEvent::MemberLeaving(vm)) => leaving.push(vm),
            Some(LiveEvent::RecordWritten(runner, record)) => records.push((runner, record)),
            _ => {}
        }
    }
    members.retain(|member: &Member| !leaving.contains(&member.vm));
    LiveEvent::Listed {
        head,
        members,
        records,
    }
}

async fn send_change(change: Change, events: &mpsc::Sender<LiveEvent>) {
    let event = match change {
        Change::Put(entry) => decode(entry),
        Change::Delete { key, .. } => decode_deletion(&key),
    };
    if let Some(event) = event {
        let _ = events.send(event).await;
    }
}

fn decode_deletion(key: &str) -> Option<LiveEvent> {
    let vm = key.strip_prefix(MEMBERS_PREFIX)?;
    Some(LiveEvent::MemberKeyDeleted(vm.parse().ok()?))
}

fn decode(entry: Entry) -> Option<LiveEvent> {
    let event = decode_entry(&entry);
    if event.is_none() {
        log::error!("keeper: the value of {} cannot be decoded.", entry.key);
    }
    event
}

fn decode_entry(entry: &Entry) -> Option<LiveEvent> {
    if entry.key == HEAD_KEY {
        return serde_json::from_slice(&entry.value)
            .ok()
            .map(LiveEvent::Head);
    }
    if entry.key.starts_with(MEMBERS_PREFIX) {
        return serde_json::from_slice(&entry.value)
            .ok()
            .map(LiveEvent::MemberWritten);
    }
    if let Some(vm) = entry.key.strip_prefix(LEAVING_PREFIX) {
        return Some(LiveEvent::MemberLeaving(vm.parse().ok()?));
    }
    let runner = entry.key.strip_prefix(RUNNERS_PREFIX)?;
    Some(LiveEvent::RecordWritten(
        runner.parse().ok()?,
        entry.value.clone(),
    ))
}
