//! An HTTP client that fails over between the addresses of the key-value service.

use {
    super::StoreError,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE},
    hyper_util::{
        client::legacy::{Client, Error, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{
        net::SocketAddr,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
};

/// The largest response body that is read, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A response whose body is read completely.
#[derive(Debug)]
pub(super) struct FullResponse {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

/// An HTTP client of several addresses that starts with the one that responded last.
#[derive(Debug)]
pub(super) struct FailoverClient {
    addresses: Vec<SocketAddr>,
    preferred_index: AtomicUsize,
    client: Mutex<HttpClient>,
    timeout: Duration,
}

impl FailoverClient {
    pub(super) fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self {
            addresses,
            preferred_index: AtomicUsize::new(0),
            client: Mutex::new(new_client(timeout)),
            timeout,
        }
    }

    /// Sends a call and reads its complete response.
    ///
    /// A read-only call is sent to each address until one responds. A call that changes data is
    /// sent to the next address only if it was certainly not sent to the previous one.
    pub(super) async fn post(
        &self,
        path: &str,
        body: Bytes,
        is_write: bool,
    ) -> Result<FullResponse, StoreError> {
        let response = self.open(path, body, is_write).await?;
        self.within_timeout(read_body(response)).await
    }

    /// Sends a call and returns when the head of its response has arrived.
    pub(super) async fn open(
        &self,
        path: &str,
        body: Bytes,
        is_write: bool,
    ) -> Result<Response<Incoming>, StoreError> {
        let start = self.preferred_index.load(Ordering::Relaxed);
        let mut last = StoreError::Unreachable("no address is configured".to_owned());
        for offset in 0..self.addresses.len() {
            let index = (start + offset) % self.addresses.len();
            let sending = self.send(self.addresses[index], path, body.clone());
            last = match self.within_timeout(sending).await {
                Ok(response) => {
                    self.preferred_index.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(cause) => cause,
            };
            self.preferred_index.store(index + 1, Ordering::Relaxed);
            if is_write && matches!(last, StoreError::Unknown(_)) {
                break;
            }
        }
        Err(last)
    }

    async fn within_timeout<T>(
        &self,
        exchange: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        match timeout(self.timeout, exchange).await {
            Ok(response) => response,
            Err(_) => {
                self.drop_connections();
                Err(StoreError::Unknown("the response timed out".to_owned()))
            }
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, StoreError> {
        let request = Request::post(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|cause| StoreError::Refused(cause.to_string()))?;
        let sending = self.client().request(request);
        sending.await.map_err(send_error)
    }

    fn client(&self) -> HttpClient {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        client.clone()
    }

    /// Drops all idle connections, which may be unresponsive like the one that timed out.
    fn drop_connections(&self) {
        let mut client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        *client = new_client(self.timeout);
    }
}

fn new_client(timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(timeout / 2));
    Client::builder(TokioExecutor::new()).build(connector)
}

fn send_error(cause: Error) -> StoreError {
    if cause.is_connect() {
        StoreError::Unreachable(cause.to_string())
    } else {
        StoreError::Unknown(cause.to_string())
    }
}

async fn read_body(response: Response<Incoming>) -> Result<FullResponse, StoreError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
    match body.collect().await {
        Ok(body) => Ok(FullResponse {
            status,
            body: body.to_bytes(),
        }),
        Err(cause) => Err(StoreError::Unknown(cause.to_string())),
    }
}
