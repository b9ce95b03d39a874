//! What a node answers to its peers.

use {
    super::control_port::{LIMITS, status},
    crate::{
        discovery::ListedRunners,
        dispatch::RunnerRegistry,
        http::{Body, serve_http},
        store::StoreVersion,
        traffic::TrafficBoard,
    },
    bytes::Bytes,
    hyper::{Request, Response, StatusCode, Uri, body::Incoming},
    std::{future::ready, sync::Arc},
    tokio::{net::TcpListener, sync::watch},
    tokio_util::sync::CancellationToken,
};

/// The path of the published form of the configuration in force.
pub const CONFIG_PATH: &str = "/configuration";
/// The path of the list of runners.
pub const RUNNERS_PATH: &str = "/runners";

/// Answers peers that do not reach the store.
#[derive(Debug, Clone)]
pub struct PeerPages {
    /// The configuration in force.
    pub traffic: Arc<TrafficBoard>,
    /// The runners.
    pub board: Arc<RunnerRegistry>,
    /// The version of the store up to which they are known.
    pub runners_version: watch::Receiver<StoreVersion>,
}

impl PeerPages {
    /// Serves these pages alone until `stop`.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let handle = move |request: Request<Incoming>| ready(self.answer(request.uri()));
        serve_http(listener, LIMITS, stop, handle).await;
    }

    /// Answers a request, with 404 to any other path.
    pub(super) fn answer(&self, uri: &Uri) -> Response<Body> {
        match uri.path() {
            CONFIG_PATH => match self.traffic.current() {
                Some(map) => Response::new(Body::from(map.source())),
                None => status(StatusCode::NOT_FOUND),
            },
            RUNNERS_PATH => self.runners(after(uri)),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    /// Answers with the list of runners if it is newer than a version of the store.
    fn runners(&self, after: StoreVersion) -> Response<Body> {
        // Read before the list, which may only be newer than it says.
        let version = *self.runners_version.borrow();
        if version <= after {
            return status(StatusCode::NO_CONTENT);
        }
        let views = self.board.runners().into_iter();
        let list = ListedRunners {
            store_version: version.0,
            runners: views.map(|view| view.entry).collect(),
        };
        match serde_json::to_vec(&list) {
            Ok(text) => Response::new(Body::from(Bytes::from(text))),
            Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

/// Reads the version after which a list is asked for.
fn after(uri: &Uri) -> StoreVersion {
    let text = uri.query().and_then(|query| query.strip_prefix("after="));
    let version = text.and_then(|text| text.parse().ok());
    version.map_or(StoreVersion::default(), StoreVersion)
}
