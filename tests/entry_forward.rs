//! Calls with tickets, forwarded over real connections between entries.

mod common {
    pub mod entry_rig;
    pub mod fake_backend;
}

use {
    common::{
        entry_rig::{CallerResponse, Rig, RigBuilder},
        fake_backend::{FakeBackend, Step, respond},
    },
    std::{
        net::{SocketAddr, TcpListener},
        time::Duration,
    },
};

struct EntryPair {
    first: Rig,
    second: Rig,
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn pair(desk: &FakeBackend, second_key: &str) -> EntryPair {
    let (first, second) = (listen(), listen());
    let addresses = vec![first.1, second.1];
    let builder = |vm, peers| {
        let mut builder = RigBuilder::new().service("desk", &[desk], 1500);
        builder.vm = vm;
        builder.members = vec!["vm-1", "vm-2"];
        builder.entry_addresses = addresses.clone();
        builder.peers = Some(peers);
        builder
    };
    EntryPair {
        first: builder("vm-1", first.0).start().await,
        second: builder("vm-2", second.0)
            .set("peer_key", second_key.into())
            .start()
            .await,
    }
}

async fn book_sale(rig: &Rig, ticket: &str) -> CallerResponse {
    let headers = [("idempotency-key", ticket), ("x-note", "by phone")];
    rig.post("/services/desk/sales?lot=7", &headers, "{\"lot\":7}")
        .await
}

#[tokio::test]
async fn a_ticket_runs_once_at_the_entry_that_minted_it() {
    let desk = FakeBackend::start(|_| respond(201, "x-sale: 7\r\n", "booked")).await;
    let pair = pair(&desk, "0123456789abcdef").await;
    let tickets = pair.first.mint("desk", 2).await;
    for ticket in &tickets {
        let got = book_sale(&pair.second, ticket).await;
        assert_eq!((got.status.as_u16(), got.text()), (201, "booked"));
        assert_eq!(got.header("x-sale"), Some("7"));
        assert_eq!(book_sale(&pair.second, ticket).await.outcome(), "unknown");
        assert_eq!(book_sale(&pair.first, ticket).await.outcome(), "unknown");
    }
    let received = desk.received();
    assert_eq!(received.len(), 2);
    assert_eq!(received[0].path, "/sales?lot=7");
    assert_eq!(&received[0].body[..], b"{\"lot\":7}");
    assert_eq!(received[0].header("x-note"), Some("by phone"));
}

#[tokio::test]
async fn a_forwarded_call_without_a_response_ends_as_unknown_in_time() {
    let desk = FakeBackend::start(|_| vec![Step::Hang]).await;
    let pair = pair(&desk, "0123456789abcdef").await;
    let ticket = pair.first.mint("desk", 1).await.remove(0);
    let answered = tokio::time::timeout(Duration::from_secs(10), book_sale(&pair.second, &ticket));
    assert_eq!(answered.await.unwrap().outcome(), "unknown");
    assert_eq!(desk.received().len(), 1);
}

#[tokio::test]
async fn a_wrong_peer_key_is_refused() {
    let desk = FakeBackend::start(|_| respond(201, "", "booked")).await;
    let pair = pair(&desk, "another-key-0000").await;
    let ticket = pair.first.mint("desk", 1).await.remove(0);
    assert_eq!(book_sale(&pair.second, &ticket).await.outcome(), "not-run");
    assert!(desk.received().is_empty());
}
