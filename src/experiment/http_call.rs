//! HTTP calls to the control and health endpoints of the processes.

use {
    crate::load::LoadClient,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, header::CONTENT_TYPE},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends a request with a JSON body; returns the response body if the status is a success.
pub(super) async fn call(
    client: &LoadClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: String,
) -> Option<Bytes> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .ok()?;
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let is_success = response.status().is_success();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        is_success.then_some(body)
    };
    timeout(CALL_TIMEOUT, exchange).await.ok()?
}

/// Sends a GET request; returns the response body if the status is a success.
pub(super) async fn get(client: &LoadClient, address: SocketAddr, path: &str) -> Option<Bytes> {
    call(client, Method::GET, address, path, String::new()).await
}
