//! Plain services: calls that are not idempotent run at most once, and callers get the true outcome.

mod common {
    pub mod entry_rig;
    pub mod fake_backend;
}

use {
    common::{
        entry_rig::{CallerResponse, Cluster, Rig, RigBuilder},
        fake_backend::{Accept, FakeBackend, Received, Step, respond},
    },
    greengagetrail::standin::kv::{KvFaults, MemoryStore},
    hyper::StatusCode,
    std::time::{Duration, Instant},
};

const SALES_PATH: &str = "/services/desk/sales?lot=7";

fn respond_booked(_: &Received) -> Vec<Step> {
    respond(201, "", "booked")
}

async fn book_sale(rig: &Rig, key: Option<&str>) -> CallerResponse {
    let headers: Vec<(&str, &str)> = key
        .map(|key| ("idempotency-key", key))
        .into_iter()
        .collect();
    rig.post(SALES_PATH, &headers, "{\"lot\":7}").await
}

/// Asserts that a key was refused because it was used before.
#[track_caller]
fn assert_used_before(response: &CallerResponse) {
    assert_eq!(
        (response.status, response.outcome().as_str()),
        (StatusCode::CONFLICT, "unknown")
    );
}

#[tokio::test]
async fn calls_and_responses_are_relayed() {
    let desk = FakeBackend::start(respond_booked).await;
    let rig = RigBuilder::new()
        .service("desk", &[&desk], 2000)
        .start()
        .await;
    let got = book_sale(&rig, None).await;
    assert_eq!((got.status, got.text()), (StatusCode::CREATED, "booked"));
    assert!(got.header("next-idempotency-key").is_some());
    let sent = &desk.received()[0];
    assert_eq!(
        (sent.method.as_str(), sent.path.as_str()),
        ("POST", "/sales?lot=7")
    );
    assert_eq!(&sent.body[..], b"{\"lot\":7}");
    assert!(sent.header("x-request-id").is_some());
    assert_eq!(rig.get("/services/other/x").await.outcome(), "not-run");
}

#[tokio::test]
async fn only_idempotent_calls_are_retried() {
    let flaky = FakeBackend::start(|received| match received.sequence % 2 {
        0 => vec![Step::Reset],
        _ => respond(200, "", "stock"),
    })
    .await;
    let rig = RigBuilder::new()
        .service("desk", &[&flaky, &flaky], 2000)
        .start()
        .await;
    assert_eq!(rig.get("/services/desk/stock").await.text(), "stock");
    assert_eq!(flaky.received().len(), 2);
    let got = book_sale(&rig, None).await;
    assert_eq!(
        (got.status, got.outcome().as_str()),
        (StatusCode::BAD_GATEWAY, "unknown")
    );
    assert_eq!(flaky.received().len(), 3, "a sale must not be sent twice");
}

#[tokio::test]
async fn a_truncated_response_ends_as_unknown() {
    let cut = FakeBackend::start(|_| {
        vec![
            Step::send("HTTP/1.1 201 Created\r\ncontent-length: 9\r\n\r\nboo"),
            Step::Close,
        ]
    })
    .await;
    let rig = RigBuilder::new()
        .service("desk", &[&cut], 2000)
        .start()
        .await;
    assert_eq!(book_sale(&rig, None).await.outcome(), "unknown");
    assert_eq!(cut.received().len(), 1);
}

#[tokio::test]
async fn an_unresponsive_backend_ends_as_unknown_within_the_timeout() {
    let unresponsive = FakeBackend::start(|_| vec![Step::Hang]).await;
    let rig = RigBuilder::new()
        .service("desk", &[&unresponsive], 300)
        .start()
        .await;
    let started = Instant::now();
    let got = book_sale(&rig, None).await;
    assert_eq!(
        (got.status, got.outcome().as_str()),
        (StatusCode::GATEWAY_TIMEOUT, "unknown")
    );
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[tokio::test]
async fn refused_calls_did_not_run_and_are_retried_at_other_backends() {
    let unreachable = FakeBackend::start(respond_booked).await;
    unreachable.stop();
    let busy =
        FakeBackend::start(|_| respond(503, "x-request-ran: no\r\nretry-after: 3\r\n", "")).await;
    let healthy = FakeBackend::start(respond_booked).await;
    let all = [&unreachable, &busy, &healthy];
    let rig = RigBuilder::new().service("desk", &all, 2000).start().await;
    assert_eq!(book_sale(&rig, None).await.status, StatusCode::CREATED);
    let rig = RigBuilder::new()
        .service("desk", &[&unreachable, &busy], 2000)
        .start()
        .await;
    let got = book_sale(&rig, None).await;
    assert_eq!(
        (got.status, got.outcome().as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert_eq!(got.header("retry-after"), Some("3"));
}

#[tokio::test]
async fn a_leaving_backend_gets_no_new_requests() {
    let leaving =
        FakeBackend::start(|_| respond(503, "x-request-ran: no\r\nx-engine-leaving: yes\r\n", ""))
            .await;
    let healthy = FakeBackend::start(respond_booked).await;
    let rig = RigBuilder::new()
        .service("desk", &[&leaving, &healthy], 2000)
        .start()
        .await;
    for _ in 0..20 {
        assert_eq!(book_sale(&rig, None).await.status, StatusCode::CREATED);
    }
    assert!(leaving.received().len() <= 1);
}

#[tokio::test]
async fn a_key_runs_once_across_entries() {
    let desk = FakeBackend::start(respond_booked).await;
    let store = MemoryStore::new();
    let builder = |vm| {
        let mut builder = RigBuilder::new().service("desk", &[&desk], 2000);
        builder.vm = vm;
        builder.store = store.clone();
        builder
    };
    let rigs = [builder("vm-1").start().await, builder("vm-2").start().await];
    assert_eq!(
        book_sale(&rigs[0], Some("sale-1")).await.status,
        StatusCode::CREATED
    );
    let again = book_sale(&rigs[0], Some("sale-1")).await;
    assert_used_before(&again);
    assert_eq!(again.json()["earlier_status"], 201);
    let elsewhere = book_sale(&rigs[1], Some("sale-1")).await;
    assert_used_before(&elsewhere);
    assert_eq!(desk.received().len(), 1);
    let racing =
        futures::future::join_all((0..20).map(|n| book_sale(&rigs[n % 2], Some("sale-2"))));
    let won = racing
        .await
        .into_iter()
        .filter(|got| got.status == StatusCode::CREATED);
    assert_eq!(won.count(), 1);
    assert_eq!(desk.received().len(), 2);
}

#[tokio::test]
async fn a_lost_store_reply_is_resolved_by_repeating_the_transaction() {
    let desk = FakeBackend::start(respond_booked).await;
    let rig = RigBuilder::new()
        .service("desk", &[&desk], 4000)
        .start()
        .await;
    assert_eq!(
        book_sale(&rig, Some("first")).await.status,
        StatusCode::CREATED
    );
    rig.store.set_faults(KvFaults {
        lost_answers: 1,
        ..KvFaults::default()
    });
    assert_eq!(
        book_sale(&rig, Some("sale-1")).await.status,
        StatusCode::CREATED
    );
    assert_eq!(desk.received().len(), 2);
}

#[tokio::test]
async fn without_the_store_keys_are_refused_as_not_run_and_tickets_work() {
    let desk = FakeBackend::start(respond_booked).await;
    let rig = RigBuilder::new()
        .service("desk", &[&desk], 4000)
        .start()
        .await;
    let tickets = rig.mint("desk", 3).await;
    assert_eq!(tickets.len(), 3);
    let down = KvFaults::DOWN;
    rig.store.set_faults(down);
    let refused = book_sale(&rig, Some("sale-1")).await;
    assert_eq!(
        (refused.status, refused.outcome().as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert!(refused.header("retry-after").is_some());
    assert!(desk.received().is_empty());
    let mut next = tickets[0].clone();
    for _ in 0..5 {
        let got = book_sale(&rig, Some(&next)).await;
        assert_eq!(got.status, StatusCode::CREATED);
        let again = book_sale(&rig, Some(&next)).await;
        assert_used_before(&again);
        next = got.header("next-idempotency-key").unwrap().to_owned();
    }
    assert_eq!(desk.received().len(), 5);
    rig.store.set_faults(KvFaults::default());
    assert_eq!(
        book_sale(&rig, Some("sale-1")).await.status,
        StatusCode::CREATED
    );
}

#[tokio::test]
async fn a_key_can_be_used_again_if_its_request_did_not_run() {
    let unreachable = FakeBackend::start(respond_booked).await;
    unreachable.stop();
    let healthy = FakeBackend::start(respond_booked).await;
    let rig = RigBuilder::new()
        .service("desk", &[&unreachable], 2000)
        .start()
        .await;
    let minted = rig.post("/services/desk/.tickets", &[], "").await.json();
    let ticket = minted["keys"][0].as_str().unwrap();
    for key in ["sale-1", ticket] {
        assert_eq!(book_sale(&rig, Some(key)).await.outcome(), "not-run");
    }
    let view = RigBuilder::new().service("desk", &[&healthy], 2000).view();
    rig.views.send_replace(view.into());
    for key in ["sale-1", ticket] {
        assert_eq!(
            book_sale(&rig, Some(key)).await.status,
            StatusCode::CREATED,
            "{key}"
        );
    }
}

#[tokio::test]
async fn forged_tickets_and_those_of_another_service_are_refused() {
    let desk = FakeBackend::start(respond_booked).await;
    let builder = RigBuilder::new()
        .service("desk", &[&desk], 2000)
        .service("pay", &[&desk], 2000);
    let rig = builder.start().await;
    let ticket = rig.mint("pay", 1).await.remove(0);
    let mut forged = ticket.clone();
    let last = if forged.ends_with('0') { "1" } else { "0" };
    forged.replace_range(forged.len() - 1.., last);
    for key in [ticket, forged] {
        let got = book_sale(&rig, Some(&key)).await;
        assert_eq!(
            (got.status, got.outcome().as_str()),
            (StatusCode::BAD_REQUEST, "not-run")
        );
    }
    assert!(desk.received().is_empty());
}

#[tokio::test]
async fn tickets_are_forwarded_to_the_entry_that_minted_them() {
    let desk = FakeBackend::start(respond_booked).await;
    let cluster = Cluster::default();
    let builder = |vm| {
        let mut builder = RigBuilder::new().service("desk", &[&desk], 2000);
        builder.vm = vm;
        builder.cluster = cluster.clone();
        builder.members = vec!["vm-1", "vm-2"];
        builder
    };
    let (first, second) = (builder("vm-1").start().await, builder("vm-2").start().await);
    let minted = first.mint("desk", 2).await;
    let ticket = minted[0].as_str();
    let got = book_sale(&second, Some(ticket)).await;
    assert_eq!((got.status, got.text()), (StatusCode::CREATED, "booked"));
    for rig in [&first, &second] {
        let again = book_sale(rig, Some(ticket)).await;
        assert_used_before(&again);
    }
    cluster.remove("vm-1");
    let orphan = minted[1].as_str();
    assert_eq!(book_sale(&second, Some(orphan)).await.outcome(), "unknown");
    assert_eq!(desk.received().len(), 1);
}

#[tokio::test]
async fn claims_are_batched() {
    let desk = FakeBackend::start(respond_booked).await;
    let rig = RigBuilder::new()
        .service("desk", &[&desk], 5000)
        .start()
        .await;
    rig.store.set_faults(KvFaults {
        slow_ms: 30,
        ..KvFaults::default()
    });
    let keys: Vec<String> = (0..200).map(|number| format!("sale-{number}")).collect();
    let booked = futures::future::join_all(keys.iter().map(|key| book_sale(&rig, Some(key)))).await;
    assert!(booked.iter().all(|got| got.status == StatusCode::CREATED));
    assert_eq!(desk.received().len(), 200);
    let txns = rig.store.counts().txn;
    println!("200 claims took {txns} transactions");
    assert!(txns <= 100, "200 claims took {txns} transactions");
}

#[tokio::test]
async fn no_call_is_repeated_when_the_connection_breaks_at_any_byte() {
    for accept in [
        Accept::ResetAtOnce,
        Accept::ResetAfter(10),
        Accept::ResetAfter(120),
    ] {
        let desk = FakeBackend::start_with(move |_| accept, respond_booked).await;
        let rig = RigBuilder::new()
            .service("desk", &[&desk], 2000)
            .start()
            .await;
        let got = book_sale(&rig, None).await;
        assert!(["unknown", "not-run"].contains(&got.outcome().as_str()));
        assert!(desk.received().is_empty());
    }
}

#[tokio::test]
async fn a_backend_that_the_platform_lists_as_leaving_gets_no_new_requests() {
    let leaving = FakeBackend::start(respond_booked).await;
    let healthy = FakeBackend::start(respond_booked).await;
    let builder = RigBuilder::new().service("desk", &[&leaving, &healthy], 2000);
    let mut view = builder.view();
    let rig = builder.start().await;
    view.leaving = vec![leaving.address];
    rig.views.send_replace(view.into());
    for _ in 0..20 {
        assert_eq!(book_sale(&rig, None).await.status, StatusCode::CREATED);
    }
    assert!(leaving.received().is_empty());
}

#[tokio::test]
async fn long_responses_are_relayed_completely_or_visibly_truncated() {
    const BODY_BYTES: usize = 3_000_000;
    let desk = FakeBackend::start(|received| {
        let body = "x".repeat(BODY_BYTES);
        let sent = if received.path == "/cut" {
            BODY_BYTES / 2
        } else {
            BODY_BYTES
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        vec![Step::send(head + &body[..sent]), Step::Close]
    })
    .await;
    let rig = RigBuilder::new()
        .service("desk", &[&desk], 5000)
        .start()
        .await;
    let whole = rig.get("/services/desk/whole").await;
    assert_eq!((whole.body.len(), whole.is_complete), (BODY_BYTES, true));
    let cut = rig.get("/services/desk/cut").await;
    assert!(!cut.is_complete && cut.body.len() < BODY_BYTES);
}

#[tokio::test]
async fn a_store_outage_refuses_claims_but_not_tickets() {
    const BOOKINGS: usize = 100;
    let desk = FakeBackend::start(respond_booked).await;
    let rig = RigBuilder::new()
        .service("desk", &[&desk], 5000)
        .start()
        .await;
    let path = format!("/services/desk/.tickets?count={BOOKINGS}");
    let minted = rig.post(&path, &[], "").await.json();
    let tickets: Vec<String> = serde_json::from_value(minted["keys"].clone()).unwrap();
    rig.store.set_faults(KvFaults::DOWN);
    let claims: Vec<String> = (0..BOOKINGS)
        .map(|number| format!("sale-{number}"))
        .collect();
    let started = Instant::now();
    let by_claim =
        futures::future::join_all(claims.iter().map(|key| book_sale(&rig, Some(key)))).await;
    let claims_took = started.elapsed();
    let by_ticket =
        futures::future::join_all(tickets.iter().map(|key| book_sale(&rig, Some(key)))).await;
    let refused = |answers: &[CallerResponse]| {
        let refused = answers.iter().filter(|got| got.outcome() == "not-run");
        refused.count()
    };
    println!(
        "refused of {BOOKINGS}: by claim {} (in {claims_took:?}), by ticket {}",
        refused(&by_claim),
        refused(&by_ticket)
    );
    assert_eq!((refused(&by_claim), refused(&by_ticket)), (BOOKINGS, 0));
    assert!(
        by_ticket
            .iter()
            .all(|got| got.status == StatusCode::CREATED)
    );
    assert_eq!(desk.received().len(), BOOKINGS);
}
