//! An HTTP server with limits and a graceful stop.

use {
    super::{
        Acceptor, Body, HeadCount, HeadMemory, OpenConnections, OpenGuard, Problem, liveness,
        preface::wait_for_preface, share_of_head, stall_guard::StallGuard,
    },
    crate::{
        request_memory::{RequestMemory, UNCOUNTED_BYTES},
        security::{Role, TlsServer},
    },
    hyper::{Request, Response, StatusCode, Version, body::Incoming, service::service_fn},
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
        time,
    },
    tokio_util::{
        sync::CancellationToken,
        task::{TaskTracker, task_tracker::TaskTrackerToken},
    },
};

/// The longest time for which a stop waits for the first requests of accepted connections.
const FIRST_REQUEST_WAIT_MAX: Duration = Duration::from_millis(100);

/// The interval between pings of an idle HTTP/2 connection.
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(10);

/// The longest wait for the acknowledgement of a ping.
const HTTP2_PING_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest number of concurrent streams of one HTTP/2 connection.
const HTTP2_STREAMS_MAX: u32 = 1024;

/// The bytes of bodies that may be under way on one HTTP/2 stream.
const HTTP2_STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// The bytes of bodies that may be under way on one HTTP/2 connection.
const HTTP2_CONNECTION_WINDOW_BYTES: u32 = 64 * 1024;

/// The bytes of a response that wait on one HTTP/2 stream until the caller takes them.
const HTTP2_SEND_BUFFER_BYTES: usize = 64 * 1024;

/// The `Retry-After` of a refusal for lack of memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// The largest request head, in bytes.
    pub head_max_bytes: usize,
    /// The longest wait for a request head.
    pub head_timeout: Duration,
    /// The longest time for which the caller may accept no bytes of a response.
    pub write_timeout: Duration,
    /// The largest number of open connections; at the limit, the one without a request in work that
    /// was used longest ago closes for a new one.
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
    serve_http_within(
        listener,
        limits,
        RequestMemory::default(),
        tls,
        stop,
        handle,
    )
    .await
}

/// Serves connections like [`serve_http_with`]; the heads of requests use this memory.
pub async fn serve_http_within<H, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    memory: RequestMemory,
    tls: Option<TlsServer>,
    stop: CancellationToken,
    handle: H,
) -> bool
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let connections = OpenConnections::new(limits.connections_max);
    let starting = TaskTracker::new();
    let server = Server {
        builder: connection_builder(limits),
        limits,
        memory,
        tls,
        cancel_starting: CancellationToken::new(),
    };
    let mut acceptor = Acceptor::new(listener, stop.clone());
    while let Some(stream) = acceptor.next().await {
        // Without a place, the connection closes before anything of it is read.
        let Some(open) = connections.admit() else {
            continue;
        };
        let open = Arc::new(open);
        let close = open.close.clone();
        let starting_guard = starting.token();
        let server = server.clone();
        let served = server.serve(
            stream,
            graceful.watcher(),
            handle.clone(),
            starting_guard,
            open,
        );
        tokio::spawn(async move {
            if close.run_until_cancelled(served).await.is_none() {
                log::debug!("http: a connection closed for another");
            }
        });
    }
    drop(acceptor);
    starting.close();
    // `shutdown` closes a connection at once if it has not received a request yet.
    let _ = time::timeout(FIRST_REQUEST_WAIT_MAX, starting.wait()).await;
    server.cancel_starting.cancel();
    time::timeout(limits.stop_max, graceful.shutdown())
        .await
        .is_ok()
}

fn connection_builder(limits: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_max_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(HTTP2_PING_INTERVAL)
        .keep_alive_timeout(HTTP2_PING_TIMEOUT)
        .max_concurrent_streams(HTTP2_STREAMS_MAX)
        .initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(HTTP2_SEND_BUFFER_BYTES)
        .max_header_list_size(limits.head_max_bytes as u32);
    builder
}

/// Counts a connection as starting until its first request arrives.
type StartingGuard = TaskTrackerToken;

/// The settings with which one connection is served.
#[derive(Clone)]
struct Server {
    builder: auto::Builder<TokioExecutor>,
    limits: ListenerLimits,
    memory: RequestMemory,
    tls: Option<TlsServer>,
    /// Closes connections that are in the TLS handshake or have not sent the first bytes yet.
    cancel_starting: CancellationToken,
}

impl Server {
    async fn serve<H, F>(
        self,
        stream: TcpStream,
        graceful: Watcher,
        handle: H,
        starting: StartingGuard,
        open: Arc<OpenGuard>,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        if liveness::set_up(&stream).is_err() {
            return;
        }
        // Boxed, so that the futures of connections without TLS stay small.
        if self.tls.is_some() {
            return Box::pin(self.serve_tls(stream, graceful, handle, starting, open)).await;
        }
        if self.has_sent_bytes(&stream).await {
            self.serve_requests(stream, None, graceful, handle, starting, open)
                .await;
        }
    }

    async fn serve_tls<H, F>(
        self,
        stream: TcpStream,
        graceful: Watcher,
        handle: H,
        starting: StartingGuard,
        open: Arc<OpenGuard>,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let (Some(tls), Ok(peer)) = (self.tls.clone(), stream.peer_addr()) else {
            return;
        };
        let handshake = time::timeout(self.limits.head_timeout, tls.accept(stream, peer));
        match self.cancel_starting.run_until_cancelled(handshake).await {
            Some(Ok(Ok((stream, role)))) => {
                self.serve_requests(stream, Some(role), graceful, handle, starting, open)
                    .await
            }
            Some(Err(_)) => {
                log::warn!(peer:% = peer; "http: the TLS handshake with {peer} timed out")
            }
            Some(Ok(Err(_))) | None => {}
        }
    }

    async fn serve_requests<S, H, F>(
        self,
        stream: S,
        role: Option<Role>,
        graceful: Watcher,
        handle: H,
        starting: StartingGuard,
        open: Arc<OpenGuard>,
    ) where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let starting = Mutex::new(Some(starting));
        let memory = self.memory.clone();
        let has_long_heads = self.limits.head_max_bytes > 2 * UNCOUNTED_BYTES;
        let head = has_long_heads.then(|| HeadCount::new(&memory));
        let count = head.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            drop(
                starting
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .take(),
            );
            if let Some(role) = role {
                request.extensions_mut().insert(role);
            }
            let in_work = open.begin_request();
            let is_http2 = request.version() == Version::HTTP_2;
            let share = share_of_head(&memory, &request);
            let response = share.map(|share| (handle(request), share));
            if let Some(count) = &count {
                count.begin_request();
            }
            let count = count.clone().filter(|_| !is_http2);
            async move {
                let response = match response {
                    Ok((response, _share)) => response.await,
                    Err(()) => no_memory_response(),
                };
                if let Some(count) = count {
                    count.end_request();
                }
                Ok::<_, Infallible>(response.map(|body| body.guarded(in_work)))
            }
        });
        let stream = HeadMemory::new(stream, head);
        let stream = StallGuard::new(stream, self.limits.write_timeout);
        let connection = self
            .builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        if let Err(cause) = graceful.watch(connection).await {
            log::debug!("http: a connection failed: {cause}");
        }
    }

    /// Waits for the first bytes of a connection; returns whether they arrived in time.
    async fn has_sent_bytes(&self, stream: &TcpStream) -> bool {
        let started = time::timeout(self.limits.head_timeout, wait_for_preface(stream));
        let started = self.cancel_starting.run_until_cancelled(started).await;
        matches!(started, Some(Ok(Ok(()))))
    }
}

fn no_memory_response() -> Response<Body> {
    let detail = "there is no memory for the head of the request";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-memory", detail)
        .retry_after(NO_MEMORY_RETRY_AFTER)
        .into_response()
}
