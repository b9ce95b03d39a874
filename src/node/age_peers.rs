//! Asks peers how old the configuration is.

use {
    super::{
        PeerAddresses, UpstreamPeer,
        age_endpoint::{config_age_path, decode_age},
    },
    crate::{
        freshness::{PeerProof, ProofPeers},
        http::{Body, CallLimits, Client, Liveness},
        security::Tls,
    },
    futures::future::{BoxFuture, FutureExt},
    hyper::{Request, StatusCode},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// The time for a response to arrive after the requested wait.
const RESPONSE_SLACK: Duration = Duration::from_millis(300);

/// The largest accepted response body.
const RESPONSE_MAX_BYTES: usize = 1 << 10;

/// The peers that tell a node how old the configuration is.
///
/// A node relies on the peer through which it watches the store, or on one of those that watch it.
#[derive(Debug)]
pub(super) struct AgePeers {
    upstream: Arc<UpstreamPeer>,
    addresses: PeerAddresses,
    client: Client,
    asked_count: AtomicUsize,
}

impl AgePeers {
    pub(super) fn new(
        upstream: Arc<UpstreamPeer>,
        addresses: PeerAddresses,
        tls: Option<Tls>,
    ) -> Self {
        let client = Client::with_liveness(RESPONSE_SLACK, Liveness::PROMPT);
        Self {
            upstream,
            addresses,
            client: client.with_tls(tls),
            asked_count: AtomicUsize::new(rand::random::<u8>().into()),
        }
    }

    async fn request(&self, peer: SocketAddr, wait: Duration) -> Option<PeerProof> {
        let request = Request::get(config_age_path(wait));
        let request = request.body(Body::empty()).ok()?;
        let limits = CallLimits {
            timeout: wait + RESPONSE_SLACK,
            answer_max_bytes: RESPONSE_MAX_BYTES,
        };
        let response = self.client.call(peer, request, limits).await;
        let response = response
            .inspect_err(|cause| {
                log::debug!("freshness: the peer at {peer} tells no age: {cause}");
                self.upstream.record_prover_failure(peer);
            })
            .ok()?;
        match response.status() {
            StatusCode::OK => decode_age(response.body()),
            _ => None,
        }
    }
}

impl ProofPeers for AgePeers {
    fn followed(&self) -> Option<SocketAddr> {
        let peer = self.upstream.select_prover()?;
        Some(peer.control_address)
    }

    fn next_other(&self) -> Option<SocketAddr> {
        let addresses = self.addresses.control_addresses(None);
        let asked_count = self.asked_count.fetch_add(1, Ordering::Relaxed);
        let position = asked_count.checked_rem(addresses.len())?;
        Some(addresses[position])
    }

    fn ask(&self, peer: SocketAddr, wait: Duration) -> BoxFuture<'_, Option<PeerProof>> {
        self.request(peer, wait).boxed()
    }
}
