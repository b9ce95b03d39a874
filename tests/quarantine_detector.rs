//! A runner that ended is told from a connection that broke.

use {
    greengagetrail::{
        discovery::RunnerKey,
        quarantine::{
            BrokenRequest, ContentId, CrashDetector, CrashedRequest, EndedAttempts, HARMLESS_AFTER,
            PartId, Quarantine, QuarantineMessage, RequestDigest, RequestFingerprint, RunnerCrash,
        },
        relay::{GenerationRequest, PromptPart},
    },
    std::time::Duration,
    tokio::time::{Instant, advance},
};

const DIGEST: RequestDigest = RequestDigest(0xd);

fn key(id: &str) -> RunnerKey {
    RunnerKey {
        id: id.into(),
        born_unix_ms: 1,
    }
}

fn fingerprint(parts: &[u64]) -> RequestFingerprint {
    let parts = parts.iter().map(|&id| PromptPart { id, tokens: 10 });
    let generation = GenerationRequest {
        model: "m".into(),
        adapter: None,
        prompt_tokens: 10,
        output_tokens_max: 10,
        output_tokens_hint: None,
        prompt_parts: parts.collect(),
    };
    RequestFingerprint::new(DIGEST, Some(&generation))
}

fn broken(runner: &str, answered_for: Duration) -> BrokenRequest {
    BrokenRequest {
        runner: key(runner),
        service: "desk".into(),
        fingerprint: fingerprint(&[1, 2]),
        assigned_at: Instant::now(),
        answered_for,
        looked_complete: false,
        ended_at: Instant::now(),
    }
}

#[test]
fn a_fingerprint_keeps_the_last_part_apart() {
    let many = fingerprint(&[3, 1, 3, 7]);
    assert_eq!(many.own, Some(PartId(7)));
    assert_eq!(*many.shared, [PartId(1), PartId(3)]);
    let one = fingerprint(&[7]);
    assert_eq!((one.own, one.shared.len()), (Some(PartId(7)), 0));
    let plain = RequestFingerprint::new(DIGEST, None);
    assert_eq!(plain, fingerprint(&[]));
    assert_eq!((plain.own, plain.shared.len()), (None, 0));
    assert_eq!(plain.digest, DIGEST);
    assert_eq!("ff".parse(), Ok(PartId(255)));
    assert_eq!(PartId(255).to_string(), "ff");
    assert!("part".parse::<PartId>().is_err());
}

#[tokio::test(start_paused = true)]
async fn broken_requests_are_a_crash_only_if_their_runner_ended() {
    let mut detector = CrashDetector::default();
    let now = Instant::now();
    assert!(
        detector
            .record_broken(broken("a", Duration::ZERO), now)
            .is_none()
    );
    assert!(
        detector
            .record_broken(broken("a", HARMLESS_AFTER), now)
            .is_none()
    );
    assert!(detector.record_end(&key("b"), now).is_none());
    let ended = detector.record_end(&key("a"), now).unwrap();
    let mut counted = EndedAttempts::default();
    counted.count(&ended);
    assert_eq!((counted.just_begun, counted.answering), (1, 1));
    assert!(detector.record_end(&key("a"), now).is_none());
    // The end of a runner may be known before its connections break.
    let late = detector.record_broken(broken("b", Duration::ZERO), now);
    assert_eq!(late.unwrap().runner, key("b"));
}

#[tokio::test(start_paused = true)]
async fn an_end_long_after_a_broken_request_is_no_crash() {
    let mut detector = CrashDetector::default();
    detector.record_broken(broken("a", Duration::ZERO), Instant::now());
    advance(Duration::from_secs(6)).await;
    assert!(detector.record_end(&key("a"), Instant::now()).is_none());
}

// Guards against short responses that never show their parts to be harmless.
#[tokio::test(start_paused = true)]
async fn a_response_that_looked_complete_is_complete_if_its_runner_goes_on() {
    let mut detector = CrashDetector::default();
    for runner in ["a", "b"] {
        let mut request = broken(runner, Duration::ZERO);
        request.looked_complete = true;
        detector.record_broken(request, Instant::now());
    }
    assert!(detector.take_complete(Instant::now()).is_empty());
    assert!(detector.record_end(&key("a"), Instant::now()).is_some());
    advance(Duration::from_secs(1)).await;
    let complete = detector.take_complete(Instant::now());
    assert_eq!(complete.len(), 1);
    assert_eq!(complete[0].runner, key("b"));
}

#[test]
fn a_digest_differs_with_each_field_of_a_request() {
    let digest = RequestDigest::of(&[b"GET", b"/a", b"body"]);
    assert_eq!(digest, RequestDigest::of(&[b"GET", b"/a", b"body"]));
    assert_ne!(digest, RequestDigest::of(&[b"POST", b"/a", b"body"]));
    assert_ne!(digest, RequestDigest::of(&[b"GET", b"/ab", b"ody"]));
    assert_ne!(digest, RequestDigest::of(&[b"GET", b"/a", b"other"]));
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("digest".parse::<RequestDigest>().is_err());
    for content in [ContentId::Request(digest), ContentId::Part(PartId(255))] {
        assert_eq!(content.to_string().parse(), Ok(content));
    }
    assert!("request-".parse::<ContentId>().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_node_does_not_announce_what_another_one_has_just_cleared() {
    let crash = QuarantineMessage::Crash(RunnerCrash {
        runner: key("i-1"),
        service: "desk".into(),
        requests: vec![CrashedRequest {
            digest: RequestDigest(0xe),
            own: None,
            shared: vec![PartId(1)],
            assigned_ms_ago: 300,
            ended_ms_ago: 100,
        }],
    });
    let cleared = QuarantineMessage::Harmless(ContentId::Part(PartId(1)));
    let mut node = Quarantine::default();
    node.record_harmless(&fingerprint(&[1, 2]), Instant::now());
    node.apply(cleared.clone(), Instant::now());
    node.apply(crash.clone(), Instant::now());
    assert_eq!(node.take_messages(), []);
    advance(Duration::from_millis(400)).await;
    node.apply(crash, Instant::now());
    assert_eq!(node.take_messages(), [cleared]);
}
