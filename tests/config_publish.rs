//! Tests of publishing: conflicts, outcomes after lost replies and restores, and retention.

mod common {
    pub mod catalogs;
    pub mod failing_store;
    pub mod faulty_store;
    pub mod late_store;
    pub mod publications;
}

use {
    common::{
        catalogs::sample_catalog, failing_store::FailingStore, late_store::LateStore,
        publications::publication,
    },
    greengagetrail::{
        config::{
            EncodedSnapshot, FetchPolicy, HISTORY_MAX_REVISIONS, Head, PublishError,
            PublishOutcome, Publisher, SnapshotError, StoreBlobSource, collect_garbage,
            fetch_snapshot,
        },
        standin::kv::{KvFaults, MemoryStore},
        store::{
            Store, StoreError,
            keys::{BLOB_PREFIX, CHAIN_PREFIX},
        },
        units::{PublishId, Revision},
    },
    std::sync::Arc,
};

/// Returns a publisher that writes to a store.
fn publisher(store: &MemoryStore) -> Publisher {
    Publisher::new(Arc::new(store.clone()))
}

/// Publishes a catalog with a number of models, based on a revision.
async fn publish(store: &MemoryStore, models: usize, expected: u64) -> PublishOutcome {
    let published = publication(models, expected);
    let outcome = publisher(store).publish(&published, || None).await;
    outcome.unwrap()
}

/// Returns faults that lose the reply to the next write.
fn one_lost_reply() -> KvFaults {
    KvFaults {
        lost_answers: 1,
        ..KvFaults::default()
    }
}

async fn fetch(store: &MemoryStore, head: &Head) -> Result<EncodedSnapshot, SnapshotError> {
    let source = StoreBlobSource::new(store);
    fetch_snapshot(head.digest, &[], &[&source], &FetchPolicy::default()).await
}

async fn blob_count(store: &MemoryStore) -> usize {
    store
        .range(BLOB_PREFIX, 10_000)
        .await
        .unwrap()
        .entries
        .len()
}

#[tokio::test(start_paused = true)]
async fn published_content_is_read_back() {
    let store = MemoryStore::new();
    let published = publication(40, 0);
    let outcome = publisher(&store)
        .publish(&published, || None)
        .await
        .unwrap();
    let PublishOutcome::Published(head) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(head.revision, Revision(1));
    assert_eq!(publisher(&store).head().await.unwrap(), Some(head.clone()));
    let fetched = fetch(&store, &head);
    assert_eq!(fetched.await.unwrap().decode().unwrap(), sample_catalog(40));
}

#[tokio::test(start_paused = true)]
async fn conflicting_publication_returns_the_stored_head() {
    let store = MemoryStore::new();
    let first = publish(&store, 1, 0).await;
    let PublishOutcome::Published(winner) = first else {
        panic!("{first:?}");
    };
    let second = publisher(&store).publish(&publication(2, 0), || None).await;
    assert_eq!(second, Ok(PublishOutcome::Conflict(winner)));
    let third = publisher(&store).publish(&publication(2, 7), || None).await;
    assert!(matches!(third, Err(PublishError::NoSuchRevision { .. })));
}

#[tokio::test(start_paused = true)]
async fn retried_attempt_is_published_once() {
    let store = MemoryStore::new();
    let attempt = publication(1, 0);
    let first = publisher(&store).publish(&attempt, || None).await.unwrap();
    publish(&store, 2, 1).await;
    assert_eq!(
        publisher(&store).publish(&attempt, || None).await.unwrap(),
        first
    );
    assert_eq!(publisher(&store).history(10).await.unwrap().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn lost_replies_are_resolved() {
    for lost_answers in 0..4 {
        for lost_calls in 0..4 {
            let store = MemoryStore::new();
            store.set_faults(KvFaults {
                lost_answers,
                lost_calls,
                ..KvFaults::default()
            });
            let outcome = publisher(&store).publish(&publication(1, 0), || None).await;
            let head = publisher(&store).head().await.unwrap();
            match outcome {
                Ok(PublishOutcome::Published(published)) => assert_eq!(head, Some(published)),
                Err(PublishError::Store(StoreError::Unknown(_))) => assert_eq!(head, None),
                other => panic!("{lost_answers} {lost_calls}: {other:?}"),
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn late_write_does_not_contradict_the_outcome() {
    for seed in 0..200 {
        let store = MemoryStore::new();
        let late = Arc::new(LateStore::new(Arc::new(store.clone()), seed, 40));
        let attempt = publication(1, 0);
        let outcome = Publisher::new(late).publish(&attempt, || None).await;
        tokio::time::sleep(std::time::Duration::from_secs(60)).await;
        let history = publisher(&store).history(10).await.unwrap();
        let took_effect = history
            .iter()
            .any(|head| head.publish_id == attempt.publish_id);
        match outcome {
            Ok(PublishOutcome::Published(_)) => assert!(took_effect, "seed {seed}"),
            Ok(PublishOutcome::Conflict(_)) | Err(_) => assert!(!took_effect, "seed {seed}"),
            Ok(PublishOutcome::Unknown(_)) => {}
        }
        assert!(history.len() <= 1, "seed {seed}: published twice");
    }
}

#[tokio::test(start_paused = true)]
async fn outage_after_the_swap_leaves_the_outcome_unknown() {
    let store = MemoryStore::new();
    publish(&store, 1, 0).await;
    let link = store.link();
    // The manifest is the only new blob, so the second write is the swap.
    let attempt = publication(1, 1);
    link.set_faults(one_lost_reply());
    let publisher = Publisher::new(Arc::new(link.clone()));
    let publishing = publisher.publish(&attempt, || None);
    let outage = async {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        link.set_faults(KvFaults::DOWN);
    };
    let (outcome, ()) = tokio::join!(publishing, outage);
    assert_eq!(outcome, Ok(PublishOutcome::Unknown(attempt.publish_id)));
}

/// VMs may have received the head before the restore undid the swap, so that later reads of the
/// service cannot determine the outcome.
#[tokio::test(start_paused = true)]
async fn restore_after_the_swap_leaves_the_outcome_unknown() {
    let store = MemoryStore::new();
    publish(&store, 1, 0).await;
    let copy = store.copy_state();
    publish(&store, 1, 1).await;
    let link = store.link();
    link.set_faults(one_lost_reply());
    let attempt = publication(1, 2);
    let publisher = Publisher::new(Arc::new(link));
    let publishing = publisher.publish(&attempt, || None);
    let restore = async {
        tokio::time::sleep(std::time::Duration::from_millis(1000)).await;
        store.restore(copy);
        // The call of the swap times out after 2 s, and the second read follows 100 ms later.
        tokio::time::sleep(std::time::Duration::from_millis(1050)).await;
        publish(&store, 1, 1).await;
        publish(&store, 1, 2).await;
    };
    let (outcome, ()) = tokio::join!(publishing, restore);
    assert_eq!(outcome, Ok(PublishOutcome::Unknown(attempt.publish_id)));
}

/// The restored copy is as new as all that the publisher read; only the heads known to VMs show that
/// the swap took effect.
#[tokio::test(start_paused = true)]
async fn restore_to_the_state_before_the_swap_is_detected_by_known_heads() {
    let store = MemoryStore::new();
    publish(&store, 1, 0).await;
    let copy = store.copy_state();
    let link = store.link();
    link.set_faults(one_lost_reply());
    let attempt = publication(1, 1);
    let known = std::sync::Mutex::new(None);
    let publishing = Publisher::new(Arc::new(link));
    let publishing = publishing.publish(&attempt, || known.lock().unwrap().clone());
    let restore = async {
        tokio::time::sleep(std::time::Duration::from_millis(1000)).await;
        let PublishOutcome::Published(next) = publish(&store, 1, 2).await else {
            panic!("the swap took no effect");
        };
        *known.lock().unwrap() = Some(next);
        store.restore(copy);
    };
    let (outcome, ()) = tokio::join!(publishing, restore);
    assert_eq!(outcome, Ok(PublishOutcome::Unknown(attempt.publish_id)));
}

#[tokio::test(start_paused = true)]
async fn publication_is_atomic() {
    for calls in 0..12 {
        let store = MemoryStore::new();
        publish(&store, 1, 0).await;
        let link = store.link();
        let failing = FailingStore::new(Arc::new(link), calls);
        let outcome = Publisher::new(Arc::new(failing))
            .publish(&publication(80, 1), || None)
            .await;
        let head = publisher(&store).head().await.unwrap().unwrap();
        let fetched = fetch(&store, &head).await;
        assert!(fetched.is_ok(), "after {calls} calls");
        let published = matches!(outcome, Ok(PublishOutcome::Published(_)));
        assert_eq!(
            published,
            head.revision == Revision(2),
            "after {calls} calls"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn revision_goes_above_the_known_one_after_a_restore() {
    let store = MemoryStore::new();
    publish(&store, 1, 0).await;
    let copy = store.copy_state();
    for expected in 1..4 {
        publish(&store, 2, expected).await;
    }
    let known = publisher(&store).head().await.unwrap().unwrap();
    store.restore(copy);
    let stale = publisher(&store)
        .publish(&publication(3, 1), || Some(known.clone()))
        .await;
    assert_eq!(stale, Ok(PublishOutcome::Conflict(known.clone())));
    let outcome = publisher(&store)
        .publish(&publication(3, 4), || Some(known.clone()))
        .await
        .unwrap();
    let PublishOutcome::Published(head) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(head.revision, Revision(5));
}

#[tokio::test(start_paused = true)]
async fn known_head_is_written_back_after_a_restore() {
    let store = MemoryStore::new();
    publish(&store, 1, 0).await;
    let copy = store.copy_state();
    publish(&store, 20, 1).await;
    let known = publisher(&store).head().await.unwrap().unwrap();
    let snapshot = EncodedSnapshot::encode(&sample_catalog(20)).unwrap();
    store.restore(copy);
    assert!(
        publisher(&store)
            .restore_head(&known, &snapshot)
            .await
            .unwrap()
    );
    assert_eq!(publisher(&store).head().await.unwrap(), Some(known.clone()));
    let fetched = fetch(&store, &known);
    assert_eq!(fetched.await.unwrap(), snapshot);
}

#[tokio::test(start_paused = true)]
async fn chain_and_blobs_are_bounded() {
    let store = MemoryStore::new();
    let revisions = HISTORY_MAX_REVISIONS + 20;
    let mut most_blobs = 0;
    for expected in 0..revisions {
        let published = publication(1 + (expected as usize % 50), expected);
        publisher(&store)
            .publish(&published, || None)
            .await
            .unwrap();
        collect_garbage(&store).await.unwrap();
        most_blobs = most_blobs.max(blob_count(&store).await);
    }
    let chain = store
        .range(CHAIN_PREFIX, 10_000)
        .await
        .unwrap()
        .entries
        .len();
    assert_eq!(chain as u64, HISTORY_MAX_REVISIONS);
    // At most 11 blobs per revision, for the retained revisions and those just replaced.
    assert!(most_blobs <= 11 * 10, "{most_blobs} blobs");
    let newest = publisher(&store).history(3).await.unwrap();
    assert_eq!(newest[0].revision, Revision(revisions));
    assert_eq!(newest.len(), 3);
}

#[tokio::test(start_paused = true)]
async fn garbage_collection_keeps_blobs_that_a_publisher_relies_on() {
    for delay_ms in 0..60 {
        let store = MemoryStore::new();
        publish(&store, 1, 0).await;
        // Blobs of a failed publication, which the next publication needs.
        let abandoned = FailingStore::new(Arc::new(store.clone()), 3);
        let _ = Publisher::new(Arc::new(abandoned))
            .publish(&publication(40, 1), || None)
            .await;
        let slow = store.link();
        slow.set_faults(KvFaults {
            slow_ms: 10,
            ..KvFaults::default()
        });
        let publisher = Publisher::new(Arc::new(slow));
        let attempt = publication(40, 1);
        let collecting = async {
            tokio::time::sleep(std::time::Duration::from_millis(delay_ms)).await;
            collect_garbage(&store).await.unwrap()
        };
        let (outcome, _) = tokio::join!(publisher.publish(&attempt, || None), collecting);
        let PublishOutcome::Published(head) = outcome.unwrap() else {
            panic!("not published with a collection after {delay_ms} ms");
        };
        let fetched = fetch(&store, &head);
        assert!(fetched.await.is_ok(), "a blob is gone after {delay_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn author_and_message_are_required_and_bounded() {
    let store = MemoryStore::new();
    let mut unnamed = publication(1, 0);
    unnamed.author = " ".to_owned();
    let mut too_long = publication(1, 0);
    too_long.message = "x".repeat(2000);
    for refused in [unnamed, too_long] {
        let outcome = publisher(&store).publish(&refused, || None).await;
        assert!(
            matches!(outcome, Err(PublishError::InvalidText { .. })),
            "{outcome:?}"
        );
    }
    assert_ne!(PublishId::random(), PublishId::random());
}
