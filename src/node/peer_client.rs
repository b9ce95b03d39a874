//! The HTTP client for the control ports of peers.

use {
    crate::{
        http::{Body, CallLimits, Client, GZIP, decompress},
        leader::PeerNode,
        security::Tls,
        traffic::NodeName,
    },
    bytes::Bytes,
    hyper::{
        Request, StatusCode,
        header::{ACCEPT_ENCODING, CONNECTION, CONTENT_ENCODING},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::sync::watch,
};

/// The limits of a request to a peer.
const PEER_CALL_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_millis(500),
    answer_max_bytes: 4 << 20,
};

/// The known control addresses of peers.
#[derive(Debug, Clone)]
pub struct PeerAddresses {
    /// The nodes as last listed in the store.
    pub peers: watch::Receiver<Vec<PeerNode>>,
    /// The control addresses of seed nodes from the settings.
    pub seeds: Vec<SocketAddr>,
}

impl PeerAddresses {
    /// Returns the control addresses of all peers, then those of seeds that are not listed.
    ///
    /// The address of the node `first` precedes those of the other peers.
    pub fn control_addresses(&self, first: Option<&NodeName>) -> Vec<SocketAddr> {
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

/// Sends GET requests to the control ports of peers.
#[derive(Debug)]
pub(super) struct PeerClient(Client);

impl PeerClient {
    pub(super) fn new(tls: Option<Tls>) -> Self {
        Self(Client::new(PEER_CALL_LIMITS.timeout).with_tls(tls))
    }

    /// Returns the body of a peer's response with status 200; `None` for any other outcome.
    pub(super) async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        // Nodes that keep connections to all peers would use up the peers' connection limits.
        let request = Request::get(path)
            .header(CONNECTION, "close")
            .header(ACCEPT_ENCODING, GZIP);
        let request = request.body(Body::empty()).ok()?;
        let response = self.0.call(address, request, PEER_CALL_LIMITS).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        match response.headers().get(CONTENT_ENCODING) {
            Some(encoding) if encoding == GZIP => {
                decompress(response.body(), PEER_CALL_LIMITS.answer_max_bytes)
            }
            Some(_) => None,
            None => Some(response.into_body()),
        }
    }
}
