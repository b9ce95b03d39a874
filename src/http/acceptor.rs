//! Accepts connections until a planned stop, including those pending at that time.

use {
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        time::{self, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// The delay after a failed `accept`, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time without a new connection after which a stopping listener is closed.
const STOP_IDLE_MAX: Duration = Duration::from_millis(10);

/// The longest time for which connections are accepted after the stop.
const STOP_ACCEPT_MAX: Duration = Duration::from_millis(100);

/// A listener that accepts connections until a planned stop.
///
/// Pending connections are accepted before the listener is closed: closing it makes the kernel
/// reset them, with the requests that were already sent on them.
#[derive(Debug)]
pub(crate) struct Acceptor {
    listener: TcpListener,
    stop: CancellationToken,
    closes_at: Option<Instant>,
}

impl Acceptor {
    /// Creates an acceptor that runs until `stop`.
    pub(crate) fn new(listener: TcpListener, stop: CancellationToken) -> Self {
        Self {
            listener,
            stop,
            closes_at: None,
        }
    }

    /// Accepts the next connection; `None` after the stop, when none is pending.
    pub(crate) async fn next(&mut self) -> Option<TcpStream> {
        if self.closes_at.is_none() {
            let accepted = self.stop.run_until_cancelled(self.accept()).await;
            if accepted.is_some() {
                return accepted;
            }
        }
        let now = Instant::now();
        let closes_at = *self.closes_at.get_or_insert(now + STOP_ACCEPT_MAX);
        if now >= closes_at {
            return None;
        }
        let until = closes_at.min(now + STOP_IDLE_MAX);
        time::timeout_at(until, self.accept()).await.ok()
    }

    async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(cause) => {
                    log::warn!("http: cannot accept a connection: {cause}");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}
