//! Accepts connections until a stop, and those that wait then.

use {
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        time::{self, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// The wait after a failed `accept`, such as for lack of file descriptors.
const RETRY: Duration = Duration::from_millis(50);

/// How long no connection has to come after the stop until the listener is closed.
const QUIET: Duration = Duration::from_millis(10);

/// The longest that connections are accepted after the stop.
const STOP_MAX: Duration = Duration::from_millis(100);

/// A listener that accepts connections until a stop.
///
/// Closing it resets those that the system has set up and nobody accepted yet, with the requests
/// that were sent on them.
#[derive(Debug)]
pub(crate) struct Acceptor {
    listener: TcpListener,
    stop: CancellationToken,
    closes_at: Option<Instant>,
}

impl Acceptor {
    /// Makes an acceptor that goes on until `stop`.
    pub(crate) fn new(listener: TcpListener, stop: CancellationToken) -> Self {
        Self {
            listener,
            stop,
            closes_at: None,
        }
    }

    /// Accepts the next connection; `None` once the stop came and none waits any more.
    pub(crate) async fn next(&mut self) -> Option<TcpStream> {
        if self.closes_at.is_none() {
            let accepted = self.stop.run_until_cancelled(self.accept()).await;
            if accepted.is_some() {
                return accepted;
            }
        }
        let now = Instant::now();
        let closes_at = *self.closes_at.get_or_insert(now + STOP_MAX);
        if now >= closes_at {
            return None;
        }
        let until = closes_at.min(now + QUIET);
        time::timeout_at(until, self.accept()).await.ok()
    }

    async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(cause) => {
                    log::warn!("http: cannot accept a connection: {cause}");
                    time::sleep(RETRY).await;
                }
            }
        }
    }
}
