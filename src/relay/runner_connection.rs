//! A connection to a runner that one request uses.

use {
    super::{
        FirstWrite, WithheldCause,
        connection_pool::{ConnectionPool, OpenConnection},
    },
    crate::{discovery::RunnerKey, http::Body},
    hyper::{Request, Response, body::Incoming, header},
    std::sync::Arc,
};

/// The reason why a request got no response head.
#[derive(Debug)]
pub(super) enum SendError {
    /// No byte of the request was sent.
    Unsent,
    /// No byte of the request was sent, as it may not be sent any more.
    Withheld(WithheldCause),
    /// The connection failed after a part was sent; the request may have run.
    Interrupted(hyper::Error),
}

/// A connection in use; dropping the value closes the connection, which cancels the request.
#[derive(Debug)]
pub(super) struct RunnerConnection {
    pub(super) runner: RunnerKey,
    pub(super) open: Option<OpenConnection>,
    pub(super) pool: Arc<ConnectionPool>,
    /// Whether an earlier request used the connection.
    pub(super) is_reused: bool,
}

impl RunnerConnection {
    /// Sends a request, unless `first` fails when its first byte is due, and waits for the head of
    /// the response.
    ///
    /// # Errors
    ///
    /// Returns whether the request was not sent at all or may have run.
    pub(super) async fn send(
        &mut self,
        request: Request<Body>,
        first: FirstWrite,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(open) = &mut self.open else {
            return Err(SendError::Unsent);
        };
        open.writes.begin(first);
        open.head.begin();
        let sent = open.sender.try_send_request(request).await;
        open.head.end();
        sent.map_err(|mut failure| {
            if let Some(cause) = open.writes.withheld() {
                return SendError::Withheld(cause);
            }
            match failure.take_message() {
                Some(_) => SendError::Unsent,
                None if open.writes.withhold() => SendError::Unsent,
                None => SendError::Interrupted(failure.into_error()),
            }
        })
    }

    /// Lets the request not be written any more; returns whether no byte of it was.
    pub(super) fn withhold(&self) -> bool {
        let open = self.open.as_ref();
        open.is_none_or(|open| open.writes.withhold())
    }

    /// Returns the connection to the pool after the response was read completely.
    pub(super) fn recycle(mut self, keep_alive: KeepAlive) {
        if let (KeepAlive::Idle(limit_s), Some(open)) = (keep_alive, self.open.take()) {
            self.pool.return_idle(&self.runner, open, limit_s);
        }
    }
}

/// Whether a connection may be reused after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeepAlive {
    /// The runner closes the connection.
    Close,
    /// The connection may be reused; the runner's idle timeout in seconds, if stated.
    Idle(Option<u64>),
}

impl KeepAlive {
    /// Reads the connection headers of a response.
    pub(super) fn read(response: &Response<Incoming>, keep_alive_s: Option<u64>) -> Self {
        let closes = response
            .headers()
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|text| text.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case("close"));
        match closes {
            true => Self::Close,
            false => Self::Idle(keep_alive_s),
        }
    }
}
