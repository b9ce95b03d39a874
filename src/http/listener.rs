//! Serves connections within limits, until it is stopped gracefully.

use {
    super::Body,
    hyper::{Request, Response, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    std::{convert::Infallible, future::Future, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time,
    },
    tokio_util::sync::CancellationToken,
};

/// The wait after a failed `accept`, such as for want of file descriptors.
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
    let open = GracefulShutdown::new();
    let builder = builder(limits);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(stream, &builder, &open, handle.clone()),
            Err(cause) => {
                log::warn!("http: cannot accept a connection: {cause}");
                time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
    drop(listener);
    time::timeout(limits.stop_max, open.shutdown())
        .await
        .is_ok()
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

fn serve_connection<H, F>(
    stream: TcpStream,
    builder: &auto::Builder<TokioExecutor>,
    open: &GracefulShutdown,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = open.watch(connection);
    tokio::spawn(async move {
        if let Err(cause) = watched.await {
            log::debug!("http: a connection ended: {cause}");
        }
    });
}
