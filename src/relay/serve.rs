//! The server on the callers' port.

use {
    super::Relay,
    crate::{
        http::{
            Acceptor, HeadCount, HeadMemory, OpenConnections, OpenGuard, StallGuard,
            set_up_liveness,
        },
        request_memory::UNCOUNTED_BYTES,
    },
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::{GracefulShutdown, Watcher},
    },
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::{self, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// The smallest head limit that the HTTP library allows, in bytes.
const HEAD_LIMIT_MIN_BYTES: usize = 8192;

/// The bytes allowed beyond the configured limit, which may not count every byte of a head.
const HEAD_SLACK_BYTES: usize = 1024;

/// The largest head of a caller's request before any configuration is known, in bytes.
const DEFAULT_HEAD_MAX_BYTES: usize = 16 * 1024;

/// The largest head that any configuration allows, in bytes; with the slack, callers' connections
/// accept no longer ones.
const HEAD_LIMIT_MAX_BYTES: usize = 1 << 20;

/// The bytes that passing a request on adds to its head: one header.
const PASSED_ON_HEADER_BYTES: usize = 64;

/// The largest head of a request that a peer passes on, in bytes: any that a caller's port accepts.
pub const PASSED_ON_HEAD_MAX_BYTES: usize =
    HEAD_LIMIT_MAX_BYTES + HEAD_SLACK_BYTES + PASSED_ON_HEADER_BYTES;

/// The idle timeout of callers' connections before any configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How much longer connections stay open than the idle timeout, so that a caller that uses one at
/// the last moment finds it open.
const IDLE_TIMEOUT_SLACK: Duration = Duration::from_secs(1);

/// The longest wait for a caller to read bytes of its response.
const WRITE_STALL_MAX: Duration = Duration::from_secs(10);

/// The part of the grace time that is left when open requests are ended.
pub(super) const GRACE_RESERVE: Duration = Duration::from_secs(1);

/// The time to send the last responses after open requests were ended.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(300);

impl Relay {
    /// Serves callers until `stop`, then waits for open requests to finish.
    ///
    /// Returns whether all of them finished within the grace time.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) -> bool {
        let open = GracefulShutdown::new();
        let connections = OpenConnections::new(self.callers_connections_max());
        let mut acceptor = Acceptor::new(listener, stop);
        while let Some(stream) = acceptor.next().await {
            // Without a place, the connection closes before anything of it is read.
            if let Some(connection) = connections.admit() {
                let serving = self.clone();
                tokio::spawn(serving.serve_connection(stream, open.watcher(), connection));
            }
        }
        drop(acceptor);
        self.begin_drain();
        self.finish_open_requests(open).await
    }

    async fn finish_open_requests(&self, open: GracefulShutdown) -> bool {
        let drain_started_at = *self.drain_started_at.get_or_init(Instant::now);
        let grace = self.grace().saturating_sub(GRACE_RESERVE);
        let mut shutdown = Box::pin(open.shutdown());
        if time::timeout_at(drain_started_at + grace, &mut shutdown)
            .await
            .is_ok()
        {
            return true;
        }
        log::info!("relay: the grace time is over; ending the requests that are still open");
        self.end_requests.cancel();
        let _ = time::timeout(LAST_RESPONSES_TIMEOUT, shutdown).await;
        false
    }

    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        open: Watcher,
        connection: OpenGuard,
    ) {
        if set_up_liveness(&stream).is_err() {
            return;
        }
        let builder = self.builder();
        let has_long_heads = self.head_buffer_bytes() > 2 * UNCOUNTED_BYTES;
        let head = has_long_heads.then(|| HeadCount::new(&self.memory));
        let count = head.clone();
        let close = connection.close.clone();
        let service = service_fn(move |request| {
            let in_work = connection.begin_request();
            if let Some(count) = &count {
                count.begin_request();
            }
            let (count, response) = (count.clone(), self.clone().handle(request));
            async move {
                let response = response.await;
                if let Some(count) = count {
                    count.end_request();
                }
                Ok::<_, Infallible>(response.map(|body| body.guarded(in_work)))
            }
        });
        let stream = HeadMemory::new(stream, head);
        let stream = TokioIo::new(StallGuard::new(stream, WRITE_STALL_MAX));
        let connection = builder.serve_connection(stream, service);
        match close.run_until_cancelled(open.watch(connection)).await {
            Some(Ok(())) => {}
            Some(Err(cause)) => log::debug!("relay: a caller's connection ended: {cause}"),
            None => log::debug!("relay: a caller's connection closed for another"),
        }
    }

    /// Returns the buffer of a new caller's connection.
    fn head_buffer_bytes(&self) -> usize {
        let current = self.traffic.current();
        let limit = current.map(|map| map.config().limits.head_max_bytes);
        head_buffer_bytes(limit.unwrap_or(DEFAULT_HEAD_MAX_BYTES))
    }

    fn builder(&self) -> http1::Builder {
        let limits = self.traffic.current().map(|map| map.config().limits);
        // The HTTP library's head timeout includes the idle time before the head.
        let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
            Duration::from_millis(limits.idle_timeout_ms.max(limits.head_timeout_ms))
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(idle + IDLE_TIMEOUT_SLACK)
            .max_buf_size(self.head_buffer_bytes());
        builder
    }
}

/// Returns the buffer of a caller's connection for the configured limit of heads.
fn head_buffer_bytes(head_max_bytes: usize) -> usize {
    let limit = head_max_bytes.min(HEAD_LIMIT_MAX_BYTES);
    (limit + HEAD_SLACK_BYTES).max(HEAD_LIMIT_MIN_BYTES)
}
