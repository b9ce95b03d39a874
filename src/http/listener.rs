//! An HTTP server with limits and a graceful stop.

use {
    super::{Acceptor, Body, liveness, preface::wait_for_preface, stall_guard::StallGuard},
    crate::security::{Role, TlsServer},
    hyper::{Request, Response, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{
            conn::auto,
            graceful::{GracefulShutdown, Watcher},
        },
    },
    std::{
        convert::Infallible,
        future::Future,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time,
    },
    tokio_util::{
        sync::CancellationToken,
        task::{TaskTracker, task_tracker::TaskTrackerToken},
    },
};

/// The longest time for which a stop waits for the first requests of accepted connections.
const FIRST_REQUEST_MAX: Duration = Duration::from_millis(100);

/// The interval between pings of an idle HTTP/2 connection.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// The longest wait for the acknowledgement of a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest number of concurrent streams of one HTTP/2 connection.
const STREAMS_MAX: u32 = 1024;

/// The limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// The largest request head, in bytes.
    pub head_max_bytes: usize,
    /// The longest wait for a request head.
    pub head_timeout: Duration,
    /// The longest time for which the caller may accept no bytes of a response.
    pub write_timeout: Duration,
    /// The largest number of open connections.
    pub connections_max: usize,
    /// The longest time for which a stop waits for open requests.
    pub stop_max: Duration,
}

/// Serves connections until `stop`, then waits for open requests to finish.
///
/// Returns whether all requests finished in time.
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

/// Serves connections like [`serve_http`], by TLS if `tls` is given.
///
/// With TLS, the extensions of each request hold the [`Role`] of the caller.
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
    let starting = TaskTracker::new();
    let server = Server {
        builder: builder(limits),
        limits,
        tls,
        abandon: CancellationToken::new(),
    };
    let mut acceptor = Acceptor::new(listener, stop.clone());
    while let Some((stream, place)) = accept(&mut acceptor, &places, &stop).await {
        let first_request = starting.token();
        let server = server.clone();
        let served = server.serve(stream, open.watcher(), handle.clone(), first_request);
        tokio::spawn(async move {
            served.await;
            drop(place);
        });
    }
    drop(acceptor);
    starting.close();
    // `shutdown` closes a connection at once if it has not received a request yet.
    let _ = time::timeout(FIRST_REQUEST_MAX, starting.wait()).await;
    server.abandon.cancel();
    time::timeout(limits.stop_max, open.shutdown())
        .await
        .is_ok()
}

/// Waits until fewer connections than the limit are open and accepts the next one.
///
/// Returns `None` after the stop.
async fn accept(
    acceptor: &mut Acceptor,
    places: &Arc<Semaphore>,
    stop: &CancellationToken,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let place = stop.run_until_cancelled(places.clone().acquire_owned());
    let place = match place.await {
        Some(place) => place.ok()?,
        None => places.clone().try_acquire_owned().ok()?,
    };
    let stream = acceptor.next().await?;
    Some((stream, place))
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

/// Counts a connection as starting until its first request arrives.
type FirstRequest = TaskTrackerToken;

/// The settings with which one connection is served.
#[derive(Clone)]
struct Server {
    builder: auto::Builder<TokioExecutor>,
    limits: ListenerLimits,
    tls: Option<TlsServer>,
    /// Closes connections that are in the TLS handshake or have not sent the first bytes yet.
    abandon: CancellationToken,
}

impl Server {
    async fn serve<H, F>(self, stream: TcpStream, open: Watcher, handle: H, first: FirstRequest)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        if liveness::set_up(&stream).is_err() {
            return;
        }
        // Boxed, so that the futures of connections without TLS stay small.
        if self.tls.is_some() {
            return Box::pin(self.serve_tls(stream, open, handle, first)).await;
        }
        if self.has_started(&stream).await {
            self.answer(stream, None, open, handle, first).await;
        }
    }

    async fn serve_tls<H, F>(self, stream: TcpStream, open: Watcher, handle: H, first: FirstRequest)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let (Some(tls), Ok(peer)) = (self.tls.clone(), stream.peer_addr()) else {
            return;
        };
        let shaken = time::timeout(self.limits.head_timeout, tls.accept(stream, peer));
        match self.abandon.run_until_cancelled(shaken).await {
            Some(Ok(Ok((stream, role)))) => {
                self.answer(stream, Some(role), open, handle, first).await
            }
            Some(Err(_)) => {
                log::warn!(peer:% = peer; "http: the TLS handshake with {peer} timed out")
            }
            Some(Ok(Err(_))) | None => {}
        }
    }

    async fn answer<S, H, F>(
        self,
        stream: S,
        role: Option<Role>,
        open: Watcher,
        handle: H,
        first: FirstRequest,
    ) where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let first = Mutex::new(Some(first));
        let service = service_fn(move |mut request: Request<Incoming>| {
            drop(first.lock().unwrap_or_else(PoisonError::into_inner).take());
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
            log::debug!("http: a connection failed: {cause}");
        }
    }

    /// Waits for the first bytes of a connection; returns whether they arrived in time.
    async fn has_started(&self, stream: &TcpStream) -> bool {
        let started = time::timeout(self.limits.head_timeout, wait_for_preface(stream));
        let started = self.abandon.run_until_cancelled(started).await;
        matches!(started, Some(Ok(Ok(()))))
    }
}
