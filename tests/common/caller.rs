//! A caller's HTTP client.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming},
    hyper_util::{
        client::legacy::{Client, Error, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller with pooled connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request and returns once the head of its answer is here.
    pub async fn open(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        self.client.request(request).await
    }

    /// Sends a request and reads its whole answer; `None` when the connection failed.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Answer> {
        let response = self.open(method, address, path, headers, body).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Reads a path.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Answer> {
        self.call(Method::GET, address, path, &[], "").await
    }

    /// Sends JSON.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &Value) -> Option<Answer> {
        let headers = [("content-type", "application/json")];
        self.call(Method::POST, address, path, &headers, body.to_string())
            .await
    }

    /// Waits until a path answers with status 200.
    ///
    /// # Panics
    ///
    /// Panics when it takes longer than `longest`.
    pub async fn wait_for(&self, address: SocketAddr, path: &str, longest: Duration) {
        let start = Instant::now();
        loop {
            let answer = self.get(address, path).await;
            if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            assert!(start.elapsed() < longest, "{address}{path} is not ready");
            sleep(POLL_INTERVAL).await;
        }
    }
}
