//! What runners ask for in their responses: no new requests as they leave, or a pause.

mod common {
    pub mod fake_backend;
    pub mod relay_rig;
}

use {
    common::{
        fake_backend::{FakeBackend, Received, Step},
        relay_rig::{RESUMABLE, RelayRig, Setup, events, signed, stream_end, with_head},
    },
    greengagetrail::traffic::RouteKind::{Idempotent, NonIdempotent},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::sleep},
};

const LEAVING: &str = "x-leaving: 1\r\n";

/// Refuses a request that did not run.
fn refused(received: &Received, status: u16, headers: &str) -> Vec<Step> {
    let headers = format!("x-not-executed: 1\r\ncontent-length: 0\r\n{headers}");
    with_head(received, status, &headers, "")
}

/// Responses of each kind that say that the runner leaves.
const LEAVING_RESPONSES: [fn(&Received) -> Vec<Step>; 7] = [
    |received| signed(received, 200, LEAVING, "ok"),
    |received| signed(received, 500, LEAVING, "failed"),
    |received| refused(received, 503, LEAVING),
    |received| refused(received, 429, LEAVING),
    |received| refused(received, 400, LEAVING),
    |received| {
        let mut steps = with_head(received, 200, "x-signature: s\r\nx-leaving: 1\r\n", "all");
        steps.push(Step::Close);
        steps
    },
    |received| with_head(received, 200, "x-leaving: 1\r\ncontent-length: 2\r\n", "no"),
];

/// Starts two runners, of which the first to be called says in its first response that it leaves.
async fn rig_with_leaving_runner(response: fn(&Received) -> Vec<Step>) -> RelayRig {
    let setup = Setup {
        runners: 2,
        ..Setup::new(Idempotent)
    };
    RelayRig::start(setup, move |number, received| match number {
        0 => response(received),
        _ => signed(received, 200, "", "ok"),
    })
    .await
}

// Guards against requests for a runner that said in an answer that it leaves, while the list says
// that it is ready.
#[tokio::test]
async fn a_runner_that_says_it_leaves_gets_no_further_request() {
    for (kind, response) in LEAVING_RESPONSES.into_iter().enumerate() {
        let rig = rig_with_leaving_runner(response).await;
        rig.call("").await;
        let left = rig.runners.iter().position(|runner| {
            let received = runner.received();
            received.iter().any(|request| request.sequence == 0)
                && rig.registry.runners().iter().any(|view| {
                    view.entry.address == runner.address
                        && view.entry.state != greengagetrail::discovery::RunnerState::Ready
                })
        });
        let left = left.unwrap_or_else(|| panic!("response {kind}: no runner leaves"));
        let before = rig.runners[left].received().len();
        // Neither an older list nor its loss undoes the runner's statement.
        rig.list_all_runners();
        rig.remove_runner(left);
        rig.list_all_runners();
        for _ in 0..10 {
            assert_eq!(rig.call("").await.status, 200, "response {kind}");
        }
        let after = rig.runners[left].received().len();
        assert_eq!(after, before, "response {kind}");
    }
}

// Guards against streams that are cut off as their runner says that it leaves.
#[tokio::test]
async fn a_stream_whose_head_says_that_the_runner_leaves_goes_on_to_its_end() {
    let setup = Setup {
        runners: 1,
        ..Setup::new(RESUMABLE)
    };
    let rig = RelayRig::start(setup, |_, received| {
        let mut steps = events(received, 1, 2);
        if let Step::Send(head) = &mut steps[0] {
            let text = String::from_utf8(head.clone()).unwrap();
            *head = text
                .replacen("x-signature", "x-leaving: 1\r\nx-signature", 1)
                .into_bytes();
        }
        steps.push(Step::Pause(Duration::from_millis(400)));
        steps.extend(events(received, 3, 3).split_off(1));
        steps.push(stream_end());
        steps
    })
    .await;
    let answer = rig.call("").await;
    assert_eq!((answer.status, answer.complete), (200, true));
    assert!(answer.body.contains("id: 3"));
    // The only runner leaves: the next request is refused at once, not held.
    let begun = Instant::now();
    let answer = rig.call("").await;
    assert!(answer.status == 503 && begun.elapsed() < Duration::from_secs(2));
    assert_eq!(rig.received().len(), 1);
}

// Guards against requests to a runner that asked for rest.
#[tokio::test]
async fn a_runner_that_asks_for_a_pause_gets_no_request_until_its_end() {
    let setup = Setup {
        runners: 1,
        ..Setup::new(NonIdempotent)
    };
    let rig = RelayRig::start(setup, |number, received| match number {
        0 => refused(received, 503, "retry-after: 1.2\r\n"),
        _ => signed(received, 200, "", "ok"),
    })
    .await;
    let begun = Instant::now();
    let answer = rig.call("").await;
    assert_eq!(answer.status, 503);
    let paused_at = Instant::now();
    while paused_at.elapsed() < Duration::from_millis(900) {
        let asked_at = Instant::now();
        let answer = rig.call("").await;
        assert_eq!(answer.status, 503);
        let waited = asked_at.elapsed();
        assert!(waited < Duration::from_millis(200), "held for {waited:?}");
        let retry_after_ms = answer.head.lines().find_map(|line| {
            let value = line.strip_prefix("x-retry-after-ms: ")?;
            value.parse::<u64>().ok()
        });
        let back_at = asked_at + Duration::from_millis(retry_after_ms.unwrap());
        assert!(back_at >= begun + Duration::from_millis(1_200));
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(rig.received().len(), 1);
    sleep(Duration::from_millis(400)).await;
    assert_eq!(rig.call("").await.status, 200);
}

// Guards against waits that can't be read and are taken for pauses, or end the process.
#[tokio::test]
async fn unreadable_and_zero_waits_are_no_pause() {
    for value in ["0", "-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "1e9"] {
        let setup = Setup {
            runners: 1,
            ..Setup::new(NonIdempotent)
        };
        let headers = format!("retry-after: {value}\r\n");
        let rig = RelayRig::start(setup, move |number, received| match number {
            0 => refused(received, 503, &headers),
            _ => signed(received, 200, "", "ok"),
        })
        .await;
        rig.call("").await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(rig.call("").await.status, 200, "{value}");
    }
}

// Guards against a request that is sent to a runner that left between the choice and the first
// byte.
#[tokio::test]
async fn a_runner_that_leaves_right_before_the_first_byte_gets_no_request() {
    for kind in [Idempotent, NonIdempotent] {
        let rig = RelayRig::start(Setup::new(kind), |_, received| {
            signed(received, 200, "", "ok")
        })
        .await;
        // Opens connections that are reused, and checks new ones at the second round.
        for _ in 0..2 {
            let registry = rig.registry.clone();
            let left = std::sync::Mutex::new(None);
            rig.before_sending(move |forward| {
                let mut left = left.lock().unwrap();
                if left.is_none() {
                    *left = Some(forward.runner.clone());
                    let listed = registry.runners().into_iter().map(|view| view.entry);
                    let kept = listed.filter(|entry| entry.key != forward.runner);
                    registry.set_runners(kept.collect());
                }
            });
            let before: Vec<_> = rig.runners.iter().map(|r| r.received().len()).collect();
            let answer = rig.call("").await;
            assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
            let listed = rig.registry.runners();
            for (runner, before) in rig.runners.iter().zip(before) {
                let is_listed = listed.iter().any(|v| v.entry.address == runner.address);
                let got = runner.received().len() - before;
                assert!(is_listed || got == 0, "a runner that left got a request");
            }
            let withheld = rig.registry.send_counters().withheld("unlisted");
            assert!(withheld > 0);
            rig.list_all_runners();
        }
    }
}

// Guards against a request that reaches a runner after its caller's wait, with time that is over.
#[tokio::test]
async fn a_request_whose_time_ends_right_before_the_first_byte_is_not_sent() {
    let rig = RelayRig::start(Setup::new(NonIdempotent), |_, received| {
        signed(received, 200, "", "ok")
    })
    .await;
    rig.before_sending(|_| std::thread::sleep(Duration::from_millis(350)));
    let answer = rig.call("x-deadline-ms: 300\r\n").await;
    assert_eq!(answer.status, 503);
    assert!(rig.received().is_empty());
}

// Guards against a head that names more time than is left, after a wait between head and bytes.
#[tokio::test]
async fn a_head_that_waited_is_made_again() {
    let rig = RelayRig::start(Setup::new(NonIdempotent), |_, received| {
        signed(received, 200, "", "ok")
    })
    .await;
    let waits = std::sync::atomic::AtomicUsize::new(0);
    rig.before_sending(move |_| {
        if waits.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(600));
        }
    });
    let answer = rig.call("x-deadline-ms: 2000\r\n").await;
    assert_eq!(answer.status, 200);
    let received = rig.received();
    assert_eq!(received.len(), 1);
    let left_ms: u64 = received[0]
        .header("x-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left_ms <= 1_400, "{left_ms}");
}

// Guards against a node without processor time that takes sound runners for unreachable.
#[tokio::test]
async fn heads_that_get_too_old_say_nothing_about_runners() {
    let rig = RelayRig::start(Setup::new(NonIdempotent), |_, received| {
        signed(received, 200, "", "ok")
    })
    .await;
    rig.before_sending(|_| std::thread::sleep(Duration::from_millis(300)));
    let answer = rig.call("x-deadline-ms: 3000\r\n").await;
    assert_eq!(answer.status, 503);
    assert!(rig.received().is_empty());
    assert!(rig.registry.collect_report(true).unreachable.is_empty());
    rig.before_sending(|_| {});
    assert_eq!(rig.call("").await.status, 200);
}

/// A listener whose queue of new connections is full.
struct FullListener {
    listener: socket2::Socket,
    address: SocketAddr,
    _fillers: Vec<TcpStream>,
}

impl FullListener {
    async fn new() -> Self {
        let listener =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        listener.bind(&any.into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut fillers = Vec::new();
        while let Ok(Ok(filler)) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
        {
            fillers.push(filler);
        }
        Self {
            listener,
            address,
            _fillers: fillers,
        }
    }

    /// Accepts the connections in the queue, and returns how many requests arrive afterwards.
    fn count_requests(&self, span: Duration) -> usize {
        self.listener.set_nonblocking(true).unwrap();
        let until = Instant::now() + span;
        let mut open = Vec::new();
        let mut requests = 0;
        while Instant::now() < until {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).unwrap();
                open.push(stream);
            }
            for stream in &mut open {
                let read = std::io::Read::read(stream, &mut [0; 4096]);
                requests += usize::from(read.is_ok_and(|bytes| bytes > 0));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        requests
    }
}

// Guards against a request that waits for a connection while its runner leaves, and is sent then.
#[tokio::test]
async fn a_runner_that_leaves_while_a_request_waits_for_a_connection_gets_no_request() {
    let full = FullListener::new().await;
    let setup = Setup {
        runners: 1,
        ..Setup::new(NonIdempotent)
    };
    let rig = RelayRig::over(setup, Vec::<FakeBackend>::new(), &[full.address]).await;
    let mut caller = rig.caller().await;
    caller.send("", "body").await;
    sleep(Duration::from_millis(450)).await;
    rig.remove_runner(0);
    let counting = tokio::task::spawn_blocking(move || full.count_requests(Duration::from_secs(2)));
    assert_eq!(caller.read().await.status, 503);
    assert_eq!(counting.await.unwrap(), 0);
}
