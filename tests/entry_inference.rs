//! Requests to models: what callers get, whole and streamed, from well and badly behaved engines.

mod common {
    pub mod entry_rig;
    pub mod fake_backend;
    pub mod fake_engine;
}

use {
    common::fake_engine::StreamFault,
    common::{
        entry_rig::{Plan, runner_state},
        fake_backend::{Accept, FakeBackend, Step, respond},
        fake_engine::{answer, answer_request, answer_with, refuse_busy, refuse_leaving},
    },
    hyper::StatusCode,
    serde_json::json,
    std::sync::Arc,
};

#[tokio::test]
async fn answers_whole_and_streamed() {
    let engine = FakeBackend::start(answer_request).await;
    let rig = Plan::new().engine("r-1", &engine).start().await;
    for stream in [false, true] {
        let got = rig.complete("six lots", 12, stream).await;
        assert_eq!(got.status, StatusCode::OK);
        assert_eq!(got.completion(), (answer("six lots", 12), true));
    }
    let sent = &engine.received()[0];
    assert_eq!(sent.header("x-priority"), Some("255"));
    let report = rig.entry.collect_report();
    assert_eq!(report.demand[0].requests, 2);
    assert_eq!(report.demand[0].tokens, 12);
}

#[tokio::test]
async fn lists_models_and_serves_adapters_by_class() {
    let engine = FakeBackend::start(answer_request).await;
    let rig = Plan::new().engine("r-1", &engine).start().await;
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
async fn refuses_what_it_cannot_place_as_not_run() {
    let engine = FakeBackend::start(answer_request).await;
    let mut plan = Plan::new().engine("r-1", &engine);
    plan.runners[0].models.clear();
    let rig = plan.start().await;
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
async fn goes_to_another_copy_when_one_is_busy_or_gone() {
    let busy = FakeBackend::start(|_| refuse_busy(7)).await;
    let gone = FakeBackend::start(answer_request).await;
    let well = FakeBackend::start(answer_request).await;
    gone.stop();
    let rig = Plan::new()
        .engine("r-1", &busy)
        .engine("r-2", &gone)
        .engine("r-3", &well)
        .start()
        .await;
    for number in 0..20 {
        let got = rig
            .complete(&format!("p{number}"), 3, number % 2 == 0)
            .await;
        assert_eq!(got.completion(), (answer(&format!("p{number}"), 3), true));
    }
}

#[tokio::test]
async fn says_when_to_come_back_if_all_copies_are_busy() {
    let busy = FakeBackend::start(|_| refuse_busy(7)).await;
    let rig = Plan::new().engine("r-1", &busy).start().await;
    let got = rig.complete("x", 3, true).await;
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(got.outcome(), "not-run");
    assert_eq!(got.header("retry-after"), Some("7"));
}

#[tokio::test]
async fn gives_a_leaving_incarnation_no_new_work() {
    let leaving = FakeBackend::start(|_| refuse_leaving()).await;
    let well = FakeBackend::start(answer_request).await;
    let mut plan = Plan::new().engine("r-1", &leaving).engine("r-2", &well);
    let rig = {
        plan.runners.truncate(1);
        let view = plan.view();
        let rig = plan.start().await;
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
        "a new incarnation gets work again"
    );
}

#[tokio::test]
async fn never_passes_on_a_cut_or_foreign_whole_answer() {
    let bad = FakeBackend::start(|received| match received.sequence % 4 {
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
    let well = FakeBackend::start(answer_request).await;
    let rig = Plan::new()
        .engine("r-1", &bad)
        .engine("r-2", &well)
        .start()
        .await;
    for number in 0..12 {
        let prompt = format!("p{number}");
        let got = rig.complete(&prompt, 4, false).await;
        assert_eq!(got.completion(), (answer(&prompt, 4), true));
    }
}

#[tokio::test]
async fn a_silent_connection_costs_a_bounded_wait() {
    let silent = FakeBackend::start_with(|_| Accept::Hang, answer_request).await;
    let well = FakeBackend::start(answer_request).await;
    let rig = Plan::new()
        .engine("r-1", &silent)
        .engine("r-2", &well)
        .start()
        .await;
    for stream in [true, false] {
        for number in 0..4 {
            let prompt = format!("p{number}");
            let got = rig.complete(&prompt, 4, stream).await;
            assert_eq!(got.completion(), (answer(&prompt, 4), true));
        }
    }
    assert_eq!(silent.received().len(), 0);
}

#[tokio::test]
async fn retries_stay_within_the_budget() {
    let broken = FakeBackend::start(|_| vec![Step::Reset]).await;
    let rig = Plan::new().engine("r-1", &broken).start().await;
    for _ in 0..60 {
        let got = rig.complete("x", 1, false).await;
        assert_eq!(got.outcome(), "unknown");
    }
    let sent = broken.received().len();
    assert!(sent <= 60 + 10 + 6, "60 requests were sent {sent} times");
}

#[tokio::test]
async fn passes_on_what_the_engine_says_of_a_bad_request() {
    let engine = FakeBackend::start(|_| respond(422, "", "{\"error\":\"too long\"}")).await;
    let rig = Plan::new().engine("r-1", &engine).start().await;
    let got = rig.complete("x", 1, true).await;
    assert_eq!(got.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(got.text(), "{\"error\":\"too long\"}");
    assert_eq!(engine.received().len(), 1);
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_in_an_error() {
    let engine = FakeBackend::start(|received| {
        let mut steps = answer_with(received, StreamFault::Cut(3));
        let Step::Send(head) = &steps[0] else {
            unreachable!()
        };
        let head = String::from_utf8(head.clone()).unwrap();
        steps[0] = Step::send(head.replace("x-resumable: yes", "x-resumable: no"));
        steps
    })
    .await;
    let rig = Plan::new().engine("r-1", &engine).start().await;
    let got = rig.complete("x", 10, true).await;
    assert!(!got.whole, "the body must not end cleanly");
    assert!(got.text().contains("event: error"));
    assert!(!got.text().contains("[DONE]"));
    assert!(got.text().contains("\"outcome\":\"unknown\""));
}

#[tokio::test]
async fn a_whole_answer_may_take_longer_than_a_first_token() {
    let slow = FakeBackend::start(|received| {
        let mut steps = vec![Step::Pause(std::time::Duration::from_millis(400))];
        steps.extend(answer_request(received));
        steps
    })
    .await;
    let plan = Plan::new().engine("r-1", &slow);
    let plan = plan.set("first_token_timeout_ms", 100.into());
    let rig = plan
        .set("whole_answer_timeout_ms", 10_000.into())
        .start()
        .await;
    assert_eq!(
        rig.complete("x", 4, false).await.completion(),
        (answer("x", 4), true)
    );
    assert_eq!(slow.received().len(), 1);
}

#[tokio::test]
async fn a_runner_that_the_platform_lists_as_leaving_gets_no_new_work() {
    let leaving = FakeBackend::start(answer_request).await;
    let well = FakeBackend::start(answer_request).await;
    let plan = Plan::new().engine("r-1", &leaving).engine("r-2", &well);
    let mut view = plan.view();
    let rig = plan.start().await;
    view.leaving = vec![leaving.address];
    rig.views.send_replace(Arc::new(view));
    for _ in 0..20 {
        assert!(rig.complete("x", 1, true).await.completion().1);
    }
    assert!(leaving.received().is_empty());
}
