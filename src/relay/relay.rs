//! The relay of a node.

use {
    super::{Progress, RelayCounts, RetryBudget, Run, RunnerPool, Unanswered},
    crate::{
        dispatch::Dispatcher,
        http::Body,
        leader::PeerNode,
        node::{Bounds, Formats},
        traffic::{ActiveConfig, ServiceId},
    },
    hyper::{Request, Response, body::Incoming, header},
    std::{
        fmt,
        sync::{Arc, Mutex, OnceLock, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
    tokio_util::sync::CancellationToken,
};

/// Takes callers' requests and forwards them to runners.
pub struct Relay {
    pub(super) traffic: Arc<ActiveConfig>,
    pub(super) dispatcher: Dispatcher,
    pub(super) formats: Arc<dyn Formats>,
    peers: watch::Receiver<Vec<PeerNode>>,
    pub(super) pool: Arc<RunnerPool>,
    pub(super) budget: RetryBudget,
    pub(super) counts: RelayCounts,
    /// The time for requests in flight after a planned stop began.
    grace: Mutex<Duration>,
    /// When the planned stop began.
    pub(super) retired_at: OnceLock<Instant>,
    /// Whether the time for open requests is over.
    pub(super) closing: CancellationToken,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Relay")
    }
}

impl Relay {
    /// Makes a relay.
    pub fn new(
        traffic: Arc<ActiveConfig>,
        dispatcher: Dispatcher,
        formats: Arc<dyn Formats>,
        bounds: Bounds,
        peers: watch::Receiver<Vec<PeerNode>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            traffic,
            dispatcher,
            formats,
            budget: RetryBudget::new(&bounds),
            counts: RelayCounts::default(),
            grace: Mutex::new(grace(&bounds)),
            peers,
            pool: Arc::default(),
            retired_at: OnceLock::new(),
            closing: CancellationToken::new(),
        })
    }

    /// Begins a planned stop: from now on answers ask callers to close their connections.
    pub fn retire(&self) {
        self.retired_at.get_or_init(Instant::now);
    }

    /// Makes few further tries at first, since an earlier start of this node may have made many.
    pub fn spare_further_tries(&self) {
        self.budget.spare_slack();
    }

    /// Applies other bounds; requests in flight go on.
    pub fn set_bounds(&self, bounds: &Bounds) {
        self.budget.set_bounds(bounds);
        *self.grace.lock().unwrap_or_else(PoisonError::into_inner) = grace(bounds);
    }

    /// Returns what became of callers' requests.
    pub fn counts(&self) -> &RelayCounts {
        &self.counts
    }

    /// Returns the time for requests in flight after a planned stop began.
    pub(super) fn grace(&self) -> Duration {
        *self.grace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a caller's request.
    pub(super) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let arrived_at = Instant::now();
        let unanswered = Unanswered::new(&self.counts);
        let mut response = match self.read_call(request, arrived_at).await {
            Ok(call) => {
                // Lets the connection notice that its caller has already left.
                tokio::task::yield_now().await;
                let run = Run {
                    relay: self.clone(),
                    call,
                    progress: Progress::default(),
                };
                run.answer(arrived_at).await
            }
            Err(refusal) => self.refuse(&refusal),
        };
        unanswered.answered();
        if self.retired_at.get().is_some() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Returns this node's share of something that all nodes use together.
    pub(super) fn share_of(&self, total: usize) -> usize {
        (total / self.nodes()).max(1)
    }

    /// Takes a further try from the budget of a service; returns whether there is one.
    pub(super) fn may_repeat(&self, service: &ServiceId) -> bool {
        let may_repeat = self.budget.try_repeat(service, self.nodes());
        match may_repeat {
            true => self.counts.retries.count(),
            false => self.counts.retries_denied.count(),
        }
        may_repeat
    }

    fn nodes(&self) -> usize {
        self.peers.borrow().len() + 1
    }
}

fn grace(bounds: &Bounds) -> Duration {
    Duration::from_secs_f64(bounds.grace_s.max(0.0))
}
