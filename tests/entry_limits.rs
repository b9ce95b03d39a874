//! Malformed, oversized and slow input at the callers' port, and the operations port.

mod common {
    pub mod entry_rig;
    pub mod fake_backend;
    pub mod fake_engine;
}

use {
    common::{
        entry_rig::{Rig, RigBuilder},
        fake_backend::{FakeBackend, Step},
        fake_engine::{chunk, respond_normally, response_text},
    },
    greengagetrail::http::{Readiness, serve_operations},
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    tokio_util::sync::CancellationToken,
};

/// The longest duration of an exchange, also on a busy machine.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);

async fn rig(engine: &FakeBackend) -> Rig {
    let builder = RigBuilder::new().engine("r-1", engine);
    let builder = builder.set("body_max_bytes", 10_000.into());
    builder.set("read_timeout_ms", 300.into()).start().await
}

/// Sends bytes and reads until the connection ends.
async fn exchange(rig: &Rig, parts: &[&str]) -> String {
    let mut stream = TcpStream::connect(rig.address).await.unwrap();
    for part in parts {
        if stream.write_all(part.as_bytes()).await.is_err() {
            break;
        }
    }
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let reading = stream.read_to_end(&mut read);
    let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, reading)
        .await
        .expect("the connection must end");
    String::from_utf8_lossy(&read).into_owned()
}

async fn assert_still_serving(rig: &Rig) {
    let got = rig.complete("x", 3, true).await;
    assert_eq!(got.completion(), (response_text("x", 3), true));
}

#[tokio::test]
async fn malformed_input_gets_an_error_and_later_requests_succeed() {
    let engine = FakeBackend::start(respond_normally).await;
    let rig = rig(&engine).await;
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
    let oversized = format!("x-giant: {}\r\n", "a".repeat(100_000));
    let many = "x-many: 1\r\n".repeat(5_000);
    let chunked = format!(
        "transfer-encoding: chunked\r\n\r\n4000\r\n{}",
        "x".repeat(0x4000)
    );
    let cases: Vec<(Vec<&str>, &str)> = vec![
        (vec!["\x16\x03\x01garbage\r\n\r\n"], "400"),
        (vec!["GET / HTTP/9.9\r\n\r\n"], "400"),
        (vec![head, &oversized, "\r\n"], "431"),
        (vec![head, &many, "\r\n"], "431"),
        (vec![head, "content-length: 99999999\r\n\r\n"], "413"),
        (vec![head, &chunked], "413"),
        (vec![head, "content-length: 2\r\n\r\n{}"], "400"),
        (vec![head, "content-length: 5\r\n\r\n[1,2]"], "400"),
        (vec![head, "content-length: 9\r\n\r\n{\"model\":"], "400"),
        (vec![head, "content-length: zz\r\n\r\n"], "400"),
    ];
    for (parts, status) in cases {
        let got = exchange(&rig, &parts).await;
        let short: String = parts.concat().chars().take(80).collect();
        let is_answered = got.starts_with(&format!("HTTP/1.1 {status}"));
        // Unread bytes may reset the connection before its answer is read.
        let was_reset = got.is_empty() && ["413", "431"].contains(&status);
        assert!(is_answered || was_reset, "{short}: {got}");
        if status == "413" && is_answered {
            assert!(got.contains("\"outcome\":\"not-run\""), "{got}");
        }
    }
    assert!(engine.received().is_empty());
    assert_still_serving(&rig).await;
}

#[tokio::test]
async fn slow_and_idle_callers_are_disconnected() {
    let engine = FakeBackend::start(respond_normally).await;
    let rig = rig(&engine).await;
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\n";
    let body = "content-length: 20\r\n\r\n{\"model\"";
    let starts = [
        "",
        "P",
        "PRI * HTTP/2.0\r\n",
        head,
        &format!("{head}{body}"),
    ];
    let started = Instant::now();
    let ended = starts
        .iter()
        .map(|start| exchange(&rig, std::slice::from_ref(start)));
    let ended = futures::future::join_all(ended).await;
    assert!(started.elapsed() < EXCHANGE_TIMEOUT);
    assert!(ended[4].starts_with("HTTP/1.1 408"), "{}", ended[4]);
    assert!(ended[4].contains("\"outcome\":\"not-run\""));
    assert_eq!(rig.entry.open_requests(), 0);
    assert!(engine.received().is_empty());
    assert_still_serving(&rig).await;
}

#[tokio::test]
async fn a_caller_that_reads_no_bytes_is_disconnected() {
    let flood = FakeBackend::start(|_| {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        let event = format!("data: {{\"text\":\"{}\"}}\n\n", "x".repeat(100_000));
        let mut steps = vec![Step::send(head)];
        steps.extend(std::iter::repeat_n(chunk(&event), 400));
        steps
    })
    .await;
    let builder = RigBuilder::new().engine("r-1", &flood);
    let rig = builder.set("write_timeout_ms", 300.into()).start().await;
    let mut stream = TcpStream::connect(rig.address).await.unwrap();
    let body = "{\"model\":\"lots\",\"prompt\":\"x\",\"stream\":true}";
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let disconnected = async {
        while flood.received().is_empty() || rig.entry.open_requests() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, disconnected)
        .await
        .unwrap();
}

#[tokio::test]
async fn refuses_more_open_requests_than_allowed() {
    let engine = FakeBackend::start(|_| vec![Step::Hang]).await;
    let builder = RigBuilder::new().engine("r-1", &engine);
    let builder = builder.set("first_token_timeout_ms", 60_000.into());
    let rig = builder.set("open_requests_max", 2.into()).start().await;
    let held = async { futures::join!(rig.complete("a", 1, true), rig.complete("b", 1, true)) };
    let checked = async {
        while rig.entry.open_requests() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        rig.complete("c", 1, true).await
    };
    let refused = tokio::select! {
        _ = held => panic!("the engine does not respond"),
        refused = checked => refused,
    };
    assert_eq!(
        (refused.status.as_u16(), refused.outcome().as_str()),
        (503, "not-run")
    );
    assert_eq!(refused.header("retry-after"), Some("1"));
}

#[tokio::test]
async fn the_operations_port_serves_health_readiness_and_metrics() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let readiness = Readiness::default();
    let stop = CancellationToken::new();
    let serving = serve_operations(
        listener,
        readiness.clone(),
        || "m 1\n".to_owned(),
        stop.clone(),
    );
    let serving = tokio::spawn(serving);
    let get = |path: &'static str| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        read_to_end(&mut stream).await
    };
    assert!(get("/healthz").await.starts_with("HTTP/1.1 200"));
    assert!(get("/readyz").await.starts_with("HTTP/1.1 503"));
    readiness.set(true);
    assert!(get("/readyz").await.starts_with("HTTP/1.1 200"));
    assert!(get("/metrics").await.ends_with("m 1\n"));
    assert!(get("/other").await.starts_with("HTTP/1.1 404"));
    stop.cancel();
    tokio::time::timeout(EXCHANGE_TIMEOUT, serving)
        .await
        .unwrap()
        .unwrap();
}
