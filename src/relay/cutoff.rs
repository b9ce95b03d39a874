//! The time at which a response must end, whoever sends its body.

use {
    futures::{FutureExt, future::BoxFuture},
    std::{fmt, future::Future},
    tokio::time::{self, Instant},
    tokio_util::sync::CancellationToken,
};

/// The guard of a body that is forwarded: it ends with the deadline of the request, and when a
/// planned stop ends the open requests.
pub(super) struct Cutoff(BoxFuture<'static, &'static str>);

impl Cutoff {
    /// Creates the guard of a response that is due at `deadline`.
    pub(super) fn new(end_requests: &CancellationToken, deadline: Instant) -> Self {
        let end_requests = end_requests.clone();
        let reason = async move {
            tokio::select! {
                () = time::sleep_until(deadline) => "the deadline passed",
                () = end_requests.cancelled() => "the node is stopping",
            }
        };
        Self(reason.boxed())
    }

    /// Waits for the next part of the body.
    ///
    /// # Errors
    ///
    /// Returns the reason if the response must end, also if the next part has arrived: a sender
    /// that always has more must not go on for longer.
    pub(super) async fn next<T>(&mut self, part: impl Future<Output = T>) -> Result<T, String> {
        tokio::select! {
            biased;
            reason = &mut self.0 => Err(reason.to_owned()),
            part = part => Ok(part),
        }
    }
}

impl fmt::Debug for Cutoff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Cutoff")
    }
}
