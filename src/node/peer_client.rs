//! Calls to the control ports of peers.

use {
    crate::{
        http::{Body, CallLimits, Client},
        leader::PeerNode,
        security::Tls,
        traffic::NodeName,
    },
    bytes::Bytes,
    hyper::{Request, StatusCode, header::CONNECTION},
    std::{net::SocketAddr, time::Duration},
    tokio::sync::watch,
};

/// The limits of a call to a peer.
const LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_millis(500),
    answer_max_bytes: 4 << 20,
};

/// Where peers can be asked.
#[derive(Debug, Clone)]
pub struct PeerAddresses {
    /// The nodes that the store lists or listed.
    pub peers: watch::Receiver<Vec<PeerNode>>,
    /// Control addresses from the settings.
    pub seeds: Vec<SocketAddr>,
}

impl PeerAddresses {
    /// Returns the control addresses of all peers and seeds, those of `first` before the others.
    pub fn control(&self, first: Option<&NodeName>) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let is_first = |peer: &&PeerNode| Some(&peer.name) == first;
        let preferred = peers.iter().filter(is_first);
        let others = peers.iter().filter(|peer| !is_first(peer));
        let known: Vec<_> = preferred
            .chain(others)
            .map(|peer| peer.control_address)
            .collect();
        let unlisted = self.seeds.iter().filter(|seed| !known.contains(seed));
        known.iter().chain(unlisted).copied().collect()
    }
}

/// Asks the control ports of peers.
#[derive(Debug)]
pub(super) struct PeerClient(Client);

impl PeerClient {
    pub(super) fn new(tls: Option<Tls>) -> Self {
        Self(Client::new(LIMITS.timeout).with_tls(tls))
    }

    /// Returns what a peer answers under a path; `None` without a usable answer.
    pub(super) async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        // A kept connection to each peer would take up the places of others there.
        let request = Request::get(path).header(CONNECTION, "close");
        let request = request.body(Body::empty()).ok()?;
        let answer = self.0.call(address, request, LIMITS).await.ok()?;
        (answer.status() == StatusCode::OK).then(|| answer.into_body())
    }
}
