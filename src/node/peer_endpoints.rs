//! The control port's endpoints for peers that do not reach the store.

use {
    super::{
        ResponseBudget,
        control_port::{CONTROL_PORT_LIMITS, empty_response},
    },
    crate::{
        discovery::RunnerSnapshot,
        dispatch::RunnerRegistry,
        http::{Body, GZIP, serve_http},
        store::StoreVersion,
        traffic::ActiveConfig,
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Request, Response, StatusCode, Uri,
        body::Incoming,
        header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderValue},
    },
    std::{future::ready, sync::Arc},
    tokio::{net::TcpListener, sync::watch},
    tokio_util::sync::CancellationToken,
};

/// The path of the active configuration as published.
pub const CONFIG_PATH: &str = "/configuration";
/// The path of the list of runners.
pub const RUNNERS_PATH: &str = "/runners";

/// Serves the configuration and the list of runners to peers that do not reach the store.
#[derive(Debug, Clone)]
pub struct PeerEndpoints {
    /// The active configuration.
    pub active_config: Arc<ActiveConfig>,
    /// The runners.
    pub registry: Arc<RunnerRegistry>,
    /// The store version of the list of runners.
    pub runners_version: watch::Receiver<StoreVersion>,
    /// Limits the bytes of responses; peers ask another node meanwhile.
    pub budget: ResponseBudget,
}

impl PeerEndpoints {
    /// Serves only these endpoints until `stop` is cancelled.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let handle =
            move |request: Request<Incoming>| ready(self.respond(request.uri(), request.headers()));
        serve_http(listener, CONTROL_PORT_LIMITS, stop, handle).await;
    }

    /// Returns the response to a request, with status 404 for an unknown path and 503 while earlier
    /// responses use this node's link.
    pub(super) fn respond(&self, uri: &Uri, headers: &HeaderMap) -> Response<Body> {
        match uri.path() {
            CONFIG_PATH => self.config(after(uri), accepts_gzip(headers)),
            RUNNERS_PATH => self.runners(StoreVersion(after(uri))),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Responds with the configuration if its version is above `after`, else with status 204.
    fn config(&self, after: i64, gzip: bool) -> Response<Body> {
        let Some(table) = self.active_config.current() else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let version = i64::try_from(table.config().version.0).unwrap_or(i64::MAX);
        if version <= after {
            return empty_response(StatusCode::NO_CONTENT);
        }
        match table.compressed_bytes().filter(|_| gzip) {
            Some(compressed) => {
                let mut response = self.limited_response(compressed);
                let encoding = HeaderValue::from_static(GZIP);
                response.headers_mut().insert(CONTENT_ENCODING, encoding);
                response
            }
            None => self.limited_response(table.published_bytes()),
        }
    }

    /// Responds with the list of runners if it is newer than `after`, else with status 204.
    fn runners(&self, after: StoreVersion) -> Response<Body> {
        // The version is read before the list, so the list is at least as new as it claims.
        let version = *self.runners_version.borrow();
        if version <= after {
            return empty_response(StatusCode::NO_CONTENT);
        }
        let views = self.registry.runners().into_iter();
        let list = RunnerSnapshot {
            store_version: version.0,
            runners: views.map(|view| view.entry).collect(),
        };
        match serde_json::to_vec(&list) {
            Ok(text) => self.limited_response(Bytes::from(text)),
            Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    fn limited_response(&self, body: Bytes) -> Response<Body> {
        match self.budget.try_spend(body.len()) {
            true => Response::new(Body::from(body)),
            false => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

fn accepts_gzip(headers: &HeaderMap) -> bool {
    let accepted = headers.get(ACCEPT_ENCODING);
    accepted.is_some_and(|accepted| accepted == GZIP)
}

/// Returns the version that the peer has, from the query; 0 if it is missing or invalid.
fn after(uri: &Uri) -> i64 {
    let text = uri.query().and_then(|query| query.strip_prefix("after="));
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}
