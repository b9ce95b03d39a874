//! Streams: the caller gets the complete response of its own request in order, despite faults of
//! engines.

mod common {
    pub mod entry_rig;
    pub mod fake_backend;
    pub mod fake_engine;
}

use {
    common::{
        entry_rig::{CallerResponse, Rig, RigBuilder},
        fake_backend::{FakeBackend, Received, Step, respond},
        fake_engine::{StreamFault, respond_normally, respond_with_fault, response_text, token},
    },
    greengagetrail::{
        history::{ResponseEnd, ResponseEvent, ResponseViolation, check_responses},
        units::RequestId,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

const SEED: u64 = 20_261_203;

fn record(prompt: &str, tokens: u64, got: &CallerResponse) -> ResponseEvent {
    let (text, complete) = got.completion();
    ResponseEvent {
        request: got.header("x-request-id").unwrap().parse().unwrap(),
        expected: response_text(prompt, tokens),
        received: text,
        end: match complete {
            true => ResponseEnd::Complete,
            false => ResponseEnd::Failed,
        },
    }
}

async fn faulty_engine(fault: StreamFault) -> FakeBackend {
    FakeBackend::start(move |received| match received.header("last-event-id") {
        None if received.sequence == 0 => respond_with_fault(received, fault),
        _ => respond_normally(received),
    })
    .await
}

#[tokio::test]
async fn each_stream_fault_is_hidden_from_the_caller() {
    let faults: Vec<fn(u64) -> StreamFault> = vec![
        StreamFault::Cut,
        StreamFault::Reset,
        StreamFault::Hang,
        StreamFault::Gap,
        StreamFault::Duplicate,
        StreamFault::Foreign,
        StreamFault::Swap,
        StreamFault::EarlyDone,
        StreamFault::EarlyEnd,
        StreamFault::Error,
    ];
    for make in faults {
        for after in [0, 1, 5, 9] {
            let fault = make(after);
            let engine = faulty_engine(fault).await;
            let rig = RigBuilder::new().engine("r-1", &engine).start().await;
            let got = rig.complete("pale ale malt", 10, true).await;
            let event = record("pale ale malt", 10, &got);
            assert_eq!(
                event.end,
                ResponseEnd::Complete,
                "{fault:?}: {}",
                got.text()
            );
            assert_eq!(check_responses(&[event]), Ok(()), "{fault:?}");
        }
    }
}

#[tokio::test]
async fn a_resumed_stream_is_identical_byte_for_byte() {
    let engine = FakeBackend::start(respond_normally).await;
    let rig = RigBuilder::new().engine("r-1", &engine).start().await;
    let whole = rig.complete("six rowed", 20, true).await;
    let other = faulty_engine(StreamFault::Cut(7)).await;
    let healthy = FakeBackend::start(respond_normally).await;
    let rig = RigBuilder::new()
        .engine("r-1", &other)
        .engine("r-2", &healthy)
        .start()
        .await;
    // The runner is chosen at random; repeat until the faulty one has been chosen.
    for number in 0..64 {
        let resumed = rig.complete("six rowed", 20, true).await;
        assert_eq!(without_ids(&resumed), without_ids(&whole));
        if number >= 3 && !other.received().is_empty() {
            break;
        }
    }
    let resumptions = [&other, &healthy].map(|engine| engine.received()).concat();
    let resumed: Vec<&Received> = resumptions
        .iter()
        .filter(|received| received.header("last-event-id").is_some())
        .collect();
    assert_eq!(resumed.len(), 1);
    let id = resumed[0].header("x-request-id").unwrap();
    let after = format!("{id}:7");
    assert_eq!(resumed[0].header("last-event-id"), Some(after.as_str()));
}

fn without_ids(got: &CallerResponse) -> String {
    got.text()
        .replace(got.header("x-request-id").unwrap(), "ID")
}

#[tokio::test]
async fn a_stalled_stream_is_resumed_after_its_timeout() {
    let engine = faulty_engine(StreamFault::Hang(4)).await;
    let rig = RigBuilder::new()
        .engine("r-1", &engine)
        .set("between_tokens_timeout_ms", 300.into())
        .start()
        .await;
    let started = Instant::now();
    let got = rig.complete("x", 10, true).await;
    assert!(got.completion().1);
    assert!(started.elapsed() >= Duration::from_millis(300));
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[tokio::test]
async fn a_stream_without_progress_ends_in_an_error() {
    for fault in [
        StreamFault::Cut(0),
        StreamFault::EarlyDone(0),
        StreamFault::Error(0),
    ] {
        let engine = FakeBackend::start(move |received| respond_with_fault(received, fault)).await;
        let rig = RigBuilder::new().engine("r-1", &engine).start().await;
        let got = rig.complete("x", 10, true).await;
        assert!(
            !got.is_complete && got.text().contains("event: error"),
            "{fault:?}"
        );
        assert!(engine.received().len() <= 8);
    }
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_stream() {
    let closed = Arc::new(Mutex::new(false));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = closed.clone();
    tokio::spawn(async move {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = vec![0; 65536];
        let _ = stream.read(&mut buffer).await.unwrap();
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        while stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {}
        *seen.lock().unwrap() = true;
    });
    let placeholder = FakeBackend::start(|_| respond(500, "", "")).await;
    let mut builder = RigBuilder::new().engine("r-1", &placeholder);
    let runner = builder.objects.last_mut().unwrap();
    runner["address"] = address.to_string().into();
    let rig = builder.start().await;
    let requests = tokio::time::timeout(Duration::from_millis(200), rig.complete("x", 9, true));
    assert!(requests.await.is_err());
    let waiting = async {
        while !*closed.lock().unwrap() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), waiting)
        .await
        .unwrap();
    assert_eq!(rig.entry.open_requests(), 0);
}

fn random_fault(rng: &mut StdRng, tokens: u64) -> StreamFault {
    let after = rng.random_range(0..tokens);
    match rng.random_range(0..16) {
        0 => StreamFault::Cut(after),
        1 => StreamFault::Reset(after),
        2 => StreamFault::Gap(after),
        3 => StreamFault::Duplicate(after),
        4 => StreamFault::Foreign(after),
        5 => StreamFault::Swap(after),
        6 => StreamFault::EarlyDone(after),
        7 => StreamFault::EarlyEnd(after),
        8 => StreamFault::Error(after),
        9 => StreamFault::Hang(after),
        _ => StreamFault::None,
    }
}

async fn random_engine(seed: u64) -> FakeBackend {
    let rng = Mutex::new(StdRng::seed_from_u64(seed));
    FakeBackend::start(move |received| {
        let mut rng = rng.lock().unwrap();
        let fault = random_fault(&mut rng, 30);
        let mut steps = respond_with_fault(received, fault);
        for _ in 0..3 {
            let position = rng.random_range(0..steps.len());
            steps.insert(
                position,
                Step::Pause(Duration::from_millis(rng.random_range(0..20))),
            );
        }
        steps
    })
    .await
}

async fn run_streams(rig: Arc<Rig>, streams: usize) -> Vec<ResponseEvent> {
    let requests = (0..streams).map(|number| {
        let rig = rig.clone();
        tokio::spawn(async move {
            let prompt = format!("prompt {number}");
            let tokens = 5 + number as u64 % 30;
            record(
                &prompt,
                tokens,
                &rig.complete(&prompt, tokens, number % 8 != 0).await,
            )
        })
    });
    let events = futures::future::join_all(requests).await;
    events.into_iter().map(|event| event.unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn concurrent_streams_are_never_swapped_truncated_or_duplicated() {
    let engines = [
        random_engine(SEED).await,
        random_engine(SEED + 1).await,
        FakeBackend::start(respond_normally).await,
    ];
    let builder = RigBuilder::new()
        .engine("r-1", &engines[0])
        .engine("r-2", &engines[1])
        .engine("r-3", &engines[2])
        .set("retry_budget_percent", 100.into());
    let rig = Arc::new(builder.start().await);
    let events = run_streams(rig, 400).await;
    assert_eq!(check_responses(&events), Ok(()));
    let complete = events
        .iter()
        .filter(|event| event.end == ResponseEnd::Complete);
    assert!(
        complete.count() > 300,
        "most streams must be resumed successfully"
    );
}

#[test]
fn the_checker_rejects_mutated_histories() {
    let expected = response_text("x", 5);
    let event = ResponseEvent {
        request: RequestId(1),
        expected: expected.clone(),
        received: expected.clone(),
        end: ResponseEnd::Complete,
    };
    assert_eq!(check_responses(std::slice::from_ref(&event)), Ok(()));
    let mutate = |received: String| ResponseEvent {
        received,
        ..event.clone()
    };
    let cut = mutate(response_text("x", 4));
    assert_eq!(
        check_responses(&[cut]),
        Err(ResponseViolation::Truncated(RequestId(1)))
    );
    let duplicated = mutate(token("x", 1) + &expected);
    assert_eq!(
        check_responses(&[duplicated]),
        Err(ResponseViolation::UnexpectedText(RequestId(1)))
    );
    let swapped = mutate(response_text("y", 5));
    assert_eq!(
        check_responses(&[swapped]),
        Err(ResponseViolation::UnexpectedText(RequestId(1)))
    );
}

/// Opens an HTTP/2 connection with prior knowledge and requests a stream.
async fn complete_over_http2(rig: &Rig, tokens: u64) -> (String, bool) {
    use {
        greengagetrail::http::Body,
        http_body_util::BodyExt,
        hyper::{Request, client::conn::http2},
        hyper_util::rt::{TokioExecutor, TokioIo},
    };
    let stream = tokio::net::TcpStream::connect(rig.address).await.unwrap();
    let (mut sender, driver) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(driver);
    let body =
        format!("{{\"model\":\"lots\",\"prompt\":\"x\",\"max_tokens\":{tokens},\"stream\":true}}");
    let request = Request::post(format!("http://{}/v1/completions", rig.address))
        .body(Body::from(body))
        .unwrap();
    let mut body = sender.send_request(request).await.unwrap().into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (text, false);
        };
        text += std::str::from_utf8(&frame.into_data().unwrap_or_default()).unwrap();
    }
    (text, true)
}

#[tokio::test]
async fn callers_may_use_http2() {
    let engine = FakeBackend::start(respond_normally).await;
    let rig = RigBuilder::new().engine("r-1", &engine).start().await;
    let (text, whole) = complete_over_http2(&rig, 10).await;
    assert!(whole && text.ends_with("data: [DONE]\n\n"), "{text}");
    let broken =
        FakeBackend::start(|received| respond_with_fault(received, StreamFault::Cut(0))).await;
    let rig = RigBuilder::new().engine("r-1", &broken).start().await;
    let (text, whole) = complete_over_http2(&rig, 10).await;
    assert!(!whole && text.contains("event: error"), "{text}");
}
