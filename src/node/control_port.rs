//! The HTTP server of the control port, for peers and operators.

use {
    super::{
        AgeEndpoint, CHANGES_PATH, CONFIG_AGE_PATH, ChangesEndpoint, ControlAccess, NodeView,
        PeerEndpoints, STREAMS_PATH, StreamsEndpoint,
    },
    crate::{
        http::{Body, ListenerLimits, serve_http, serve_http_within},
        relay::{PASSED_ON, PASSED_ON_HEAD_MAX_BYTES},
        security::{AllowedRoles, Role},
        telemetry::RecentEvents,
    },
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
    },
    serde::Serialize,
    std::{future::ready, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// The path of the node's status.
pub const STATUS_PATH: &str = "/status";
/// The path of the configurations that the node activated.
pub const HISTORY_PATH: &str = "/history";
/// The path of the latest log events.
pub const EVENTS_PATH: &str = "/events";
/// The path to which a POST request begins a planned stop.
pub const DRAIN_PATH: &str = "/drain";
/// The path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// The connection limits of the control port.
///
/// A head that callers may send may also be passed on, by kept connections too when a
/// configuration allows longer heads.
pub const CONTROL_PORT_LIMITS: ListenerLimits = ListenerLimits {
    head_max_bytes: PASSED_ON_HEAD_MAX_BYTES,
    head_timeout: Duration::from_secs(5),
    write_timeout: Duration::from_secs(5),
    connections_max: 256,
    stop_max: Duration::from_secs(1),
};

/// The connection limits of the metrics port.
const METRICS_PORT_LIMITS: ListenerLimits = ListenerLimits {
    head_max_bytes: 16 * 1024,
    ..CONTROL_PORT_LIMITS
};

/// The HTTP server of the control port.
#[derive(Debug, Clone)]
pub struct ControlPort {
    /// The source of the status and the metrics.
    pub view: NodeView,
    /// The endpoints for peers that do not reach the store.
    pub peer_endpoints: PeerEndpoints,
    /// The endpoint for peers that watch the store through this node.
    pub changes_endpoint: ChangesEndpoint,
    /// The endpoint that tells peers how old the configuration is.
    pub age_endpoint: AgeEndpoint,
    /// The rules for connections and for requests that change the node's state.
    pub access: ControlAccess,
}

impl ControlPort {
    /// Serves connections until `stop` is cancelled.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let tls = self.access.tls.as_ref();
        let tls = tls.map(|tls| tls.server(AllowedRoles::All));
        let memory = self.view.relay.memory().clone();
        let port = Arc::new(self);
        let handle = move |request: Request<Incoming>| {
            let port = port.clone();
            async move { port.respond(request).await }
        };
        serve_http_within(listener, CONTROL_PORT_LIMITS, memory, tls, stop, handle).await;
    }

    /// Serves a caller's request that a peer passed on; with TLS only nodes may do so.
    async fn serve_passed_on(&self, request: Request<Incoming>) -> Response<Body> {
        let role = request.extensions().get();
        if self.access.tls.is_some() && role != Some(&Role::Node) {
            return empty_response(StatusCode::FORBIDDEN);
        }
        self.view.relay.clone().serve_passed_on(request).await
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        if (request.method(), request.uri().path()) == (&Method::POST, STREAMS_PATH) {
            let endpoint = StreamsEndpoint {
                streams: self.view.registry.streams.clone(),
                memory: self.view.relay.memory().clone(),
                only_nodes: self.access.tls.is_some(),
            };
            return endpoint.respond(request).await;
        }
        if request.headers().contains_key(PASSED_ON) {
            return self.serve_passed_on(request).await;
        }
        let view = &self.view;
        let uri = request.uri();
        match (request.method(), uri.path()) {
            (&Method::POST, DRAIN_PATH) => match self.access.authorize(&request) {
                Ok(()) => {
                    log::info!(node:% = view.node; "node: an operator asked to drain");
                    view.stop.cancel();
                    empty_response(StatusCode::ACCEPTED)
                }
                Err(refusal) => *refusal,
            },
            (_, DRAIN_PATH | STREAMS_PATH) => empty_response(StatusCode::METHOD_NOT_ALLOWED),
            (_, STATUS_PATH) => json_response(&view.status()),
            (_, HISTORY_PATH) => json_response(&view.active_config.history()),
            (_, EVENTS_PATH) => json_response(&RecentEvents::global().newest(usize::MAX)),
            (_, "/healthz") => empty_response(StatusCode::OK),
            (_, METRICS_PATH) => Response::new(Body::from(view.metrics())),
            (_, CONFIG_AGE_PATH) => self.age_endpoint.respond(uri).await,
            (_, CHANGES_PATH) => self.changes_endpoint.respond(uri).await,
            _ => self.peer_endpoints.respond(uri, request.headers()),
        }
    }
}

/// Serves only the metrics until `stop` is cancelled.
pub async fn serve_metrics(view: NodeView, listener: TcpListener, stop: CancellationToken) {
    let handle = move |request: Request<Incoming>| {
        ready(match request.uri().path() {
            METRICS_PATH => Response::new(Body::from(view.metrics())),
            _ => empty_response(StatusCode::NOT_FOUND),
        })
    };
    serve_http(listener, METRICS_PORT_LIMITS, stop, handle).await;
}

fn json_response(value: &impl Serialize) -> Response<Body> {
    let Ok(text) = serde_json::to_string(value) else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = Response::new(Body::from(text));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
