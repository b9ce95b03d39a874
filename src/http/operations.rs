//! The operations listener: health, readiness and metrics.

use {
    super::{Body, ListenerLimits, serve_http},
    hyper::{Request, Response, StatusCode, body::Incoming},
    std::{
        future::ready,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// The limits of the operations listener.
const OPERATIONS_LIMITS: ListenerLimits = ListenerLimits {
    head_max_bytes: 16 * 1024,
    head_timeout: Duration::from_secs(5),
    write_timeout: Duration::from_secs(5),
    connections_max: 64,
    stop_max: Duration::from_secs(1),
};

/// Whether a process is ready for new requests.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<ReadinessFlags>);

#[derive(Debug, Default)]
struct ReadinessFlags {
    is_ready: AtomicBool,
    is_cut_off: AtomicBool,
}

impl Readiness {
    /// Sets whether the process is ready.
    pub fn set(&self, ready: bool) {
        self.0.is_ready.store(ready, Ordering::Release);
    }

    /// Sets whether the process can't serve requests, as it reaches no backend server.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.0.is_cut_off.store(cut_off, Ordering::Release);
    }

    /// Returns whether the process is ready.
    pub fn get(&self) -> bool {
        self.0.is_ready.load(Ordering::Acquire) && !self.0.is_cut_off.load(Ordering::Acquire)
    }
}

/// Serves `/healthz`, `/readyz` and `/metrics` until `stop`.
pub async fn serve_operations(
    listener: TcpListener,
    readiness: Readiness,
    render_metrics: impl Fn() -> String + Clone + Send + Sync + 'static,
    stop: CancellationToken,
) {
    let handle = move |request: Request<Incoming>| {
        let response = match request.uri().path() {
            "/healthz" => text_response(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" if readiness.get() => text_response(StatusCode::OK, "ready\n".to_owned()),
            "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
            "/metrics" => text_response(StatusCode::OK, render_metrics()),
            _ => text_response(StatusCode::NOT_FOUND, "not found\n".to_owned()),
        };
        ready(response)
    };
    serve_http(listener, OPERATIONS_LIMITS, stop, handle).await;
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}
