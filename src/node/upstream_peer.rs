//! Watches the store through a peer in large systems, which limits the number of store watches.

use {
    super::changes_endpoint::{changes_path, decode_changes},
    crate::{
        gossip::{rank_nodes, sorted_zones},
        http::{Body, CallLimits, Client, Liveness},
        leader::{PeerNode, Term},
        security::Tls,
        store::{ChangeSource, Changes, StoreVersion},
        traffic::NodeName,
    },
    futures::future::{BoxFuture, FutureExt},
    hyper::{Request, StatusCode},
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// The largest number of nodes that watch the store through one peer.
const FOLLOWERS_PER_WATCHER_MAX: usize = 16;

/// The longest time for which a peer may hold a request back while it has no changes.
const LONG_POLL_MAX: Duration = Duration::from_secs(1);

/// The time for a response to arrive after the requested wait.
const RESPONSE_SLACK: Duration = Duration::from_millis(300);

/// The time for which a failed peer is not used.
const FAILED_PEER_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The largest accepted response body.
const RESPONSE_MAX_BYTES: usize = 64 << 10;

/// A failed peer and the time until which it is not used.
#[derive(Debug)]
struct Failure {
    peer: NodeName,
    until: Instant,
}

/// Watches the store through a peer of the same data centre.
///
/// In each data centre the first few nodes of a ranking, which all nodes compute alike, watch the
/// store for the others, which send changes requests to these. They themselves send theirs to the
/// first of them, or to one that does. The leader always watches the store itself, and so does a
/// node whose candidate peers have failed.
#[derive(Debug)]
pub struct UpstreamPeer {
    own_node: PeerNode,
    peers: watch::Receiver<Vec<PeerNode>>,
    term: watch::Receiver<Option<Term>>,
    direct_peers_max: usize,
    wait: Duration,
    client: Client,
    failures: Mutex<Vec<Failure>>,
}

impl UpstreamPeer {
    /// Creates the change source of a node, which uses no peer up to `direct_peers_max` peers.
    ///
    /// A changes request waits for at most a third of `drain_ms`, so that a failed peer is replaced
    /// well within the time in which a draining runner must stop getting requests.
    pub fn new(
        own_node: PeerNode,
        peers: watch::Receiver<Vec<PeerNode>>,
        term: watch::Receiver<Option<Term>>,
        direct_peers_max: usize,
        drain_ms: u64,
    ) -> Self {
        Self {
            own_node,
            peers,
            term,
            direct_peers_max,
            wait: LONG_POLL_MAX.min(Duration::from_millis(drain_ms) / 3),
            client: Client::with_liveness(RESPONSE_SLACK, Liveness::PROMPT),
            failures: Mutex::default(),
        }
    }

    /// Sends requests to peers over TLS, if it is configured.
    pub fn with_tls(self, tls: Option<Tls>) -> Self {
        Self {
            client: self.client.with_tls(tls),
            ..self
        }
    }

    /// Returns the peer of the data centre to use; `None` for a node that watches for others.
    pub fn select_peer(&self) -> Option<PeerNode> {
        if self.term.borrow().is_some() {
            return None;
        }
        let peers = self.peers.borrow();
        if peers.len() <= self.direct_peers_max {
            return None;
        }
        let ranked = rank_nodes(peers.iter().chain([&self.own_node]), &self.own_node.zone);
        let watchers = watchers_among(ranked.len());
        let rank = ranked
            .iter()
            .position(|node| node.name == self.own_node.name)?;
        if rank < watchers {
            return None;
        }
        let candidates = [rank, rank + 1].map(|position| ranked[position % watchers]);
        let healthy = candidates
            .into_iter()
            .find(|peer| !self.has_failed(&peer.name));
        healthy.cloned()
    }

    /// Returns the peer to ask for changes; `None` if this node has to watch the store itself.
    ///
    /// The nodes that watch the store for others do so through the first of them, or through one
    /// that does if they are many. Each node relies on one that is earlier by data centre and rank,
    /// so that no two nodes wait for each other, whatever nodes they know.
    pub fn select_source(&self) -> Option<PeerNode> {
        match *self.term.borrow() {
            Some(_) => None,
            None => self.select_prover(),
        }
    }

    /// Returns the peer to ask for the age of the configuration; `None` if this node asks the store.
    ///
    /// That is the peer through which this node watches the store, also for the leader.
    pub fn select_prover(&self) -> Option<PeerNode> {
        if let Some(peer) = self.select_peer() {
            return Some(peer);
        }
        let peers = self.peers.borrow();
        if peers.len() <= self.direct_peers_max {
            return None;
        }
        let mut nodes = peers.clone();
        nodes.push(self.own_node.clone());
        let watchers = watching_nodes(&nodes);
        let position = watchers
            .iter()
            .position(|node| node.name == self.own_node.name);
        let source = match position {
            Some(0) => return None,
            Some(position) => watchers[(position - 1) / FOLLOWERS_PER_WATCHER_MAX],
            None => watchers.first()?,
        };
        (!self.has_failed(&source.name)).then(|| source.clone())
    }

    /// Records that a peer gave no usable response, so that it is not asked for a while.
    pub(super) fn record_prover_failure(&self, address: SocketAddr) {
        let peers = self.peers.borrow();
        let found = peers.iter().find(|peer| peer.control_address == address);
        if let Some(peer) = found {
            self.record_failure(peer.name.clone());
        }
    }

    fn has_failed(&self, peer: &NodeName) -> bool {
        let now = Instant::now();
        let mut failures = self.failures();
        failures.retain(|failure| failure.until > now);
        failures.iter().any(|failure| failure.peer == *peer)
    }

    fn record_failure(&self, peer: NodeName) {
        let until = Instant::now() + FAILED_PEER_RETRY_DELAY;
        self.failures().push(Failure { peer, until });
    }

    fn failures(&self) -> MutexGuard<'_, Vec<Failure>> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn request_changes(&self, prefix: &str, after: StoreVersion) -> Option<Changes> {
        let peer = self.select_source()?;
        let request = Request::get(changes_path(prefix, after, self.wait));
        let request = request.body(Body::empty()).ok()?;
        let limits = CallLimits {
            timeout: self.wait + RESPONSE_SLACK,
            answer_max_bytes: RESPONSE_MAX_BYTES,
        };
        let response = self
            .client
            .call(peer.control_address, request, limits)
            .await;
        match response {
            Ok(response) if response.status() == StatusCode::OK => decode_changes(response.body()),
            Ok(response) if response.status() == StatusCode::GONE => None,
            Ok(response) => {
                let (name, status) = (&peer.name, response.status());
                log::debug!("store: the changes request to peer {name} returned {status}");
                self.record_failure(peer.name);
                None
            }
            Err(cause) => {
                log::debug!(
                    "store: the changes request to peer {} failed: {cause}",
                    peer.name
                );
                self.record_failure(peer.name);
                None
            }
        }
    }
}

/// Returns how many of a data centre's nodes watch the store for the others.
fn watchers_among(nodes: usize) -> usize {
    nodes.div_ceil(FOLLOWERS_PER_WATCHER_MAX + 1)
}

/// Returns the nodes that watch the store for others, by data centre and rank.
fn watching_nodes(nodes: &[PeerNode]) -> Vec<&PeerNode> {
    let zones = sorted_zones(nodes).into_iter();
    let watching = zones.flat_map(|zone| {
        let mut ranked = rank_nodes(nodes, zone);
        ranked.truncate(watchers_among(ranked.len()));
        ranked
    });
    watching.collect()
}

impl ChangeSource for UpstreamPeer {
    fn changes_after<'a>(
        &'a self,
        prefix: &'a str,
        after: StoreVersion,
    ) -> BoxFuture<'a, Option<Changes>> {
        self.request_changes(prefix, after).boxed()
    }
}
