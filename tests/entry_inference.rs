//! Inference requests: complete and streamed responses from healthy and faulty engines.

mod common {
    pub mod entry_rig;
    pub mod fake_backend;
    pub mod fake_engine;
}

use {
    common::fake_engine::StreamFault,
    common::{
        entry_rig::{RigBuilder, runner_state},
        fake_backend::{Accept, FakeBackend, Step, respond},
        fake_engine::{
            refuse_busy, refuse_leaving, respond_normally, respond_with_fault, response_text,
        },
    },
    hyper::StatusCode,
    serde_json::json,
    std::sync::Arc,
};

#[tokio::test]
async fn complete_and_streamed_responses_are_relayed() {
    let engine = FakeBackend::start(respond_normally).await;
    let rig = RigBuilder::new().engine("r-1", &engine).start().await;
    for stream in [false, true] {
        let got = rig.complete("six lots", 12, stream).await;
        assert_eq!(got.status, StatusCode::OK);
        assert_eq!(got.completion(), (response_text("six lots", 12), true));
    }
    let sent = &engine.received()[0];
    assert_eq!(sent.header("x-priority"), Some("255"));
    let report = rig.entry.collect_report();
    assert_eq!(report.demand[0].requests, 2);
    assert_eq!(report.demand[0].tokens, 12);
}

#[tokio::test]
async fn lists_models_and_serves_adapters_by_class() {
    let engine = FakeBackend::start(respond_normally).await;
    let rig = RigBuilder::new().engine("r-1", &engine).start().await;
    let list = rig.get("/v1/models").await.json();
    assert_eq!(list["data"][0]["id"], "lots");
    assert_eq!(list["data"][1]["id"], "lots-short");
    let body = json!({"model": "lots-short", "prompt": "x", "max_tokens": 2}).to_string();
    let got = rig
        .post("/v1/completions", &[("x-service-class", "phone")], &body)
        .await;
    assert_eq!(got.status, StatusCode::OK);
    let sent = &engine.received()[0];
    assert_eq!(sent.header("x-priority"), Some("1"));
    let deadline_ms: u64 = sent.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(deadline_ms <= 2000);
}

#[tokio::test]
async fn unroutable_requests_are_refused_as_not_run() {
    let engine = FakeBackend::start(respond_normally).await;
    let mut builder = RigBuilder::new().engine("r-1", &engine);
    builder.runners[0].models.clear();
    let rig = builder.start().await;
    let body = json!({"model": "nothing", "prompt": "x"}).to_string();
    let cases = [
        (
            rig.post("/v1/completions", &[], &body).await,
            StatusCode::NOT_FOUND,
        ),
        (
            rig.post("/v1/completions", &[], "{").await,
            StatusCode::BAD_REQUEST,
        ),
        (
            rig.complete("x", 1, true).await,
            StatusCode::SERVICE_UNAVAILABLE,
        ),
        (
            rig.get("/v1/completions").await,
            StatusCode::METHOD_NOT_ALLOWED,
        ),
        (rig.get("/elsewhere").await, StatusCode::NOT_FOUND),
    ];
    for (got, status) in &cases {
        assert_eq!((got.status, got.outcome().as_str()), (*status, "not-run"));
        assert_eq!(got.headers["content-type"], "application/problem+json");
    }
    assert_eq!(cases[2].0.header("retry-after"), Some("1"));
    assert!(engine.received().is_empty());
}

#[tokio::test]
async fn another_copy_is_tried_when_one_is_busy_or_unreachable() {
    let busy = FakeBackend::start(|_| refuse_busy(7)).await;
    let unreachable = FakeBackend::start(respond_normally).await;
    let healthy = FakeBackend::start(respond_normally).await;
    unreachable.stop();
    let rig = RigBuilder::new()
        .engine("r-1", &busy)
        .engine("r-2", &unreachable)
        .engine("r-3", &healthy)
        .start()
        .await;
    for number in 0..20 {
        let got = rig
            .complete(&format!("p{number}"), 3, number % 2 == 0)
            .await;
        assert_eq!(
            got.completion(),
            (response_text(&format!("p{number}"), 3), true)
        );
    }
}

#[tokio::test]
async fn retry_after_is_passed_on_if_all_copies_are_busy() {
    let busy = FakeBackend::start(|_| refuse_busy(7)).await;
    let rig = RigBuilder::new().engine("r-1", &busy).start().await;
    let got = rig.complete("x", 3, true).await;
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(got.outcome(), "not-run");
    assert_eq!(got.header("retry-after"), Some("7"));
}

#[tokio::test]
async fn a_leaving_incarnation_gets_no_new_requests() {
    let leaving = FakeBackend::start(|_| refuse_leaving()).await;
    let healthy = FakeBackend::start(respond_normally).await;
    let mut builder = RigBuilder::new()
        .engine("r-1", &leaving)
        .engine("r-2", &healthy);
    let rig = {
        builder.runners.truncate(1);
        let view = builder.view();
        let rig = builder.start().await;
        assert_eq!(rig.complete("x", 1, false).await.outcome(), "not-run");
        let mut both = view;
        both.runners.push(runner_state("r-2", 1));
        rig.views.send_replace(Arc::new(both));
        rig
    };
    let seen = leaving.received().len();
    for _ in 0..20 {
        assert!(rig.complete("x", 1, false).await.completion().1);
    }
    assert_eq!(leaving.received().len(), seen);
    let mut restarted = (**rig.views.borrow()).clone();
    restarted.runners = vec![runner_state("r-1", 2)];
    rig.views.send_replace(Arc::new(restarted));
    rig.complete("x", 1, false).await;
    assert!(
        leaving.received().len() > seen,
        "a new incarnation gets requests again"
    );
}

#[tokio::test]
async fn truncated_and_foreign_responses_are_not_passed_on() {
    let faulty = FakeBackend::start(|received| match received.sequence % 4 {
        0 => vec![
            Step::send(
                "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"choices\":[{\"text\":\"cut",
            ),
            Step::Close,
        ],
        1 => vec![
            Step::send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\n{\"a\r\n"),
            Step::Close,
        ],
        2 => vec![
            Step::send("HTTP/1.1 200 OK\r\n\r\n{\"choices\":[]}"),
            Step::Close,
        ],
        _ => respond(
            200,
            "x-request-id: 00000000000000000000000000000001\r\n",
            "{}",
        ),
    })
    .await;
    let healthy = FakeBackend::start(respond_normally).await;
    let rig = RigBuilder::new()
        .engine("r-1", &faulty)
        .engine("r-2", &healthy)
        .start()
        .await;
    for number in 0..12 {
        let prompt = format!("p{number}");
        let got = rig.complete(&prompt, 4, false).await;
        assert_eq!(got.completion(), (response_text(&prompt, 4), true));
    }
}

#[tokio::test]
async fn an_unresponsive_runner_delays_requests_by_a_bounded_time() {
    let unresponsive = FakeBackend::start_with(|_| Accept::Hang, respond_normally).await;
    let healthy = FakeBackend::start(respond_normally).await;
    let rig = RigBuilder::new()
        .engine("r-1", &unresponsive)
        .engine("r-2", &healthy)
        .start()
        .await;
    for stream in [true, false] {
        for number in 0..4 {
            let prompt = format!("p{number}");
            let got = rig.complete(&prompt, 4, stream).await;
            assert_eq!(got.completion(), (response_text(&prompt, 4), true));
        }
    }
    assert_eq!(unresponsive.received().len(), 0);
}

#[tokio::test]
async fn retries_stay_within_the_budget() {
    let broken = FakeBackend::start(|_| vec![Step::Reset]).await;
    let rig = RigBuilder::new().engine("r-1", &broken).start().await;
    for _ in 0..60 {
        let got = rig.complete("x", 1, false).await;
        assert_eq!(got.outcome(), "unknown");
    }
    let sent = broken.received().len();
    assert!(sent <= 60 + 10 + 6, "60 requests were sent {sent} times");
}

#[tokio::test]
async fn a_client_error_of_the_engine_is_passed_on() {
    let engine = FakeBackend::start(|_| respond(422, "", "{\"error\":\"too long\"}")).await;
    let rig = RigBuilder::new().engine("r-1", &engine).start().await;
    let got = rig.complete("x", 1, true).await;
    assert_eq!(got.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(got.text(), "{\"error\":\"too long\"}");
    assert_eq!(engine.received().len(), 1);
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_in_an_error() {
    let engine = FakeBackend::start(|received| {
        let mut steps = respond_with_fault(received, StreamFault::Cut(3));
        let Step::Send(head) = &steps[0] else {
            unreachable!()
        };
        let head = String::from_utf8(head.clone()).unwrap();
        steps[0] = Step::send(head.replace("x-resumable: yes", "x-resumable: no"));
        steps
    })
    .await;
    let rig = RigBuilder::new().engine("r-1", &engine).start().await;
    let got = rig.complete("x", 10, true).await;
    assert!(!got.is_complete, "the body must not end cleanly");
    assert!(got.text().contains("event: error"));
    assert!(!got.text().contains("[DONE]"));
    assert!(got.text().contains("\"outcome\":\"unknown\""));
}

#[tokio::test]
async fn a_complete_response_may_take_longer_than_a_first_token() {
    let slow = FakeBackend::start(|received| {
        let mut steps = vec![Step::Pause(std::time::Duration::from_millis(400))];
        steps.extend(respond_normally(received));
        steps
    })
    .await;
    let builder = RigBuilder::new().engine("r-1", &slow);
    let builder = builder.set("first_token_timeout_ms", 100.into());
    let rig = builder
        .set("whole_answer_timeout_ms", 10_000.into())
        .start()
        .await;
    assert_eq!(
        rig.complete("x", 4, false).await.completion(),
        (response_text("x", 4), true)
    );
    assert_eq!(slow.received().len(), 1);
}

#[tokio::test]
async fn a_runner_that_the_platform_lists_as_leaving_gets_no_new_requests() {
    let leaving = FakeBackend::start(respond_normally).await;
    let healthy = FakeBackend::start(respond_normally).await;
    let builder = RigBuilder::new()
        .engine("r-1", &leaving)
        .engine("r-2", &healthy);
    let mut view = builder.view();
    let rig = builder.start().await;
    view.leaving = vec![leaving.address];
    rig.views.send_replace(Arc::new(view));
    for _ in 0..20 {
        assert!(rig.complete("x", 1, true).await.completion().1);
    }
    assert!(leaving.received().is_empty());
}
