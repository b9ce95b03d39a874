//! What a node learns from its peers while it does not reach the store.

mod common {
    pub mod registry_rig;
    pub mod traffic_configs;
    pub mod version_formats;
}

use {
    bytes::Bytes,
    common::{
        registry_rig::{Rig, generation_request, rig, runner},
        traffic_configs,
        version_formats::VersionFormats,
    },
    greengagetrail::{
        discovery::{ListedRunners, RunnerEntry, RunnerFollower},
        dispatch::RunnerRegistry,
        gossip::{Gossip, PeerConfig},
        leader::PeerNode,
        node::{PeerAddresses, PeerConfigFollower, PeerPages, PeerRunnersFollower},
        standin::kv::{KvFaults, MemoryStore},
        store::{MonitoredStore, StoreVersion},
        traffic::{ConfigVersion, NodeName, RouteMap, TrafficBoard},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
        time::{Instant, sleep},
    },
    tokio_util::sync::{CancellationToken, DropGuard},
};

/// A node with its control port, which a test can bring to any version.
struct Peer {
    traffic: Arc<TrafficBoard>,
    control: SocketAddr,
    runners_version: watch::Sender<StoreVersion>,
    _serving: DropGuard,
}

impl Peer {
    async fn start(runners: Vec<RunnerEntry>) -> Self {
        let traffic = Arc::new(TrafficBoard::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let control = listener.local_addr().unwrap();
        let runners_version = watch::Sender::new(StoreVersion(4));
        let pages = PeerPages {
            traffic: traffic.clone(),
            board: rig(runners).registry,
            runners_version: runners_version.subscribe(),
        };
        let stop = CancellationToken::new();
        tokio::spawn(pages.serve(listener, stop.clone()));
        Self {
            traffic,
            control,
            runners_version,
            _serving: stop.drop_guard(),
        }
    }

    fn put_in_force(&self, version: u64) {
        let source = Bytes::from(version.to_string());
        let config = traffic_configs::config(version, Vec::new());
        assert!(self.traffic.offer(RouteMap::new(config, source)));
    }

    fn listed(&self, name: &str) -> PeerNode {
        PeerNode {
            name: name.into(),
            gossip_address: nowhere(),
            control_address: self.control,
            zone: "east".into(),
        }
    }
}

/// An address at which nothing listens.
fn nowhere() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

fn addresses(peers: Vec<PeerNode>, seeds: Vec<SocketAddr>) -> PeerAddresses {
    let peers = watch::Sender::new(peers).subscribe();
    PeerAddresses { peers, seeds }
}

fn heard(node: &str, version: u64) -> Option<PeerConfig> {
    Some(PeerConfig {
        node: node.into(),
        version: ConfigVersion(version),
    })
}

/// Follows the configurations of peers; returns the node's board and what it hears.
fn follow_peers(peers: PeerAddresses) -> (Arc<TrafficBoard>, watch::Sender<Option<PeerConfig>>) {
    let traffic = Arc::new(TrafficBoard::default());
    let newest = watch::Sender::new(None);
    let formats = Arc::new(VersionFormats);
    let follower = PeerConfigFollower::new(formats, traffic.clone(), peers, newest.subscribe());
    tokio::spawn(follower.run());
    (traffic, newest)
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < Duration::from_secs(10), "{what}");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_newer_configuration_that_is_heard_of_is_taken_and_never_an_older_one() {
    let (ahead, behind) = (Peer::start(Vec::new()).await, Peer::start(Vec::new()).await);
    ahead.put_in_force(1);
    behind.put_in_force(1);
    let peers = addresses(
        vec![behind.listed("behind"), ahead.listed("ahead")],
        Vec::new(),
    );
    let (traffic, newest) = follow_peers(peers);
    let has = |version| traffic.version() == Some(ConfigVersion(version));
    until("the first configuration", || has(1)).await;
    ahead.put_in_force(7);
    newest.send_replace(heard("ahead", 7));
    until("the newer configuration", || has(7)).await;
    // What is heard may be wrong: no version above 7 can be had, and older ones are not taken.
    newest.send_replace(heard("behind", 9));
    sleep(Duration::from_millis(1_500)).await;
    assert!(has(7));
    behind.put_in_force(9);
    until("the newest configuration", || has(9)).await;
}

#[tokio::test]
async fn a_configuration_whose_teller_is_gone_is_had_from_another_peer() {
    let peer = Peer::start(Vec::new()).await;
    peer.put_in_force(3);
    let gone = PeerNode {
        control_address: nowhere(),
        ..peer.listed("gone")
    };
    let (traffic, newest) = follow_peers(addresses(vec![gone, peer.listed("other")], Vec::new()));
    newest.send_replace(heard("gone", 3));
    until("the configuration", || {
        traffic.version() == Some(ConfigVersion(3))
    })
    .await;
}

#[tokio::test]
async fn a_node_that_starts_in_an_outage_has_configuration_and_runners_from_a_seed() {
    let runners = vec![runner("a", &[("m1", &["x"])]), runner("b", &[("m2", &[])])];
    let seed = Peer::start(runners.clone()).await;
    seed.put_in_force(5);
    let peers = addresses(Vec::new(), vec![nowhere(), seed.control]);
    let (traffic, _newest) = follow_peers(peers.clone());
    let link = MemoryStore::new().link();
    link.set_faults(KvFaults::DOWN);
    let (board, version) = follow_runners(link, peers);
    assert_eq!(traffic.version(), None);
    until("the configuration", || {
        traffic.version() == Some(ConfigVersion(5))
    })
    .await;
    until("the runners", || board.runners().len() == 2).await;
    let views = board.runners().into_iter();
    let known: Vec<_> = views.map(|view| view.entry).collect();
    assert_eq!(known, runners);
    assert_eq!(*version.borrow(), StoreVersion(4));
    // The outage goes on, and the seed learns more.
    seed.runners_version.send_replace(StoreVersion(6));
    until("the newer list", || *version.borrow() == StoreVersion(6)).await;
}

/// Follows the list of runners; returns the node's board and up to where it is known.
fn follow_runners(
    link: MemoryStore,
    peers: PeerAddresses,
) -> (Arc<RunnerRegistry>, watch::Receiver<StoreVersion>) {
    let store = Arc::new(MonitoredStore::new(Arc::new(link)));
    let board = rig(Vec::new()).registry;
    let (lists, list) = watch::channel(ListedRunners::default());
    let (health, formats) = (store.health(), Arc::new(VersionFormats));
    let follower = RunnerFollower::new(store, health.clone(), formats, board.clone(), list);
    let version = follower.version();
    tokio::spawn(PeerRunnersFollower::new(peers, health, version.clone(), lists).run());
    tokio::spawn(follower.run());
    (board, version)
}

struct Gossiper {
    rig: Rig,
    gossip: Arc<Gossip>,
    address: SocketAddr,
}

async fn gossiper(name: &str, peers: Vec<PeerNode>, seeds: Vec<SocketAddr>) -> Gossiper {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    let peers = watch::Sender::new(peers);
    let gossip = Gossip::new(
        name.into(),
        peers.subscribe(),
        seeds,
        rig.registry.clone(),
        socket,
    );
    std::mem::forget(peers);
    tokio::spawn(gossip.clone().run());
    Gossiper {
        rig,
        gossip,
        address,
    }
}

impl Gossiper {
    fn heard_from(&self) -> Option<NodeName> {
        let newest = self.gossip.newest_config();
        newest.borrow().as_ref().map(|config| config.node.clone())
    }

    async fn hears_load_of(&self, other: &Self) {
        let place = other
            .rig
            .dispatcher
            .assign(&generation_request("m1"))
            .await
            .unwrap();
        let in_flight = || self.rig.registry.runners()[0].in_flight;
        until("the load is told", || in_flight() == 1).await;
        drop(place);
        until("its end is told", || in_flight() == 0).await;
    }
}

/// The lease of a node that is cut from the store lapses, and the others no longer list it.
#[tokio::test]
async fn a_node_that_the_others_no_longer_list_still_hears_them() {
    let others = gossiper("listed", Vec::new(), Vec::new()).await;
    let listed = PeerNode {
        name: "listed".into(),
        gossip_address: others.address,
        control_address: nowhere(),
        zone: "east".into(),
    };
    let cut = gossiper("cut", vec![listed], Vec::new()).await;
    until("the configuration is told", || {
        cut.heard_from() == Some("listed".into())
    })
    .await;
    cut.hears_load_of(&others).await;
}

#[tokio::test]
async fn a_node_that_starts_in_an_outage_exchanges_its_state_with_seeds() {
    let seed = gossiper("seed", Vec::new(), Vec::new()).await;
    let started = gossiper("started", Vec::new(), vec![nowhere(), seed.address]).await;
    until("the configuration is told", || {
        started.heard_from() == Some("seed".into())
    })
    .await;
    started.hears_load_of(&seed).await;
    seed.hears_load_of(&started).await;
}

/// While no configuration is published all nodes ask all others, and would keep a connection to each.
#[tokio::test]
async fn more_nodes_ask_a_peer_than_it_has_places_for_connections() {
    let peer = Peer::start(Vec::new()).await;
    let ask = |_| follow_peers(addresses(vec![peer.listed("asked")], Vec::new()));
    let askers: Vec<_> = (0..300).map(ask).collect();
    sleep(Duration::from_secs(2)).await;
    peer.put_in_force(1);
    let start = Instant::now();
    let has = |(traffic, _): &(Arc<TrafficBoard>, _)| traffic.version().is_some();
    until("the configuration at all", || askers.iter().all(has)).await;
    let took = start.elapsed();
    assert!(took < Duration::from_secs(4), "it took {took:?}");
}
