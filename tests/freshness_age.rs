//! How old a configuration a node serves keys by, while its ways to the store fail.

mod common {
    pub mod bounds;
    pub mod store_writes;
    pub mod traffic_configs;
    pub mod version_formats;
}

use {
    common::{
        bounds::bounds,
        store_writes::write,
        version_formats::{KEY, VersionFormats},
    },
    futures::future::{BoxFuture, FutureExt},
    greengagetrail::{
        freshness::{AgeBound, AgeTask, ConfigAge, PeerProof, Proof, ProofPeers, ProofTable},
        leader::BootClock,
        node::Bounds,
        standin::kv::{KvFaults, MemoryStore},
        traffic::{ActiveConfig, ConfigFollower, ConfigVersion},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

const REVOKE_MS: u64 = 5_000;

/// The time without the store for which requests with keys are owed.
const OWED_MS: u64 = 3_000;

const STEP: Duration = Duration::from_millis(50);

/// The path to a peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Path {
    /// Whether this node relies on the peer.
    is_followed: bool,
    is_cut: bool,
    /// How long a response takes.
    delay_ms: u64,
}

/// One peer, at any address.
struct OnePeer {
    age: Arc<ConfigAge>,
    path: Arc<Mutex<Path>>,
}

impl OnePeer {
    fn path(&self) -> Path {
        *self.path.lock().unwrap()
    }

    fn address(&self, is_asked: bool) -> Option<SocketAddr> {
        is_asked.then(|| "127.0.0.1:1".parse().unwrap())
    }
}

impl ProofPeers for OnePeer {
    fn followed(&self) -> Option<SocketAddr> {
        self.address(self.path().is_followed)
    }

    fn next_other(&self) -> Option<SocketAddr> {
        self.address(!self.path().is_followed)
    }

    fn ask(&self, _peer: SocketAddr, wait: Duration) -> BoxFuture<'_, Option<PeerProof>> {
        async move {
            if self.path().is_cut {
                sleep(wait + Duration::from_millis(300)).await;
                return None;
            }
            let told = self.age.next_for_peer(self.age.now(), wait).await;
            sleep(Duration::from_millis(self.path().delay_ms)).await;
            told
        }
        .boxed()
    }
}

/// A node that proves the age of its configuration.
struct Node {
    age: Arc<ConfigAge>,
    config: Arc<ActiveConfig>,
    link: MemoryStore,
    /// How long the node was frozen.
    frozen_ms: Arc<AtomicU64>,
    path: Arc<Mutex<Path>>,
}

impl Node {
    fn start(store: &MemoryStore, peer: Option<&Node>, path: Path) -> Self {
        let frozen_ms = Arc::<AtomicU64>::default();
        let (frozen, begun) = (frozen_ms.clone(), Instant::now());
        let clock = BootClock::new(move || {
            let frozen = Duration::from_millis(frozen.load(Ordering::Relaxed));
            Duration::from_secs(100) + begun.elapsed() + frozen
        });
        let config = Arc::new(ActiveConfig::default());
        let bound = AgeBound::of(&Bounds {
            fail_closed: true,
            revoke_ms: Some(REVOKE_MS),
            ..bounds()
        });
        let age = Arc::new(ConfigAge::new(config.clone(), clock, bound));
        let path = Arc::new(Mutex::new(path));
        let peers = OnePeer {
            age: peer.map_or(age.clone(), |peer| peer.age.clone()),
            path: path.clone(),
        };
        let link = store.link();
        let task = AgeTask::new(
            age.clone(),
            config.clone(),
            Arc::new(link.clone()),
            Arc::new(VersionFormats),
            Arc::new(peers),
        );
        tokio::spawn(task.run());
        let (follower_link, formats) = (Arc::new(link.clone()), Arc::new(VersionFormats));
        let follower = ConfigFollower::new(follower_link, formats, config.clone());
        tokio::spawn(follower.with_observer(age.clone()).run());
        Self {
            age,
            config,
            link,
            frozen_ms,
            path,
        }
    }

    fn serves(&self) -> bool {
        self.age.check().is_ok()
    }

    /// Returns how long the node still serves keys, at most 20 s.
    async fn served_ms(&self) -> u64 {
        let begun = Instant::now();
        while self.serves() && begun.elapsed() < Duration::from_secs(20) {
            sleep(STEP).await;
        }
        begun.elapsed().as_millis() as u64
    }

    async fn serves_for(&self, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        while self.serves() && Instant::now() < until {
            sleep(STEP).await;
        }
        self.serves()
    }
}

async fn store() -> MemoryStore {
    let store = MemoryStore::new();
    write(&store, KEY, "1").await;
    store
}

const FOLLOWED: Path = Path {
    is_followed: true,
    is_cut: false,
    delay_ms: 0,
};

const CUT: Path = Path {
    is_followed: false,
    is_cut: true,
    delay_ms: 0,
};

#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_off_serves_keys_as_long_as_they_are_owed_and_not_after_a_revocation() {
    for faults in [KvFaults::DOWN, KvFaults::SILENT] {
        for phase_ms in [0, 400, 900, 1_240] {
            let store = store().await;
            let node = Node::start(&store, None, CUT);
            assert!(!node.serves(), "no proof yet");
            sleep(Duration::from_secs(1)).await;
            assert!(node.serves_for(10_000 + phase_ms).await);
            node.link.set_faults(faults);
            write(&store, KEY, "2").await;
            let served_ms = node.served_ms().await;
            assert!(
                (OWED_MS..=REVOKE_MS).contains(&served_ms),
                "{served_ms} ms, {faults:?}, cut off after {phase_ms} ms"
            );
            node.link.set_faults(KvFaults::NONE);
            sleep(Duration::from_secs(3)).await;
            assert!(node.serves_for(10_000).await, "after the cut");
            assert_eq!(node.config.version(), Some(ConfigVersion(2)));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_that_was_frozen_serves_no_key_before_it_heard_of_revocations() {
    let store = store().await;
    let node = Node::start(&store, None, CUT);
    sleep(Duration::from_secs(5)).await;
    assert!(node.serves());
    write(&store, KEY, "2").await;
    node.frozen_ms.fetch_add(REVOKE_MS, Ordering::Relaxed);
    assert!(!node.serves(), "right after the freeze");
    sleep(Duration::from_secs(2)).await;
    assert!(node.serves());
    assert_eq!(node.config.version(), Some(ConfigVersion(2)));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_relies_on_a_peer_goes_on_when_it_falls_silent() {
    let store = store().await;
    let reader = Node::start(&store, None, CUT);
    let node = Node::start(&store, Some(&reader), FOLLOWED);
    sleep(Duration::from_secs(2)).await;
    let calls_before = store.counts();
    assert!(node.serves_for(20_000).await);
    let calls = store.counts().range - calls_before.range;
    assert!(
        calls <= 17,
        "{calls} calls of the peer alone, one in 1.25 s"
    );
    // The peer is frozen or cut off: the node calls the store itself.
    *node.path.lock().unwrap() = Path {
        is_cut: true,
        ..FOLLOWED
    };
    assert!(node.serves_for(20_000).await);
    // The peer answers but knows nothing new.
    *node.path.lock().unwrap() = FOLLOWED;
    reader.link.set_faults(KvFaults::DOWN);
    assert!(node.serves_for(20_000).await);
}

#[tokio::test(start_paused = true)]
async fn a_node_without_the_store_is_told_by_peers_but_no_delay_makes_that_younger() {
    let store = store().await;
    let reader = Node::start(&store, None, CUT);
    let node = Node::start(&store, Some(&reader), Path::default());
    sleep(Duration::from_secs(2)).await;
    node.link.set_faults(KvFaults::DOWN);
    assert!(node.serves_for(20_000).await);
    reader.link.set_faults(KvFaults::DOWN);
    write(&store, KEY, "2").await;
    node.path.lock().unwrap().delay_ms = 2_000;
    let served_ms = node.served_ms().await;
    assert!(served_ms <= REVOKE_MS, "{served_ms} ms");
    // The peer has the new version, so its proof says nothing of the old one.
    reader.link.set_faults(KvFaults::NONE);
    sleep(Duration::from_secs(10)).await;
    assert!(reader.serves() && !node.serves());
}

#[tokio::test(start_paused = true)]
async fn the_read_of_the_configuration_at_the_start_is_a_proof() {
    let store = store().await;
    let node = Node::start(&store, None, CUT);
    sleep(Duration::from_millis(20)).await;
    assert!(node.serves());
}

#[tokio::test(start_paused = true)]
async fn the_store_is_not_asked_for_an_age_before_there_is_a_configuration() {
    let store = MemoryStore::new();
    let node = Node::start(&store, None, CUT);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(store.counts().range, 1, "the read at the start");
    write(&store, KEY, "1").await;
    sleep(Duration::from_millis(100)).await;
    assert!(node.serves());
}

#[test]
fn a_proof_holds_for_its_version_and_higher_ones() {
    let proof = |version, at_s| Proof {
        version: ConfigVersion(version),
        at: Duration::from_secs(at_s),
    };
    let mut table = ProofTable::default();
    assert_eq!(table.newest_for(ConfigVersion(9)), None);
    for recorded in [proof(5, 10), proof(7, 20), proof(5, 8), proof(6, 9)] {
        table.record(recorded);
    }
    let newest = |table: &ProofTable, version| table.newest_for(ConfigVersion(version));
    assert_eq!(newest(&table, 4), None);
    assert_eq!(newest(&table, 5), Some(proof(5, 10)));
    assert_eq!(newest(&table, 6), Some(proof(5, 10)));
    assert_eq!(newest(&table, 8), Some(proof(7, 20)));
    table.record(proof(3, 30));
    assert_eq!(newest(&table, 8), Some(proof(3, 30)));
}

#[test]
fn the_bound_holds_only_where_a_deployment_asks_for_it() {
    let with = |fail_closed, revoke_ms| {
        AgeBound::of(&Bounds {
            fail_closed,
            revoke_ms,
            ..bounds()
        })
    };
    assert_eq!(with(false, Some(5_000)), None);
    assert_eq!(with(true, None), None);
    let bound = with(true, Some(5_000)).unwrap();
    assert!(bound.age_max() < Duration::from_millis(5_000));
    let config = Arc::new(ActiveConfig::default());
    let age = ConfigAge::new(config, BootClock::default(), None);
    assert!(age.check().is_ok());
    age.set_bound(Some(bound));
    assert!(age.check().is_err());
}
