//! Streams that callers take up again after their connection broke.

mod common {
    pub mod fake_backend;
    pub mod relay_rig;
}

use {
    common::{
        fake_backend::{Received, Step},
        relay_rig::{Answer, RESUMABLE, RelayRig, Setup, event, events, stream_end},
    },
    std::time::{Duration, Instant},
};

const LAST_EVENT: u64 = 6;

/// The time within which a request is refused that can't be served.
const REFUSED_WITHIN: Duration = Duration::from_millis(300);

/// Streams break after their third event; those that go on are complete.
fn break_once(received: &Received) -> Vec<Step> {
    let Some(after) = received.header("last-event-id") else {
        let mut steps = events(received, 1, 3);
        steps.push(Step::Close);
        return steps;
    };
    let mut steps = events(received, after.parse::<u64>().unwrap() + 1, LAST_EVENT);
    steps.push(stream_end());
    steps
}

/// A relay that resumes no stream itself, with runners of two software versions.
fn mixed(runners: usize) -> Setup {
    let mut setup = Setup::new(RESUMABLE);
    setup.software = vec!["v1", "v1.1"];
    setup.runners = runners;
    setup.attempts_max = 1;
    setup
}

async fn start(setup: &Setup) -> RelayRig {
    RelayRig::start(setup.clone(), |_, received| break_once(received)).await
}

/// Sends a request that breaks after three events; returns the number of the runner.
async fn begin_stream(rig: &RelayRig, id: &str) -> usize {
    let answer = rig.call_as(id, "").await;
    let text: String = (1..=3).map(event).collect();
    assert_eq!(answer.parts(), (200, text.as_str(), false));
    runner_of(rig, id).expect("a runner received the request")
}

fn runner_of(rig: &RelayRig, id: &str) -> Option<usize> {
    rig.runners.iter().position(|runner| {
        let received = runner.received();
        let mut ids = received.iter().map(|r| r.header("x-request-id"));
        ids.any(|known| known == Some(id))
    })
}

async fn take_up(rig: &RelayRig, id: &str, first_id: &str, last_event: u64) -> Answer {
    let headers = format!("last-event-id: {last_event}\r\nresumes: {first_id}\r\n");
    rig.call_as(id, &headers).await
}

// Guards against take-ups that join events of two software versions.
#[tokio::test]
async fn a_stream_that_is_taken_up_goes_on_at_its_software_version() {
    let setup = mixed(4);
    let rig = start(&setup).await;
    for stream in 0..8 {
        let (first, second) = (format!("a{stream}"), format!("b{stream}"));
        let began = begin_stream(&rig, &first).await;
        let answer = take_up(&rig, &second, &first, 3).await;
        let rest: String = (4..=LAST_EVENT).map(event).collect();
        assert_eq!(answer.parts(), (200, rest.as_str(), true), "{stream}");
        let went_on = runner_of(&rig, &second).expect("a runner received the take-up");
        let software = [began, went_on].map(|runner| setup.software_of(runner));
        assert_eq!(software[0], software[1], "{stream}");
    }
}

// Guards against a guess at the version of a stream that the system doesn't know.
#[tokio::test]
async fn a_stream_of_an_unknown_software_version_is_refused_at_once() {
    let rig = start(&mixed(4)).await;
    let answers = [
        take_up(&rig, "b", "a", 3).await,
        rig.call_as("c", "last-event-id: 3\r\n").await,
        rig.call_as("d", "last-event-id: 3\r\nresumes: \r\n").await,
    ];
    for answer in answers {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.body.contains("not-run"), "{answer:?}");
        assert!(answer.head.contains("x-retry-after-ms"), "{answer:?}");
    }
    assert!(rig.received().is_empty());
}

// Guards against take-ups that wait for a version whose runners have left.
#[tokio::test]
async fn a_take_up_without_a_runner_of_its_version_is_refused_at_once() {
    let setup = mixed(2);
    let rig = start(&setup).await;
    let began = begin_stream(&rig, "a").await;
    rig.remove_runner(began);
    let asked = Instant::now();
    let answer = take_up(&rig, "b", "a", 3).await;
    assert!(asked.elapsed() < REFUSED_WITHIN);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("not-run"), "{answer:?}");
    assert_eq!(rig.received().len(), 1);
}

// Guards against take-ups that are lost although only one version ever served.
#[tokio::test]
async fn a_take_up_goes_on_while_one_version_serves() {
    let mut setup = mixed(3);
    setup.software = vec!["v1"];
    let rig = start(&setup).await;
    let answer = take_up(&rig, "b", "unknown", 3).await;
    let rest: String = (4..=LAST_EVENT).map(event).collect();
    assert_eq!(answer.parts(), (200, rest.as_str(), true));
}

// Guards against a version that is forgotten as soon as its last runner left.
#[tokio::test]
async fn an_unknown_stream_is_refused_after_another_version_left() {
    let setup = mixed(2);
    let rig = start(&setup).await;
    rig.remove_runner(0);
    let answer = take_up(&rig, "b", "unknown", 3).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(rig.received().is_empty());
}

// Guards against a route with several services that joins the streams of two of them.
#[tokio::test]
async fn a_stream_of_a_split_route_goes_on_at_its_service() {
    let mut setup = mixed(2);
    (setup.software, setup.weights) = (vec!["v1"], vec![1, 1]);
    for stream in 0..8 {
        // The runners are of the two services in turn.
        let first = format!("a{stream}");
        let began = begin_stream(&start(&setup).await, &first).await;
        let other_node = start(&setup).await;
        let answer = take_up(&other_node, &format!("b{stream}"), &first, 3).await;
        assert_eq!(answer.status, 200, "{stream}");
        let went_on = runner_of(&other_node, &format!("b{stream}"));
        assert_eq!(went_on, Some(began), "{stream}");
    }
}

// Guards against "not run" for a resumed stream whose first attempt may have run.
#[tokio::test]
async fn a_take_up_that_may_have_run_is_not_called_not_run() {
    let mut setup = mixed(2);
    setup.attempts_max = 3;
    let rig = RelayRig::start(setup, |_, received| match received.header("x-request-id") {
        Some("a") => break_once(received),
        _ => vec![Step::Close],
    })
    .await;
    let began = rig.call_as("a", "").await;
    assert!(!began.complete);
    let asked = Instant::now();
    let answer = take_up(&rig, "b", "a", 3).await;
    assert!(asked.elapsed() < REFUSED_WITHIN);
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(!answer.body.contains("not-run"), "{answer:?}");
}
