//! The control port's endpoint that tells peers how old the configuration is.

use {
    super::control_port::empty_response,
    crate::{
        freshness::{ConfigAge, PeerProof},
        http::Body,
    },
    bytes::Bytes,
    hyper::{Response, StatusCode, Uri},
    std::{sync::Arc, time::Duration},
};

/// The path of the age of the configuration.
pub const CONFIG_AGE_PATH: &str = "/configuration-age";

/// The longest time that a request waits for a proof, whatever the peer asks for.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Tells peers when the configuration was last shown to be the newest one.
#[derive(Debug, Clone)]
pub struct AgeEndpoint {
    /// The age of this node's configuration.
    pub age: Arc<ConfigAge>,
}

impl AgeEndpoint {
    /// Responds after the next proof or the requested wait; with status 503 if there is no proof.
    pub async fn respond(&self, uri: &Uri) -> Response<Body> {
        let arrived_at = self.age.now();
        let query = uri.query().and_then(|query| query.strip_prefix("wait_ms="));
        let wait_ms = query.and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait = Duration::from_millis(wait_ms).min(WAIT_MAX);
        let told = self.age.next_for_peer(arrived_at, wait).await;
        match told.and_then(|told| serde_json::to_vec(&told).ok()) {
            Some(body) => Response::new(Body::from(Bytes::from(body))),
            None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

/// Returns the path and query of a request for the age.
pub(super) fn config_age_path(wait: Duration) -> String {
    format!("{CONFIG_AGE_PATH}?wait_ms={}", wait.as_millis())
}

/// Decodes the body of a response; `None` if it is invalid.
pub(super) fn decode_age(bytes: &[u8]) -> Option<PeerProof> {
    serde_json::from_slice(bytes).ok()
}
