//! Encoding of gossip datagrams, and the exchange of state between two nodes.

#[path = "common/registry_rig.rs"]
mod registry_rig;

use {
    greengagetrail::{
        copies::ResidencyBroadcaster,
        discovery::RunnerKey,
        dispatch::{
            AggregatorReport, LoadSum, ModelDemand, NodeLoad, RunnerHash, RunnerUsage, SpeedReport,
            Variant,
        },
        gossip::{
            AggregationContext, AggregationProtocol, DATAGRAM_BYTES_MAX, Datagram, DatagramError,
            DatagramKind, DigestHead, Event, Gossip, Item, ReceivedRound, ReportHead, Sender,
            SumHead, UrgentEvent, decode, encode, encode_bodies, encode_datagram,
        },
        leader::PeerNode,
    },
    registry_rig::*,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::UdpSocket,
        sync::watch,
        time::{Instant, sleep},
    },
};

fn sender() -> Sender {
    Sender {
        node: "n1".into(),
        start: 77,
        config_version: 5,
    }
}

fn items(count: u64) -> Vec<Item> {
    let load = |number| {
        let key = RunnerKey {
            id: format!("runner-{number}").as_str().into(),
            born_unix_ms: 1_700_000_000_000 + number,
        };
        let variant = Variant {
            model: "m1".into(),
            adapter: Some("a1".into()),
        };
        let load = NodeLoad {
            requests: 3,
            kv_tokens: 5_000,
            prefill_tokens: 100,
            recent_tokens: 0,
            in_use: vec![(variant, 3)],
        };
        [
            Item::Sum(RunnerHash::of(&key), LoadSum::from(&load)),
            Item::Use(RunnerUsage {
                runner: RunnerHash::of(&key),
                in_use: load.in_use.clone(),
            }),
            Item::News(UrgentEvent {
                origin: "n3".into(),
                start: number,
                number,
                event: Event::Leaving(key.clone()),
            }),
            Item::Config("n3".into(), number),
            Item::Load(key.clone(), load),
            Item::Leaving(key.clone()),
            Item::Unreachable(key),
            Item::Note(number, residency_change("a", "m1", None, true)),
            Item::Demand(ModelDemand {
                service: "s".into(),
                model: "m1".into(),
                adapter: None,
                requests_per_s: 1.5,
                room_priority: Some(1),
                waiting: 2,
            }),
        ]
    };
    (0..count).flat_map(load).collect()
}

#[test]
fn datagrams_are_small_and_hold_everything_in_order() {
    for count in [0, 1, 7, 300] {
        let datagrams = encode(&sender(), items(count));
        assert!(datagrams.iter().all(|d| d.len() <= DATAGRAM_BYTES_MAX));
        let read: Vec<_> = datagrams.iter().map(|d| decode(d).unwrap()).collect();
        assert!(read.iter().all(|datagram| datagram.sender == sender()));
        let all: Vec<_> = read.into_iter().flat_map(|d| d.items).collect();
        assert_eq!(all, items(count));
    }
}

#[test]
fn reports_of_speeds_keep_their_runner_and_their_sign() {
    let key = RunnerKey {
        id: "r".into(),
        born_unix_ms: 1,
    };
    let reports = [-1.8, -0.5, 0.0, 0.5, 1.8].map(|log_slowness| {
        let report = SpeedReport::new(RunnerHash::of(&key), log_slowness);
        assert!((report.log_slowness() - log_slowness).abs() < 0.01);
        Item::Speed(report)
    });
    let datagrams = encode(&sender(), reports.clone());
    let read = datagrams.iter().flat_map(|d| decode(d).unwrap().items);
    assert_eq!(read.collect::<Vec<_>>(), reports);
}

#[test]
fn an_oversized_item_gets_a_datagram_of_its_own() {
    let mut all = items(2);
    let in_use = (0..200).map(|number| {
        let variant = Variant {
            model: format!("model-{number:04}").as_str().into(),
            adapter: None,
        };
        (variant, 1)
    });
    let load = NodeLoad {
        in_use: in_use.collect(),
        ..NodeLoad::default()
    };
    let key = RunnerKey {
        id: "r".into(),
        born_unix_ms: 1,
    };
    all.insert(3, Item::Load(key, load));
    let datagrams = encode(&sender(), all.clone());
    let read = datagrams.iter().flat_map(|d| decode(d).unwrap().items);
    assert_eq!(read.collect::<Vec<_>>(), all);
}

#[test]
fn arbitrary_bytes_are_decoded_without_a_panic() {
    bolero::check!().for_each(|bytes| {
        let _ = decode(bytes);
    });
}

#[test]
fn a_damaged_datagram_is_rejected() {
    let datagram = encode(&sender(), items(2)).remove(0);
    bolero::check!()
        .with_type::<(usize, u8)>()
        .for_each(|&(position, flip)| {
            let mut damaged = datagram.clone();
            let position = position % damaged.len();
            damaged[position] ^= flip;
            assert_eq!(decode(&damaged).is_ok(), flip == 0);
            assert!(decode(&datagram[..position]).is_err());
        });
    assert_eq!(decode(b"GET / HTTP/1.1"), Err(DatagramError::UnknownFormat));
}

#[test]
fn every_kind_of_datagram_is_decoded_as_encoded() {
    let heard = Some(ReceivedRound {
        start: u64::MAX,
        round: u32::MAX,
    });
    let kinds = [
        DatagramKind::Direct,
        DatagramKind::Report(ReportHead {
            round: u32::MAX,
            part: 1,
            parts: 2,
            has_plan: true,
            plan_wanted: true,
        }),
        DatagramKind::Digest(DigestHead {
            full: true,
            large: true,
            heard,
        }),
        DatagramKind::Sum(SumHead {
            round: u32::MAX,
            members: u16::MAX,
            plan_wanted: true,
            heard,
        }),
        DatagramKind::Ping,
        DatagramKind::Pong(Some(("n2".into(), "10.0.0.1:1".parse().unwrap()))),
    ];
    let bodies = encode_bodies(&sender(), items(300));
    for kind in kinds {
        let datagrams = bodies
            .iter()
            .map(|body| encode_datagram(&sender(), &kind, body));
        let datagrams: Vec<_> = datagrams.collect();
        assert!(datagrams.iter().all(|d| d.len() <= DATAGRAM_BYTES_MAX));
        let read: Vec<_> = datagrams.iter().map(|d| decode(d).unwrap()).collect();
        assert!(read.iter().all(|datagram| datagram.kind == kind));
        let all: Vec<_> = read.into_iter().flat_map(|d| d.items).collect();
        assert_eq!(all, items(300));
    }
}

/// Arbitrary contents with a valid checksum reach the decoder and the state machine.
#[test]
fn arbitrary_contents_are_processed_without_a_panic() {
    let start = Instant::now();
    let mut protocol = AggregationProtocol::new("me".into(), "east".into(), 1, start);
    bolero::check!()
        .with_type::<(Vec<u8>, bool)>()
        .for_each(|(body, keep_sender)| {
            let framed = encode_datagram(&sender(), &DatagramKind::Ping, body);
            let bytes = if *keep_sender {
                framed
            } else {
                with_checksum(body)
            };
            let Ok(datagram) = decode(&bytes) else { return };
            let context = AggregationContext {
                peers: &[],
                config_version: 1,
                newest_config: None,
                is_large: true,
                now: start,
            };
            protocol.receive(datagram, "127.0.0.1:1".parse().unwrap(), &context);
            protocol.tick(&AggregatorReport::default(), &context);
        });
}

/// Returns a datagram with the given contents and a valid checksum.
fn with_checksum(contents: &[u8]) -> Vec<u8> {
    let mut crc = flate2::Crc::new();
    crc.update(contents);
    let checksum = crc.sum().to_be_bytes();
    [&b"ggt\x03"[..], &checksum, contents].concat()
}

struct Node {
    rig: Rig,
    gossip: Arc<Gossip>,
    address: std::net::SocketAddr,
}

/// Starts two nodes that list each other and the same two runners.
async fn two_nodes() -> (Node, Node) {
    let sockets = [socket().await, socket().await];
    let addresses = [
        sockets[0].local_addr().unwrap(),
        sockets[1].local_addr().unwrap(),
    ];
    let [first, second] = sockets;
    let a = node("n1", first, addresses[0], addresses[1]);
    let b = node("n2", second, addresses[1], addresses[0]);
    (a, b)
}

async fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.unwrap()
}

fn node(
    name: &str,
    socket: UdpSocket,
    address: std::net::SocketAddr,
    peer: std::net::SocketAddr,
) -> Node {
    let rig = two_runners();
    let peer = PeerNode {
        name: "peer".into(),
        gossip_address: peer,
        control_address: peer,
        zone: "east".into(),
    };
    let (sender, peers) = watch::channel(vec![peer]);
    std::mem::forget(sender);
    let gossip = Gossip::new(name.into(), peers, Vec::new(), rig.registry.clone(), socket);
    tokio::spawn(gossip.clone().run());
    Node {
        rig,
        gossip,
        address,
    }
}

/// Waits until a condition holds, and returns how long that took.
async fn wait_until(what: &str, holds: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < Duration::from_secs(10), "{what}");
        sleep(Duration::from_millis(2)).await;
    }
    start.elapsed()
}

fn in_flight(node: &Node) -> u32 {
    node.rig.registry.runners()[0].in_flight
}

#[tokio::test]
async fn nodes_exchange_load_demand_and_residency_changes() {
    let (a, b) = two_nodes().await;
    let place = a
        .rig
        .dispatcher
        .assign(&generation_request("m1"))
        .await
        .unwrap();
    wait_until("the load is known", || in_flight(&b) == 1).await;
    drop(place);
    wait_until("the end of the load is known", || in_flight(&b) == 0).await;

    let demand = b.rig.registry.demand();
    assert_eq!(demand.len(), 1);
    assert_eq!(demand[0].model, "m1".into());

    a.gossip
        .broadcast(&[residency_change("a", "m2", None, true)]);
    let holds = |node: &Node| node.rig.registry.runners()[0].entry.models.len() == 2;
    assert!(holds(&a));
    wait_until("the change is known", || holds(&b)).await;
    // Datagrams that repeat an old change must not undo a newer one.
    a.gossip
        .broadcast(&[residency_change("a", "m2", None, false)]);
    wait_until("the second change is known", || !holds(&b)).await;
    sleep(Duration::from_millis(400)).await;
    assert!(!holds(&b));

    wait_until("the configuration is known", || {
        let config = b.gossip.newest_config();
        let known = config.borrow().as_ref().map(|config| config.version.0);
        known == Some(1)
    })
    .await;
}

#[tokio::test]
async fn a_request_that_waits_for_a_copy_is_reported_at_once() {
    let (a, b) = two_nodes().await;
    let mut waiting = b.rig.registry.subscribe_waiting_demand();
    let dispatcher = a.rig.dispatcher.clone();
    let task = tokio::spawn(async move { dispatcher.assign(&generation_request("rare")).await });
    waiting.changed().await.unwrap();
    let demand = b.rig.registry.demand();
    assert_eq!(demand[0].waiting, 1);
    task.abort();
    wait_until("the end of the wait is known", || {
        b.rig.registry.demand()[0].waiting == 0
    })
    .await;
}

#[tokio::test]
async fn a_silent_peer_expires_and_foreign_datagrams_are_ignored() {
    let (a, b) = two_nodes().await;
    let stranger = socket().await;
    for bytes in [&b"hello"[..], &[0; 3_000], b"ggt\x01\0\0\0\0junk"] {
        stranger.send_to(bytes, b.address).await.unwrap();
    }
    let key = RunnerKey {
        id: "a".into(),
        born_unix_ms: 1,
    };
    let load = NodeLoad {
        requests: 2,
        ..NodeLoad::default()
    };
    let datagram = encode(&sender_named("lost"), [Item::Load(key, load)]).remove(0);
    stranger.send_to(&datagram, b.address).await.unwrap();
    wait_until("the peer's load is known", || in_flight(&b) == 2).await;
    let took = wait_until("the peer's load has expired", || in_flight(&b) == 0).await;
    assert!(took > Duration::from_millis(1_000), "{took:?}");
    let place = a
        .rig
        .dispatcher
        .assign(&generation_request("m1"))
        .await
        .unwrap();
    wait_until("datagrams of other nodes are still accepted", || {
        in_flight(&b) == 1
    })
    .await;
    drop(place);
}

fn sender_named(name: &str) -> Sender {
    Sender {
        node: name.into(),
        ..sender()
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_learns_of_another_aggregator_but_not_of_itself() {
    let now = Instant::now();
    let mut protocol = AggregationProtocol::new("me".into(), "east".into(), 1, now);
    let from = "127.0.0.1:9".parse().unwrap();
    let context = AggregationContext {
        peers: &[],
        config_version: 0,
        newest_config: None,
        is_large: false,
        now,
    };
    for (name, uses_aggregation) in [("me", false), ("other", true), ("me", true)] {
        let pong = Datagram {
            sender: sender(),
            kind: DatagramKind::Pong(Some((name.into(), from))),
            items: Vec::new(),
        };
        protocol.receive(pong, from, &context);
        assert_eq!(
            protocol.uses_aggregation(false, now),
            uses_aggregation,
            "{name}"
        );
    }
}
