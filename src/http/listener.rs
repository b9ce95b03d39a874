//! Serves connections within limits, until it is stopped gracefully.

use {
    super::{Body, liveness, preface::wait_for_preface, stall_guard::StallGuard},
    crate::security::{Role, TlsServer},
    hyper::{Request, Response, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{
            conn::auto,
            graceful::{GracefulShutdown, Watcher},
        },
    },
    std::{convert::Infallible, future::Future, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time,
    },
    tokio_util::sync::CancellationToken,
};

/// The wait after a failed `accept`, such as for lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// How often a quiet HTTP/2 connection is pinged.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// The longest wait for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// The streams that one HTTP/2 connection may have open.
const STREAMS_MAX: u32 = 1024;

/// The limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// The largest request head, in bytes.
    pub head_max_bytes: usize,
    /// The longest wait for a request head.
    pub head_timeout: Duration,
    /// The longest wait for the other end to take bytes of a response.
    pub write_timeout: Duration,
    /// The connections that may be open at once.
    pub connections_max: usize,
    /// The longest that a stop waits for open requests.
    pub stop_max: Duration,
}

/// Serves connections until `stop`, then lets open requests finish.
///
/// Returns whether all of them finished in time.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    stop: CancellationToken,
    handle: H,
) -> bool
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_http_with(listener, limits, None, stop, handle).await
}

/// Does the same, by TLS if given; the requests then carry the [`Role`] of the caller.
pub async fn serve_http_with<H, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    tls: Option<TlsServer>,
    stop: CancellationToken,
    handle: H,
) -> bool
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let open = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(limits.connections_max));
    let server = Server {
        builder: builder(limits),
        limits,
        tls,
        stop: stop.clone(),
    };
    while let Some((stream, place)) = accept(&listener, &places, &stop).await {
        let served = server.clone().serve(stream, open.watcher(), handle.clone());
        tokio::spawn(async move {
            served.await;
            drop(place);
        });
    }
    drop(listener);
    time::timeout(limits.stop_max, open.shutdown())
        .await
        .is_ok()
}

/// Accepts the next connection once there is a place for it; `None` after the stop.
async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
    stop: &CancellationToken,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let accepting = async {
        let place = places.clone().acquire_owned().await.ok()?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return Some((stream, place)),
                Err(cause) => {
                    log::warn!("http: cannot accept a connection: {cause}");
                    time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    };
    stop.run_until_cancelled(accepting).await?
}

fn builder(limits: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_max_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(STREAMS_MAX)
        .max_header_list_size(limits.head_max_bytes as u32);
    builder
}

/// Serves single connections.
#[derive(Clone)]
struct Server {
    builder: auto::Builder<TokioExecutor>,
    limits: ListenerLimits,
    tls: Option<TlsServer>,
    stop: CancellationToken,
}

impl Server {
    async fn serve<H, F>(self, stream: TcpStream, open: Watcher, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        if liveness::set_up(&stream).is_err() {
            return;
        }
        // Boxed, so that connections without TLS hold no space for it.
        if self.tls.is_some() {
            return Box::pin(self.serve_tls(stream, open, handle)).await;
        }
        if self.has_started(&stream).await {
            self.answer(stream, None, open, handle).await;
        }
    }

    async fn serve_tls<H, F>(self, stream: TcpStream, open: Watcher, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let (Some(tls), Ok(peer)) = (self.tls.clone(), stream.peer_addr()) else {
            return;
        };
        let shaken = time::timeout(self.limits.head_timeout, tls.accept(stream, peer));
        match self.stop.run_until_cancelled(shaken).await {
            Some(Ok(Ok((stream, role)))) => self.answer(stream, Some(role), open, handle).await,
            Some(Err(_)) => log::warn!(peer:% = peer; "http: no handshake with {peer} in time"),
            Some(Ok(Err(_))) | None => {}
        }
    }

    async fn answer<S, H, F>(self, stream: S, role: Option<Role>, open: Watcher, handle: H)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let service = service_fn(move |mut request: Request<Incoming>| {
            if let Some(role) = role {
                request.extensions_mut().insert(role);
            }
            let response = handle(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let stream = StallGuard::new(stream, self.limits.write_timeout);
        let connection = self
            .builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        if let Err(cause) = open.watch(connection).await {
            log::debug!("http: a connection ended: {cause}");
        }
    }

    /// Waits for the first bytes; returns whether they came in time and before the stop.
    async fn has_started(&self, stream: &TcpStream) -> bool {
        let started = time::timeout(self.limits.head_timeout, wait_for_preface(stream));
        let started = self.stop.run_until_cancelled(started).await;
        matches!(started, Some(Ok(Ok(()))))
    }
}
