//! HTTP client for the control ports of a platform's nodes.

use {
    super::CliError,
    crate::{
        http::{Body, CallLimits, Client},
        node::{
            CONFIG_PATH, DRAIN_PATH, EVENTS_PATH, HISTORY_PATH, NodeStatus, STATUS_PATH,
            operator_authorization,
        },
        security::{SharedKey, Tls},
        telemetry::LoggedEvent,
        traffic::ConfigActivation,
    },
    bytes::Bytes,
    hyper::{Method, Request, header::AUTHORIZATION},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout and response size limit of one call.
const CALL_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(3),
    answer_max_bytes: 16 << 20,
};

/// Calls the control ports of a platform's nodes on behalf of an operator.
#[derive(Debug)]
pub struct NodeClient {
    address: SocketAddr,
    client: Client,
    key: Option<SharedKey>,
}

impl NodeClient {
    /// Creates a client for the node with this control address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(CALL_LIMITS.timeout),
            key: None,
        }
    }

    /// Sets the TLS certificate and the operator key to authenticate with.
    pub fn with_credentials(self, tls: Option<Tls>, key: Option<SharedKey>) -> Self {
        Self {
            client: self.client.with_tls(tls),
            key,
            ..self
        }
    }

    /// Returns the status of the node.
    ///
    /// # Errors
    ///
    /// Fails if the node does not return a valid response in time.
    pub async fn status(&self) -> Result<NodeStatus, CliError> {
        self.status_of(self.address).await
    }

    /// Returns the status of the node with another control address.
    ///
    /// # Errors
    ///
    /// Fails if the node does not return a valid response in time.
    pub async fn status_of(&self, address: SocketAddr) -> Result<NodeStatus, CliError> {
        self.read(address, STATUS_PATH).await
    }

    /// Returns the published form of the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails if the node does not return a valid response in time, or has no configuration in force.
    pub async fn configuration(&self) -> Result<Bytes, CliError> {
        self.call(self.address, Method::GET, CONFIG_PATH).await
    }

    /// Returns the configurations that the node put in force, newest last.
    ///
    /// # Errors
    ///
    /// Fails if the node does not return a valid response in time.
    pub async fn history(&self) -> Result<Vec<ConfigActivation>, CliError> {
        self.read(self.address, HISTORY_PATH).await
    }

    /// Returns the node's most recent events, newest last.
    ///
    /// # Errors
    ///
    /// Fails if the node does not return a valid response in time.
    pub async fn events(&self) -> Result<Vec<LoggedEvent>, CliError> {
        self.read(self.address, EVENTS_PATH).await
    }

    /// Starts the planned stop of the node.
    ///
    /// # Errors
    ///
    /// Fails if the node does not return a valid response in time.
    pub async fn drain(&self) -> Result<(), CliError> {
        let response = self.call(self.address, Method::POST, DRAIN_PATH).await;
        response.map(drop)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CliError> {
        let text = self.call(address, Method::GET, path).await?;
        Ok(serde_json::from_slice(&text)?)
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
    ) -> Result<Bytes, CliError> {
        let node_error = |cause: String| CliError::Node { address, cause };
        let mut request = Request::builder().method(method).uri(path);
        // The key is sent only to the endpoint that requires it.
        if let Some(key) = self.key.as_ref().filter(|_| path == DRAIN_PATH) {
            let header = operator_authorization(key.as_bytes());
            let header =
                header.ok_or_else(|| node_error("the key is no header text".to_owned()))?;
            request = request.header(AUTHORIZATION, header);
        }
        let request = request.body(Body::empty());
        let request = request.map_err(|cause| node_error(cause.to_string()))?;
        let response = self.client.call(address, request, CALL_LIMITS).await;
        let response = response.map_err(|cause| node_error(cause.to_string()))?;
        match response.status() {
            status if status.is_success() => Ok(response.into_body()),
            status => {
                let text = String::from_utf8_lossy(response.body());
                let cause = format!("{path} is answered with {status}: {text}");
                Err(node_error(cause.trim_end_matches([':', ' ']).to_owned()))
            }
        }
    }
}
