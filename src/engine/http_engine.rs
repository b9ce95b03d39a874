//! The order and status interface of a model engine over HTTP.

use {
    super::{Engine, EngineError, EngineStatus, Order, OrderReply},
    bytes::Bytes,
    futures::future::{BoxFuture, FutureExt},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, header::CONTENT_TYPE},
    hyper_util::{
        client::legacy::{Client, Error, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::timeout,
};

/// The largest response body that is read, in bytes.
const RESPONSE_MAX_BYTES: usize = 4 << 20;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// HTTP client of a model engine's order interface.
#[derive(Debug)]
pub struct HttpEngine {
    address: SocketAddr,
    timeout: Duration,
    client: Mutex<HttpClient>,
}

impl HttpEngine {
    /// Creates a client of the engine at `address` that waits at most `timeout` for a response.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            client: Mutex::new(new_client(timeout)),
        }
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<T, EngineError> {
        let response = timeout(self.timeout, self.read_response(request)).await;
        response.unwrap_or_else(|_| {
            self.drop_connections();
            Err(EngineError::Unknown("no response in time".to_owned()))
        })
    }

    async fn read_response<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<T, EngineError> {
        let sending = self.client().request(request);
        let response = sending.await.map_err(send_error)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES).collect();
        let body = body.await.map_err(unknown)?.to_bytes();
        if status.is_client_error() {
            let reason = String::from_utf8_lossy(&body);
            return Err(EngineError::Refused(format!("{status}: {reason}")));
        }
        if !status.is_success() {
            return Err(EngineError::Unknown(status.to_string()));
        }
        serde_json::from_slice(&body).map_err(unknown)
    }

    fn client(&self) -> HttpClient {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        client.clone()
    }

    /// Drops the pooled idle connections, since they may be dead as well after a timeout.
    fn drop_connections(&self) {
        let mut client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        *client = new_client(self.timeout);
    }
}

impl Engine for HttpEngine {
    fn send(&self, order: Order) -> BoxFuture<'_, Result<OrderReply, EngineError>> {
        async move {
            let body = serde_json::to_vec(&order).map_err(never_left)?;
            let request = Request::post(format!("http://{}/orders", self.address))
                .header(CONTENT_TYPE, "application/json")
                .body(Full::from(body))
                .map_err(never_left)?;
            self.exchange(request).await
        }
        .boxed()
    }

    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>> {
        async move {
            let request = Request::get(format!("http://{}/status", self.address))
                .body(Full::default())
                .map_err(never_left)?;
            self.exchange(request).await
        }
        .boxed()
    }
}

fn new_client(timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(timeout / 2));
    Client::builder(TokioExecutor::new()).build(connector)
}

fn send_error(cause: Error) -> EngineError {
    if cause.is_connect() {
        EngineError::Unreachable(cause.to_string())
    } else {
        EngineError::Unknown(cause.to_string())
    }
}

fn unknown(cause: impl ToString) -> EngineError {
    EngineError::Unknown(cause.to_string())
}

fn never_left(cause: impl ToString) -> EngineError {
    EngineError::Unreachable(cause.to_string())
}
