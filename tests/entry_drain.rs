//! The planned stop of an entry: readiness fails first, and no open request is aborted.

mod common {
    pub mod entry_rig;
    pub mod fake_backend;
    pub mod fake_engine;
}

use {
    common::{
        entry_rig::{CallerResponse, Rig, RigBuilder},
        fake_backend::{FakeBackend, Received, Step, respond},
        fake_engine::{respond_normally, response_text},
    },
    std::{sync::Arc, time::Duration},
    tokio::net::TcpStream,
};

/// Responds with a pause before each part.
fn respond_slowly(received: &Received) -> Vec<Step> {
    let pause = Step::Pause(Duration::from_millis(15));
    let steps = respond_normally(received).into_iter();
    steps.flat_map(|step| [pause.clone(), step]).collect()
}

async fn start_streams(
    rig: &Arc<Rig>,
    count: usize,
) -> Vec<tokio::task::JoinHandle<CallerResponse>> {
    let streams = (0..count).map(|number| {
        let rig = rig.clone();
        tokio::spawn(async move {
            rig.complete(&format!("p{number}"), 20, number % 2 == 0)
                .await
        })
    });
    let streams = streams.collect();
    while rig.entry.open_requests() < count {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    streams
}

async fn assert_complete(streams: Vec<tokio::task::JoinHandle<CallerResponse>>) {
    for (number, got) in futures::future::join_all(streams)
        .await
        .into_iter()
        .enumerate()
    {
        let expected = (response_text(&format!("p{number}"), 20), true);
        assert_eq!(got.unwrap().completion(), expected);
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), waiting)
        .await
        .unwrap();
}

#[tokio::test]
async fn a_planned_stop_finishes_open_requests() {
    let engine = FakeBackend::start(respond_slowly).await;
    let builder = RigBuilder::new().engine("r-1", &engine);
    let rig = Arc::new(builder.set("drain_delay_ms", 100.into()).start().await);
    wait_until(|| rig.readiness.get()).await;
    let streams = start_streams(&rig, 60).await;
    rig.stop.cancel();
    wait_until(|| !rig.readiness.get()).await;
    let late = rig.complete("late", 2, true).await;
    assert_eq!(
        late.completion(),
        (response_text("late", 2), true),
        "a load balancer may still send requests until the listener closes"
    );
    assert_complete(streams).await;
    wait_until(|| rig.served.is_finished()).await;
    assert!(TcpStream::connect(rig.address).await.is_err());
    let rig = Arc::into_inner(rig).unwrap();
    assert_eq!(rig.entry.open_requests(), 0);
}

#[tokio::test]
async fn an_operators_drain_is_a_planned_stop() {
    let engine = FakeBackend::start(respond_slowly).await;
    let rig = Arc::new(RigBuilder::new().engine("r-1", &engine).start().await);
    wait_until(|| rig.readiness.get()).await;
    let streams = start_streams(&rig, 10).await;
    let mut view = (**rig.views.borrow()).clone();
    view.draining = true;
    rig.views.send_replace(Arc::new(view));
    wait_until(|| !rig.readiness.get()).await;
    assert_complete(streams).await;
    wait_until(|| rig.served.is_finished()).await;
}

#[tokio::test]
async fn an_entry_without_a_configuration_is_not_ready() {
    let engine = FakeBackend::start(respond_normally).await;
    let rig = RigBuilder::new().engine("r-1", &engine).start().await;
    wait_until(|| rig.readiness.get()).await;
    let mut view = (**rig.views.borrow()).clone();
    view.head = None;
    rig.views.send_replace(Arc::new(view));
    wait_until(|| !rig.readiness.get()).await;
}

#[tokio::test]
async fn a_planned_stop_finishes_calls_of_disconnected_callers() {
    let desk = FakeBackend::start(|_| {
        let mut late = vec![Step::Pause(Duration::from_millis(400))];
        late.extend(respond(201, "", "booked"));
        late
    })
    .await;
    let builder = RigBuilder::new().service("desk", &[&desk], 5000);
    let rig = builder.set("drain_delay_ms", 1.into()).start().await;
    let sale = rig.post(
        "/services/desk/sales",
        &[("idempotency-key", "sale-1")],
        "{}",
    );
    assert!(
        tokio::time::timeout(Duration::from_millis(100), sale)
            .await
            .is_err()
    );
    wait_until(|| !desk.received().is_empty()).await;
    rig.stop.cancel();
    wait_until(|| rig.served.is_finished()).await;
    assert_eq!(rig.entry.open_requests(), 0);
}
