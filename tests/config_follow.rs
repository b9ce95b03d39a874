//! Tests of `RevisionFollower` and `fetch_snapshot`: which revisions are activated, which
//! inconsistencies are reported, and which sources are queried.

#[path = "common/catalogs.rs"]
mod catalogs;

use {
    catalogs::sample_catalog,
    futures::future::{FutureExt, LocalBoxFuture},
    greengagetrail::{
        config::{
            ActivationError, Blob, BlobSource, BlobSourceError, Digest, EncodedSnapshot,
            FetchPolicy, Head, HeadComparison, HeadOrigin, HistoryFault, RevisionFollower,
            STORE_BEHIND_REPORT_DELAY, SnapshotError, fetch_snapshot,
        },
        units::{PublishId, Revision},
    },
    std::cell::Cell,
    tokio::time::{Instant, advance},
};

fn snapshot(models: usize) -> EncodedSnapshot {
    EncodedSnapshot::encode(&sample_catalog(models)).unwrap()
}

fn head(revision: u64, snapshot: &EncodedSnapshot) -> Head {
    Head {
        revision: Revision(revision),
        digest: snapshot.digest(),
        publish_id: PublishId::random(),
        author: "tester".to_owned(),
        message: "a change".to_owned(),
        published_at_ms: 0,
    }
}

fn follower_at(revision: u64) -> RevisionFollower {
    let mut follower = RevisionFollower::default();
    let content = snapshot(1);
    assert_eq!(
        follower.activate_if_newer(head(revision, &content), content),
        Ok(true)
    );
    follower
}

/// The behaviour of a fake source.
enum Behaviour {
    /// Returns the requested blobs of a snapshot.
    Returns(EncodedSnapshot),
    /// Responds with an error.
    Fails,
    /// Never responds.
    Hangs,
}

/// A source of blobs with a fixed behaviour, which counts its calls.
struct FakeSource {
    behaviour: Behaviour,
    calls: Cell<usize>,
}

impl FakeSource {
    fn new(behaviour: Behaviour) -> Self {
        Self {
            behaviour,
            calls: Cell::new(0),
        }
    }
}

impl BlobSource for FakeSource {
    fn fetch<'a>(
        &'a self,
        digests: &'a [Digest],
    ) -> LocalBoxFuture<'a, Result<Vec<Blob>, BlobSourceError>> {
        self.calls.set(self.calls.get() + 1);
        async move {
            match &self.behaviour {
                Behaviour::Returns(snapshot) => {
                    let find = |digest: &Digest| snapshot.blob(*digest).ok().cloned();
                    Ok(digests.iter().filter_map(find).collect())
                }
                Behaviour::Fails => Err(BlobSourceError::Peer("gone".to_owned())),
                Behaviour::Hangs => futures::future::pending().await,
            }
        }
        .boxed_local()
    }
}

#[tokio::test(start_paused = true)]
async fn only_higher_revisions_are_activated() {
    let mut follower = follower_at(5);
    for (revision, accepted) in [(4, false), (5, false), (7, true), (6, false), (8, true)] {
        let content = snapshot(revision as usize);
        let offered = head(revision, &content);
        assert_eq!(
            follower.activate_if_newer(offered, content),
            Ok(accepted),
            "revision {revision}"
        );
    }
    assert_eq!(follower.revision(), Revision(8));
    assert_eq!(*follower.current().unwrap().catalog, sample_catalog(8));
}

#[tokio::test(start_paused = true)]
async fn newest_known_head_counts_before_its_content_is_fetched() {
    let mut follower = follower_at(5);
    assert_eq!(follower.newest_known().unwrap().revision, Revision(5));
    for (revision, newest) in [(8, 8), (7, 8), (9, 9), (4, 9)] {
        follower.record_head(&head(revision, &snapshot(2)), HeadOrigin::Peer);
        assert_eq!(follower.newest_known().unwrap().revision, Revision(newest));
        assert_eq!(follower.revision(), Revision(5));
    }
}

#[tokio::test(start_paused = true)]
async fn snapshot_must_match_the_head() {
    let mut follower = follower_at(1);
    let (expected, other) = (snapshot(2), snapshot(3));
    let refused = follower.activate_if_newer(head(2, &expected), other);
    assert!(matches!(
        refused,
        Err(ActivationError::SnapshotMismatch { .. })
    ));
    let truncated = EncodedSnapshot::from_blobs(expected.digest(), expected.blobs()[..1].to_vec());
    assert!(matches!(
        follower.activate_if_newer(head(2, &expected), truncated),
        Err(ActivationError::Snapshot(_))
    ));
    assert_eq!(follower.revision(), Revision(1));
}

#[tokio::test(start_paused = true)]
async fn restored_store_is_reported_only_when_it_stays_behind() {
    let mut follower = follower_at(5);
    let old = head(3, &snapshot(1));
    assert_eq!(
        follower.record_head(&old, HeadOrigin::Peer),
        HeadComparison::Older
    );
    advance(STORE_BEHIND_REPORT_DELAY).await;
    assert!(
        follower.faults().is_empty(),
        "an older head from a peer is not a fault"
    );
    assert_eq!(
        follower.record_head(&old, HeadOrigin::Store),
        HeadComparison::Older
    );
    assert!(
        follower.faults().is_empty(),
        "one older head from the store is not a fault"
    );
    advance(STORE_BEHIND_REPORT_DELAY).await;
    assert_eq!(follower.faults(), [HistoryFault::StoreBehind(old)]);
    let restored = follower.current().unwrap().head.clone();
    assert_eq!(
        follower.record_head(&restored, HeadOrigin::Store),
        HeadComparison::InForce
    );
    assert!(follower.faults().is_empty());
}

#[tokio::test(start_paused = true)]
async fn same_revision_with_other_content_is_reported_until_a_higher_revision() {
    let mut follower = follower_at(5);
    let other = head(5, &snapshot(9));
    assert_eq!(
        follower.record_head(&other, HeadOrigin::Peer),
        HeadComparison::Diverged
    );
    assert_eq!(
        follower.activate_if_newer(other.clone(), snapshot(9)),
        Ok(false)
    );
    assert_eq!(follower.faults(), [HistoryFault::Diverged(other)]);
    let next = snapshot(10);
    assert_eq!(follower.activate_if_newer(head(6, &next), next), Ok(true));
    assert!(follower.faults().is_empty());
}

#[tokio::test(start_paused = true)]
async fn sources_are_queried_in_turn_for_missing_blobs() {
    let expected = snapshot(200);
    let held = snapshot(201).blobs().to_vec();
    let failing = FakeSource::new(Behaviour::Fails);
    let hanging = FakeSource::new(Behaviour::Hangs);
    let partial = FakeSource::new(Behaviour::Returns(EncodedSnapshot::from_blobs(
        expected.digest(),
        expected.blobs()[..4].to_vec(),
    )));
    let complete = FakeSource::new(Behaviour::Returns(expected.clone()));
    let unused = FakeSource::new(Behaviour::Fails);
    let sources: [&dyn BlobSource; 5] = [&failing, &hanging, &partial, &complete, &unused];
    let policy = FetchPolicy::default();
    let started = Instant::now();
    let fetched = fetch_snapshot(expected.digest(), &held, &sources, &policy).await;
    assert_eq!(fetched, Ok(expected));
    assert_eq!(unused.calls.get(), 0);
    let waited_ms = started.elapsed().as_millis() as u64;
    assert!(
        waited_ms <= 2 * policy.response_timeout_ms + 100,
        "{waited_ms} ms"
    );
}

#[tokio::test(start_paused = true)]
async fn missing_blob_is_an_error() {
    let expected = snapshot(3);
    let other = FakeSource::new(Behaviour::Returns(snapshot(50)));
    let fetched = fetch_snapshot(expected.digest(), &[], &[&other], &FetchPolicy::default()).await;
    assert_eq!(fetched, Err(SnapshotError::MissingBlob(expected.digest())));
}
