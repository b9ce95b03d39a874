//! The exchange of records of streams between nodes, and their source in the store.

use {
    super::control_port::empty_response,
    crate::{
        http::{Body, CallLimits, Client, Liveness},
        leader::{Membership, PeerNode},
        request_memory::RequestMemory,
        security::{Role, Tls},
        store::{SharedStore, StoreError},
        streams::{StreamBatch, StreamSender, StreamSource, StreamVersions, read_streams},
    },
    bytes::Bytes,
    futures::future::{BoxFuture, FutureExt},
    hyper::{Request, Response, StatusCode, body::Incoming},
    std::{fmt, sync::Arc, time::Duration},
};

/// The path to which records of streams are sent.
pub const STREAMS_PATH: &str = "/streams";

/// The largest accepted request body.
const STREAMS_MAX_BYTES: usize = 1 << 20;

/// The longest wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// The limits of a request with records.
const SEND_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_millis(400),
    answer_max_bytes: 1024,
};

/// Takes the records of streams that peers pass on to the store through this node.
#[derive(Debug)]
pub struct StreamsEndpoint {
    /// The streams that this node knows.
    pub streams: Arc<StreamVersions>,
    /// The memory for the bodies of requests.
    pub memory: RequestMemory,
    /// Whether the sender's certificate must be a node's.
    pub only_nodes: bool,
}

impl StreamsEndpoint {
    /// Records the streams in the body: status 204, or 400 for an invalid body and 403 for a sender
    /// that is not a node.
    pub async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        if self.only_nodes && request.extensions().get() != Some(&Role::Node) {
            return empty_response(StatusCode::FORBIDDEN);
        }
        let body = request.into_body();
        let body = self
            .memory
            .read_body(body, STREAMS_MAX_BYTES, BODY_TIMEOUT)
            .await;
        let batches = body.ok().and_then(|body| StreamBatch::decode(&body));
        let Some(batches) = batches else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        self.streams.record_from_peer(&batches);
        empty_response(StatusCode::NO_CONTENT)
    }
}

/// Sends records of streams to the control ports of peers.
#[derive(Debug)]
pub struct StreamClient(Client);

impl StreamClient {
    /// Creates a client, which uses TLS if it is configured.
    pub fn new(tls: Option<Tls>) -> Self {
        let client = Client::with_liveness(SEND_LIMITS.timeout, Liveness::PROMPT);
        Self(client.with_tls(tls))
    }

    async fn post(&self, peer: &PeerNode, batches: Bytes) -> bool {
        let Ok(request) = Request::post(STREAMS_PATH).body(Body::from(batches)) else {
            return false;
        };
        let response = self
            .0
            .call(peer.control_address, request, SEND_LIMITS)
            .await;
        response.is_ok_and(|response| response.status() == StatusCode::NO_CONTENT)
    }
}

impl StreamSender for StreamClient {
    fn send<'a>(&'a self, peer: &'a PeerNode, batches: Bytes) -> BoxFuture<'a, bool> {
        self.post(peer, batches).boxed()
    }
}

/// Reads the records of all nodes from the store.
pub struct StoredStreams {
    /// The store.
    pub store: SharedStore,
    /// The prefix of the records.
    pub prefix: String,
    /// Tells whether this node reaches the store.
    pub membership: Arc<Membership>,
}

impl fmt::Debug for StoredStreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StoredStreams")
    }
}

impl StreamSource for StoredStreams {
    fn is_current(&self) -> bool {
        self.membership.holds_lease()
    }

    fn read(&self) -> BoxFuture<'_, Result<Vec<StreamBatch>, StoreError>> {
        read_streams(&self.store, &self.prefix).boxed()
    }
}
