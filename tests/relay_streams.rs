//! Event streams: each event once and in order, resumed after a failure or ended with an error.

mod common {
    pub mod fake_backend;
    pub mod relay_rig;
}

use {
    bytes::Bytes,
    common::{
        fake_backend::{Received, Step},
        relay_rig::{
            Answer, RESUMABLE, RelayRig, STREAM_ONCE, Setup, chunk, event, events, signed,
            stream_end, with_head,
        },
    },
    greengagetrail::{relay::EventSplitter, traffic::RouteKind},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

const LAST_EVENT: u64 = 6;

/// Returns the steps of a stream from the event that the request asks for to the end.
fn whole(received: &Received) -> Vec<Step> {
    let after = received
        .header("last-event-id")
        .map_or(0, |id| id.parse().unwrap());
    let mut steps = events(received, after + 1, LAST_EVENT);
    steps.push(stream_end());
    steps
}

fn text(from: u64, to: u64) -> String {
    (from..=to).map(event).collect()
}

type Script = fn(&Received) -> Vec<Step>;

async fn call_with_first_attempt(
    kind: RouteKind,
    first: Script,
    headers: &str,
) -> (Answer, RelayRig) {
    let rig = RelayRig::start(Setup::new(kind), move |number, received| match number {
        0 => first(received),
        _ => whole(received),
    })
    .await;
    (rig.call(headers).await, rig)
}

fn then(mut steps: Vec<Step>, more: impl IntoIterator<Item = Step>) -> Vec<Step> {
    steps.extend(more);
    steps
}

fn three_events_then(received: &Received, more: impl IntoIterator<Item = Step>) -> Vec<Step> {
    then(events(received, 1, 3), more)
}

/// Streams that fail after the third event.
const FAILING_STREAMS: [Script; 7] = [
    |r| three_events_then(r, [Step::Close]),
    |r| three_events_then(r, [Step::Pause(Duration::from_millis(50)), Step::Reset]),
    |r| three_events_then(r, [chunk("id: 4\nda"), Step::Close]),
    |r| three_events_then(r, [chunk("id: 4\nda"), stream_end()]),
    |r| three_events_then(r, [chunk(&event(5)), chunk(&event(6)), stream_end()]),
    |r| three_events_then(r, [chunk(&event(3)), chunk(&event(4)), stream_end()]),
    |r| three_events_then(r, [Step::send("spoilt\r\n"), Step::Hang]),
];

#[tokio::test]
async fn a_complete_stream_is_forwarded_after_the_events_the_caller_has() {
    for kind in [RESUMABLE, STREAM_ONCE] {
        let (answer, rig) = call_with_first_attempt(kind, whole, "last-event-id: 2\r\n").await;
        let whole = text(3, LAST_EVENT);
        assert_eq!(answer.parts(), (200, whole.as_str(), true));
        assert!(answer.head.contains("x-signature: s"));
        assert_eq!(rig.received().len(), 1);
    }
}

#[tokio::test]
async fn a_failed_resumable_stream_continues_at_another_runner() {
    for (index, script) in FAILING_STREAMS.into_iter().enumerate() {
        let (answer, rig) = call_with_first_attempt(RESUMABLE, script, "").await;
        let whole = text(1, LAST_EVENT);
        assert_eq!(answer.parts(), (200, whole.as_str(), true), "{index}");
        let received = rig.received();
        assert_eq!(received.len(), 2);
        let resumed = received
            .iter()
            .filter(|received| received.header("last-event-id") == Some("3"));
        assert_eq!(resumed.count(), 1);
    }
}

#[tokio::test]
async fn a_failed_stream_that_is_not_resumable_fails_visibly() {
    for (index, script) in FAILING_STREAMS.into_iter().enumerate() {
        let (answer, rig) = call_with_first_attempt(STREAM_ONCE, script, "").await;
        assert_eq!(
            (answer.status, answer.complete),
            (200, false),
            "stream {index}"
        );
        assert_eq!(answer.body, text(1, 3), "stream {index}");
        assert_eq!(rig.received().len(), 1);
    }
}

#[tokio::test]
async fn a_stream_that_fails_before_its_first_event_is_retried_or_refused() {
    let scripts: [Script; 3] = [
        |received| then(events(received, 1, 0), [Step::Close]),
        |received| then(events(received, 1, 0), [chunk("id: 1\n"), Step::Reset]),
        |received| then(events(received, 1, 0), [Step::Reset]),
    ];
    for script in scripts {
        let (answer, rig) = call_with_first_attempt(RESUMABLE, script, "").await;
        assert_eq!((answer.body, answer.complete), (text(1, LAST_EVENT), true));
        assert_eq!(rig.received().len(), 2);
        let (answer, rig) = call_with_first_attempt(STREAM_ONCE, script, "").await;
        assert_eq!((answer.status, rig.received().len()), (502, 1));
    }
    let (answer, rig) =
        call_with_first_attempt(STREAM_ONCE, |r| signed(r, 500, "", "why"), "").await;
    assert_eq!(
        (answer.status, answer.body.as_str(), rig.received().len()),
        (500, "why", 1)
    );
    let shed: Script = |r| with_head(r, 503, "x-not-executed: 1\r\ncontent-length: 0\r\n", "");
    let (answer, _) = call_with_first_attempt(STREAM_ONCE, shed, "").await;
    assert_eq!(answer.body, text(1, LAST_EVENT));
}

#[tokio::test]
async fn a_stream_is_resumed_no_more_often_than_its_route_allows() {
    let rig = RelayRig::start(Setup::new(RESUMABLE), |number, received| {
        let from = number as u64 + 1;
        then(events(received, from, from), [Step::Close])
    })
    .await;
    let answer = rig.call("").await;
    assert_eq!((answer.body, answer.complete), (text(1, 3), false));
    assert_eq!(rig.received().len(), 3);
}

#[tokio::test]
async fn events_are_forwarded_as_they_arrive() {
    let rig = RelayRig::start(Setup::new(STREAM_ONCE), |_, received| {
        let pause = Step::Pause(Duration::from_millis(300));
        then(
            events(received, 1, 1),
            [pause.clone(), chunk(&event(2)), pause, stream_end()],
        )
    })
    .await;
    let mut caller = rig.caller().await;
    caller.send("", "").await;
    let began = Instant::now();
    caller.read_text("id: 1\n").await;
    assert!(began.elapsed() < Duration::from_millis(200));
    caller.read_text("id: 2\n").await;
    assert!(began.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn a_connection_is_reused_after_a_complete_stream() {
    let runner = common::fake_backend::FakeBackend::start(|received| {
        let mut steps = with_head(
            received,
            200,
            "x-signature: s\r\nx-idle-s: 5\r\ntransfer-encoding: chunked\r\n",
            "",
        );
        steps.extend([chunk(&event(1)), stream_end()]);
        steps
    })
    .await;
    let at = [runner.address];
    let rig = RelayRig::over(Setup::new(RESUMABLE), vec![runner], &at).await;
    for _ in 0..3 {
        assert!(rig.call("").await.complete);
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(rig.runners[0].connections(), 1);
}

#[test]
fn events_are_split_alike_for_all_chunk_sizes() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(stream, sizes)| {
            let mut splitter = EventSplitter::default();
            let (at_once, fault) = splitter.push(Bytes::copy_from_slice(stream));
            let mut parts = EventSplitter::default();
            let (mut joined, mut rest, mut part_fault) = (Vec::new(), stream.as_slice(), None);
            let mut sizes = sizes.iter();
            while !rest.is_empty() && part_fault.is_none() {
                let size = sizes
                    .next()
                    .map_or(rest.len(), |size| usize::from(*size) % 9 + 1);
                let (chunk, left) = rest.split_at(size.min(rest.len()));
                let (whole, fault) = parts.push(Bytes::copy_from_slice(chunk));
                joined.extend_from_slice(&whole);
                (rest, part_fault) = (left, fault);
            }
            assert_eq!((joined.as_slice(), part_fault), (&at_once[..], fault));
            assert_eq!(parts.last_id(), splitter.last_id());
        });
}

#[tokio::test]
async fn a_stream_that_fails_late_waits_for_another_runner() {
    let mut setup = Setup::new(RESUMABLE);
    (setup.runners, setup.slots) = (2, 1);
    (setup.target_latency_ms, setup.timeout_ms) = (100, 9000);
    let rig = RelayRig::start(setup, |_, received| {
        let late = received.header("x-request-id") == Some("q");
        match (late, received.header("last-event-id")) {
            // Fails later than a caller waits for a first event.
            (true, None) => then(
                events(received, 1, 3),
                [Step::Pause(Duration::from_millis(2200)), Step::Close],
            ),
            (true, Some(_)) => whole(received),
            (false, _) => then(
                vec![Step::Pause(Duration::from_millis(600))],
                whole(received),
            ),
        }
    })
    .await;
    let busy = async {
        sleep(Duration::from_millis(2000)).await;
        let mut other = rig.caller().await;
        other.send_as("w", "", "").await;
        other.read().await
    };
    let (late, busy) = tokio::join!(rig.call(""), busy);
    assert_eq!((late.body, late.complete), (text(1, LAST_EVENT), true));
    assert_eq!((busy.body, busy.complete), (text(1, LAST_EVENT), true));
}

/// Returns the head of a stream that ends with its connection, and its events `from..=to`.
fn events_until_close(received: &Received, from: u64, to: u64) -> Vec<Step> {
    let headers = "x-signature: s\r\ncontent-type: text/event-stream\r\n";
    let events = (from..=to).map(|id| Step::send(event(id)));
    then(with_head(received, 200, headers, ""), events)
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_complete_after_a_whole_event() {
    for kind in [RESUMABLE, STREAM_ONCE] {
        let script: Script = |r| then(events_until_close(r, 1, LAST_EVENT), [Step::Close]);
        let (answer, rig) = call_with_first_attempt(kind, script, "").await;
        let whole = text(1, LAST_EVENT);
        assert_eq!(answer.parts(), (200, whole.as_str(), true));
        assert_eq!(rig.received().len(), 1);
    }
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_inside_an_event_is_broken_off() {
    let scripts: [Script; 2] = [
        |r| {
            then(
                events_until_close(r, 1, 3),
                [Step::send("id: 4\nda"), Step::Close],
            )
        },
        |r| {
            then(
                events_until_close(r, 1, 3),
                [Step::Pause(Duration::from_millis(50)), Step::Reset],
            )
        },
    ];
    for script in scripts {
        let (answer, rig) = call_with_first_attempt(RESUMABLE, script, "").await;
        assert_eq!(answer.parts(), (200, text(1, LAST_EVENT).as_str(), true));
        assert_eq!(rig.received().len(), 2);
        let (answer, _) = call_with_first_attempt(STREAM_ONCE, script, "").await;
        assert_eq!(answer.parts(), (200, text(1, 3).as_str(), false));
    }
}

// Guards against an empty success when a runner ends before its first event.
#[tokio::test]
async fn a_stream_without_events_that_ends_with_its_connection_is_no_success() {
    let script: Script = |r| then(events_until_close(r, 1, 0), [Step::Close]);
    let (answer, rig) = call_with_first_attempt(RESUMABLE, script, "").await;
    assert_eq!(answer.parts(), (200, text(1, LAST_EVENT).as_str(), true));
    assert_eq!(rig.received().len(), 2);
    let (answer, rig) = call_with_first_attempt(STREAM_ONCE, script, "").await;
    assert_eq!((answer.status, rig.received().len()), (502, 1));
}

// Guards against events of two software versions in one response.
#[tokio::test]
async fn a_stream_goes_on_only_at_the_software_version_that_began_it() {
    let mut setup = Setup::new(RESUMABLE);
    setup.software = vec!["v1", "v1.1"];
    setup.runners = 2;
    for (index, script) in FAILING_STREAMS.into_iter().enumerate() {
        let rig = RelayRig::start(setup.clone(), move |number, received| match number {
            0 => script(received),
            _ => whole(received),
        })
        .await;
        let answer = rig.call("").await;
        assert!(!answer.complete, "stream {index}");
        assert_eq!(answer.body, text(1, 3), "stream {index}");
        assert_eq!(rig.received().len(), 1, "stream {index}");
    }
}

// Guards against streams that are lost although another runner of their version serves.
#[tokio::test]
async fn a_stream_goes_on_at_another_runner_of_its_software_version() {
    let mut setup = Setup::new(RESUMABLE);
    setup.software = vec!["v1", "v1.1"];
    setup.runners = 4;
    for (index, script) in FAILING_STREAMS.into_iter().enumerate() {
        let rig = RelayRig::start(setup.clone(), move |number, received| match number {
            0 => script(received),
            _ => whole(received),
        })
        .await;
        let answer = rig.call("").await;
        let whole = text(1, LAST_EVENT);
        assert_eq!(
            answer.parts(),
            (200, whole.as_str(), true),
            "stream {index}"
        );
        let received = rig.runners.iter().enumerate();
        let used = received.filter(|(_, runner)| !runner.received().is_empty());
        let used: Vec<_> = used.map(|(runner, _)| setup.software_of(runner)).collect();
        assert_eq!(used.len(), 2, "stream {index}");
        assert_eq!(used[0], used[1], "stream {index}");
    }
}

// Guards against the error of the runner that should go on with a stream, in the midst of it.
#[tokio::test]
async fn an_error_of_the_next_runner_never_reaches_a_stream_that_has_begun() {
    let errors: [Script; 5] = [
        |received| signed(received, 500, "", "the error's text"),
        |received| signed(received, 404, "", "the error's text"),
        |received| {
            let headers = "x-not-executed: 1\r\ncontent-length: 16\r\n";
            with_head(received, 503, headers, "the error's text")
        },
        |received| signed(received, 200, "", "the error's text"),
        |_| {
            vec![
                Step::send("HTTP/1.1 500 E\r\n\r\nthe error's text"),
                Step::Close,
            ]
        },
    ];
    for (index, error) in errors.into_iter().enumerate() {
        let setup = Setup {
            attempts_max: 2,
            ..Setup::new(RESUMABLE)
        };
        let rig = RelayRig::start(setup, move |number, received| match number {
            0 => three_events_then(received, [Step::Close]),
            _ => error(received),
        })
        .await;
        let answer = rig.call("").await;
        assert_eq!((answer.status, answer.complete), (200, false), "{index}");
        assert_eq!(answer.body, text(1, 3), "{index}");
    }
}
