//! One connection to a runner, in use by one request.

use {
    super::runner_pool::{OpenConnection, RunnerPool},
    crate::{discovery::RunnerKey, http::Body},
    hyper::{Request, Response, body::Incoming, header},
    std::sync::Arc,
};

/// Why a request has no answer.
#[derive(Debug)]
pub(super) enum SendFault {
    /// Not a byte of it left.
    Unsent,
    /// It may have run.
    Broken(hyper::Error),
}

/// A connection in use; dropping it closes it, which cancels its request.
#[derive(Debug)]
pub(super) struct RunnerConnection {
    pub(super) runner: RunnerKey,
    pub(super) open: Option<OpenConnection>,
    pub(super) pool: Arc<RunnerPool>,
    /// Whether an earlier request used it.
    pub(super) reused: bool,
}

impl RunnerConnection {
    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, SendFault> {
        let Some(open) = &mut self.open else {
            return Err(SendFault::Unsent);
        };
        let sent = open.sender.try_send_request(request).await;
        sent.map_err(|mut failure| match failure.take_message() {
            Some(_) => SendFault::Unsent,
            None => SendFault::Broken(failure.into_error()),
        })
    }

    /// Keeps the connection for a later request, once its answer was read whole.
    pub(super) fn recycle(mut self, keep: Keep) {
        if let (Keep::Idle(limit_s), Some(open)) = (keep, self.open.take()) {
            self.pool.put(&self.runner, open, limit_s);
        }
    }
}

/// Whether a connection may be kept after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Keep {
    /// It closes.
    Close,
    /// It may idle, for so many seconds where the runner says so.
    Idle(Option<u64>),
}

impl Keep {
    /// Reads what the head of an answer says.
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
