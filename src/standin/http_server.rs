//! The HTTP server that all stand-ins share.

use {
    super::{ConnectionSwitch, switched_io::SwitchedIo},
    bytes::Bytes,
    futures::future::BoxFuture,
    http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Body as HttpBody, Incoming},
        header::CONTENT_TYPE,
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto::Builder,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
        time::{sleep, timeout},
    },
};

/// The largest request body that a stand-in reads, in bytes.
const BODY_MAX_BYTES: usize = 16 << 20;
/// The time between two looks at the switch that closes the listener.
const SWITCH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Breaks the connection off without an answer, or in the midst of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the connection is broken off")]
pub struct BrokenOff;

/// The body of a stand-in's answer.
pub type Body = UnsyncBoxBody<Bytes, BrokenOff>;

/// A stand-in that answers HTTP requests.
pub trait HttpService: Send + Sync + 'static {
    /// Returns whether the listener is open; else connections are refused and open ones closed.
    fn is_up(&self) -> bool {
        true
    }

    /// Answers one request; an error closes the connection.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, BrokenOff>>;
}

/// A running server; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct ServerGuard {
    address: SocketAddr,
    switch: ConnectionSwitch,
    task: JoinHandle<()>,
}

impl ServerGuard {
    /// Returns where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what makes the open connections go silent.
    pub fn connection_switch(&self) -> ConnectionSwitch {
        self.switch.clone()
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves a stand-in at `address`; port 0 picks a free one.
///
/// # Errors
///
/// Fails when the address cannot be listened at.
pub async fn serve<S: HttpService>(
    address: SocketAddr,
    service: Arc<S>,
) -> io::Result<ServerGuard> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let switch = ConnectionSwitch::default();
    let task = tokio::spawn(accept_loop(listener, service, switch.clone()));
    Ok(ServerGuard {
        address,
        switch,
        task,
    })
}

async fn accept_loop<S: HttpService>(
    mut listener: TcpListener,
    service: Arc<S>,
    switch: ConnectionSwitch,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if !service.is_up() {
            drop(listener);
            connections.shutdown().await;
            listener = listen_again(address, &*service).await;
        }
        match timeout(SWITCH_CHECK_INTERVAL, listener.accept()).await {
            Ok(Ok((stream, _))) => {
                let _ = stream.set_nodelay(true);
                let io = SwitchedIo::new(TokioIo::new(stream), switch.clone());
                connections.spawn(serve_connection(io, service.clone()));
            }
            Ok(Err(_)) => sleep(SWITCH_CHECK_INTERVAL).await,
            Err(_) => {}
        }
    }
}

/// Waits until the service is up and listens again.
async fn listen_again<S: HttpService>(address: SocketAddr, service: &S) -> TcpListener {
    loop {
        sleep(SWITCH_CHECK_INTERVAL).await;
        if service.is_up()
            && let Ok(listener) = TcpListener::bind(address).await
        {
            return listener;
        }
    }
}

async fn serve_connection<S: HttpService>(io: SwitchedIo<TokioIo<TcpStream>>, service: Arc<S>) {
    let answer = service_fn(move |request| service.clone().answer(request));
    let builder = Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(io, answer);
    let _ = connection.await;
}

/// Reads a whole request body.
///
/// # Errors
///
/// Fails when it is too large or breaks off.
pub async fn read_body<B>(body: B) -> Result<Bytes, BrokenOff>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let whole = Limited::new(body, BODY_MAX_BYTES).collect().await;
    whole.map(|body| body.to_bytes()).map_err(|_| BrokenOff)
}

/// Reads a request body as JSON; the error is the answer to give.
///
/// # Errors
///
/// Fails with the answer 400 when the body is not the expected JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let fail = |reason: String| text_response(StatusCode::BAD_REQUEST, reason);
    let body = read_body(request.into_body()).await;
    let body = body.map_err(|cause| fail(cause.to_string()))?;
    serde_json::from_slice(&body).map_err(|cause| fail(cause.to_string()))
}

/// Makes a body of bytes that are all there.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Makes an answer of plain text.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

/// Makes an answer of JSON.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = text_response(status, text);
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
