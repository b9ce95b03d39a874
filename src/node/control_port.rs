//! What a node answers to its peers and to operators.

use {
    crate::{
        dispatch::RunnerBoard,
        http::{Body, ListenerLimits, serve_http},
        traffic::TrafficBoard,
    },
    bytes::Bytes,
    hyper::{Request, Response, StatusCode, body::Incoming},
    std::{future::ready, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// The path of the published form of the configuration in force.
pub const CONFIG_PATH: &str = "/configuration";

/// The path of the list of runners.
pub const RUNNERS_PATH: &str = "/runners";

/// The limits of the control listener.
const LIMITS: ListenerLimits = ListenerLimits {
    head_max_bytes: 16 * 1024,
    head_timeout: Duration::from_secs(5),
    write_timeout: Duration::from_secs(5),
    connections_max: 64,
    stop_max: Duration::from_secs(1),
};

/// Answers peers and operators.
#[derive(Clone)]
pub struct ControlPort {
    /// The configuration in force.
    pub traffic: Arc<TrafficBoard>,
    /// The runners.
    pub board: Arc<RunnerBoard>,
    /// Renders the metrics.
    pub render_metrics: Arc<dyn Fn() -> String + Send + Sync>,
}

impl ControlPort {
    /// Serves until `stop`.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let handle = move |request: Request<Incoming>| ready(self.answer(request.uri().path()));
        serve_http(listener, LIMITS, stop, handle).await;
    }

    fn answer(&self, path: &str) -> Response<Body> {
        match path {
            CONFIG_PATH => match self.traffic.current() {
                Some(map) => Response::new(Body::from(map.source())),
                None => status(StatusCode::NOT_FOUND),
            },
            RUNNERS_PATH => self.runners(),
            "/healthz" => status(StatusCode::OK),
            "/metrics" => Response::new(Body::from((self.render_metrics)())),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn runners(&self) -> Response<Body> {
        let views = self.board.runners();
        let entries: Vec<_> = views.iter().map(|view| &view.entry).collect();
        match serde_json::to_vec(&entries) {
            Ok(text) => Response::new(Body::from(Bytes::from(text))),
            Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
