//! The key-value stand-in in memory: versions, leases, watches and fault switches.

use {
    bytes::Bytes,
    futures::StreamExt,
    greengagetrail::{
        standin::kv::{KvFaults, MemoryStore},
        store::{Change, Compare, LeaseId, Op, Store, StoreError, StoreVersion, Txn},
    },
    std::time::Duration,
    tokio::time::{advance, timeout},
};

fn put(key: &str, value: &str, lease: Option<LeaseId>) -> Op {
    Op::Put {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        lease,
    }
}

fn write(key: &str, value: &str) -> Txn {
    Txn {
        then: vec![put(key, value, None)],
        ..Txn::default()
    }
}

fn create(key: &str, value: &str) -> Txn {
    Txn {
        compare: vec![Compare::Absent(key.to_owned())],
        otherwise: vec![Op::Get {
            key: key.to_owned(),
        }],
        ..write(key, value)
    }
}

#[tokio::test(start_paused = true)]
async fn of_two_creations_the_first_wins_and_the_second_reads_it() {
    let store = MemoryStore::new();
    let first = store.txn(create("/a", "1")).await.unwrap();
    let second = store.txn(create("/a", "2")).await.unwrap();
    assert!(first.succeeded);
    assert!(!second.succeeded);
    let read = second.reads[0].clone().unwrap();
    assert_eq!(read.value, "1");
    assert_eq!(read.modified, first.version);
    assert_eq!(second.version, first.version);
}

#[tokio::test(start_paused = true)]
async fn a_lapsed_lease_takes_its_keys_and_watches_see_it() {
    let store = MemoryStore::new();
    let lease = store.grant_lease(5).await.unwrap();
    let bound = Txn {
        then: vec![put("/m/a", "1", Some(lease.id))],
        ..Txn::default()
    };
    let version = store.txn(bound.clone()).await.unwrap().version;
    advance(Duration::from_secs(4)).await;
    store.renew_lease(lease.id).await.unwrap();
    advance(Duration::from_secs(4)).await;
    assert_eq!(store.range("/m/", 0).await.unwrap().entries.len(), 1);
    let mut watch = store.watch("/m/", version);
    let gone = async {
        while let Some(batch) = watch.next().await {
            let batch = batch.unwrap();
            if let Some(change) = batch.changes.into_iter().next() {
                return change;
            }
        }
        panic!("the watch ended");
    };
    let gone = timeout(Duration::from_secs(2), gone).await.unwrap();
    assert!(matches!(gone, Change::Delete { key, .. } if key == "/m/a"));
    let lapsed = StoreError::LeaseLapsed(lease.id);
    assert_eq!(store.renew_lease(lease.id).await, Err(lapsed.clone()));
    assert_eq!(store.txn(bound).await, Err(lapsed));
}

#[tokio::test(start_paused = true)]
async fn a_watch_reports_the_past_then_the_present_then_signs_of_life() {
    let store = MemoryStore::new();
    let since = store.txn(write("/w/a", "1")).await.unwrap().version;
    store.txn(write("/w/b", "2")).await.unwrap();
    store.txn(write("/x", "3")).await.unwrap();
    let mut watch = store.watch("/w/", since);
    let batch = watch.next().await.unwrap().unwrap();
    assert_eq!(batch.changes.len(), 1);
    let sign = watch.next().await.unwrap().unwrap();
    assert!(sign.changes.is_empty());
    store.txn(write("/w/c", "4")).await.unwrap();
    let batch = watch.next().await.unwrap().unwrap();
    assert!(matches!(&batch.changes[0], Change::Put(entry) if entry.key == "/w/c"));
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_took_effect_and_a_lost_call_did_not() {
    let store = MemoryStore::new();
    store.set_faults(KvFaults {
        lost_answers: 1,
        ..KvFaults::default()
    });
    let lost = store.txn(write("/a", "1")).await;
    assert!(matches!(lost, Err(StoreError::Unknown(_))));
    assert_eq!(store.range("/a", 0).await.unwrap().entries.len(), 1);
    store.set_faults(KvFaults {
        lost_calls: 1,
        ..KvFaults::default()
    });
    let lost = store.txn(write("/b", "1")).await;
    assert!(matches!(lost, Err(StoreError::Unknown(_))));
    assert!(store.range("/b", 0).await.unwrap().entries.is_empty());
    assert_eq!(store.counts().txn, 2);
    assert_eq!(store.counts().range, 2);
}

#[tokio::test(start_paused = true)]
async fn a_link_that_is_down_leaves_the_others_alone() {
    let store = MemoryStore::new();
    let link = store.link();
    link.set_faults(KvFaults::DOWN);
    let refused = link.range("/", 0).await;
    assert!(matches!(refused, Err(StoreError::Unreachable(_))));
    let ended = link.watch("/", StoreVersion(0)).collect::<Vec<_>>().await;
    assert!(matches!(ended[..], [Err(StoreError::Unreachable(_))]));
    assert!(store.range("/", 0).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn silent_and_stale_watches_hide_changes_until_switched_back() {
    let store = MemoryStore::new();
    let since = store.txn(write("/a", "1")).await.unwrap().version;
    store.set_faults(KvFaults {
        watch_stale: true,
        ..KvFaults::default()
    });
    let mut watch = store.watch("/", since);
    store.txn(write("/b", "1")).await.unwrap();
    let sign = watch.next().await.unwrap().unwrap();
    assert!(sign.changes.is_empty());
    assert_eq!(sign.version, since);
    store.set_faults(KvFaults::WATCH_SILENT);
    let silence = timeout(Duration::from_secs(60), watch.next()).await;
    assert!(silence.is_err());
    store.set_faults(KvFaults::default());
    let batch = watch.next().await.unwrap().unwrap();
    assert_eq!(batch.changes.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_older_copy_brings_back_older_versions_and_ends_watches() {
    let store = MemoryStore::new();
    store.txn(write("/a", "1")).await.unwrap();
    let copy = store.copy_state();
    let newer = store.txn(write("/a", "2")).await.unwrap().version;
    let mut watch = store.watch("/", newer);
    watch.next().await.unwrap().unwrap();
    store.restore(copy);
    assert!(matches!(
        watch.next().await,
        Some(Err(StoreError::Unknown(_)))
    ));
    assert!(watch.next().await.is_none());
    let range = store.range("/a", 0).await.unwrap();
    assert_eq!(range.entries[0].value, "1");
    assert!(range.version < newer);
}

#[tokio::test(start_paused = true)]
async fn a_watch_from_before_the_kept_changes_is_told_so() {
    let store = MemoryStore::new();
    let since = store.txn(write("/a", "1")).await.unwrap().version;
    let last = store.txn(write("/a", "2")).await.unwrap().version;
    let mut state = store.copy_state();
    state.compact(last);
    store.restore(state);
    let next = store.watch("/", since).next().await;
    assert_eq!(next, Some(Err(StoreError::Compacted)));
}
