//! Runners in trouble whose responses have a status that HTTP does not know.

mod common {
    pub mod fake_backend;
    pub mod relay_rig;
}

use {
    common::{
        fake_backend::{Received, Step},
        relay_rig::{RESUMABLE, RelayRig, STREAM_ONCE, Setup, events},
    },
    greengagetrail::{
        http::serve_http,
        leader::PeerNode,
        node::CONTROL_PORT_LIMITS,
        traffic::RouteKind::{self, Idempotent, NonIdempotent},
    },
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::watch,
    },
    tokio_util::sync::CancellationToken,
};

const KINDS: [RouteKind; 4] = [Idempotent, NonIdempotent, STREAM_ONCE, RESUMABLE];

/// Statuses that are no final status of HTTP.
const STATUSES: [&str; 10] = [
    "000", "001", "0", "20", "099", "101", "1000", "-20", "2 00", "204x",
];

/// Returns a complete response with a status and a signature.
fn with_status(received: &Received, status: &str) -> Vec<Step> {
    let id = received.header("x-request-id").unwrap();
    vec![Step::send(format!(
        "HTTP/1.1 {status} S\r\nx-request-id: {id}\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok"
    ))]
}

async fn rig(kind: RouteKind, status: &'static str) -> RelayRig {
    let script = move |_: usize, received: &Received| with_status(received, status);
    RelayRig::start(Setup::new(kind), script).await
}

#[tokio::test]
async fn a_caller_gets_no_status_that_http_does_not_know() {
    for kind in KINDS {
        for status in STATUSES {
            let answer = rig(kind, status).await.call("").await;
            let text = format!("{kind:?} {status}: {}", answer.head);
            assert!([502, 504].contains(&answer.status), "{text}");
            assert!(!answer.head.contains("x-signature"), "{text}");
        }
    }
}

#[tokio::test]
async fn a_stream_that_goes_on_at_such_a_runner_ends_visibly() {
    for status in STATUSES {
        let rig = RelayRig::start(
            Setup::new(RESUMABLE),
            move |number, received| match number {
                0 => [events(received, 1, 2), vec![Step::Close]].concat(),
                _ => with_status(received, status),
            },
        )
        .await;
        let answer = rig.call("").await;
        assert_eq!((answer.status, answer.complete), (200, false), "{status}");
        assert!(answer.body.contains("id: 2") && !answer.body.contains("ok"));
    }
}

#[tokio::test]
async fn a_passed_on_request_gets_no_such_status() {
    for (kind, status) in KINDS
        .into_iter()
        .flat_map(|kind| STATUSES.map(|s| (kind, s)))
    {
        let near = rig(kind, status).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let relay = near.relay.clone();
        let stop = CancellationToken::new();
        let serve = move |request| relay.clone().serve_passed_on(request);
        tokio::spawn(serve_http(listener, CONTROL_PORT_LIMITS, stop, serve));
        let peer = PeerNode {
            name: "near".into(),
            gossip_address: at,
            control_address: at,
            zone: "z".into(),
        };
        let closed = TcpSocket::new_v4().unwrap();
        closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let peers = watch::Sender::new(vec![peer]).subscribe();
        let runners = [closed.local_addr().unwrap()];
        let cut_off = RelayRig::among(Setup::new(kind), Vec::new(), &runners, peers).await;
        let answer = cut_off.call("").await;
        let text = format!("{kind:?} {status}: {}", answer.head);
        assert!([502, 504].contains(&answer.status), "{text}");
    }
}
