//! The queue of requests that wait for a runner.

use {
    super::{
        Assignment, DispatchRefusal, DispatchRequest, PassOn, PromptChain, RunnerRequirements,
        Variant,
    },
    crate::{
        discovery::RunnerKey,
        quarantine::RequestFingerprint,
        relay::GenerationRequest,
        traffic::{EngineSpec, ModelId, SoftwareVersion},
    },
    tokio::{sync::oneshot, time::Instant},
};

/// The most requests that wait for one service.
const QUEUED_REQUESTS_MAX: usize = 512;

/// A request with the resources that it needs of a runner.
#[derive(Debug)]
pub(super) struct RequestProfile {
    pub(super) variant: Option<Variant>,
    /// The only software version that may serve the request, if there is one.
    pub(super) software: Option<SoftwareVersion>,
    pub(super) needs: RunnerRequirements,
    pub(super) chain: PromptChain,
    pub(super) fingerprint: RequestFingerprint,
    /// Whether the request is the one that may be tried of a content on probation.
    pub(super) is_trial: bool,
    pub(super) tried_runners: Vec<RunnerKey>,
    pub(super) priority: u8,
    pub(super) target_at: Instant,
    pub(super) assign_by: Instant,
    pub(super) caller_deadline: Instant,
    /// Whether another node may serve the request if this one reaches no runner.
    pub(super) pass_on: PassOn,
}

impl RequestProfile {
    /// Derives the resources that a request needs.
    ///
    /// # Errors
    ///
    /// Fails when the request's service does not declare the model.
    pub(super) fn new(
        request: &DispatchRequest,
        engine: Option<&EngineSpec>,
        pace_budget_tokens: u64,
    ) -> Result<Self, DispatchRefusal> {
        let generation = request.generation.as_ref();
        let is_declared = match (generation, engine) {
            (Some(generation), Some(engine)) => engine.model(&generation.model).is_some(),
            _ => true,
        };
        if !is_declared {
            return Err(DispatchRefusal::UNKNOWN_MODEL);
        }
        Ok(Self {
            variant: generation.map(Variant::of),
            software: request.software.clone(),
            needs: RunnerRequirements {
                prompt_tokens: generation.map_or(0, |g| u64::from(g.prompt_tokens)),
                kv_tokens: generation.map_or(0, kv_tokens),
                kv_capacity_tokens: engine.map(|engine| engine.kv_capacity_tokens),
                pace_budget_tokens,
                most_urgent: request.priority == 0 || request.is_urgent,
            },
            chain: generation.map(PromptChain::of).unwrap_or_default(),
            fingerprint: RequestFingerprint::new(request.digest, generation),
            is_trial: false,
            tried_runners: request.tried_runners.clone(),
            priority: request.priority,
            target_at: request.target_at,
            assign_by: request.assign_by,
            caller_deadline: request.caller_deadline,
            pass_on: request.pass_on,
        })
    }

    /// Returns the request's rank in the queue if its response began at `expected_response_at`.
    pub(super) fn rank(&self, id: u64, expected_response_at: Instant) -> Rank {
        let misses_target = self.target_at < expected_response_at;
        (self.priority, misses_target, self.target_at, id)
    }

    /// Returns the model; `None` for plain services.
    pub(super) fn model(&self) -> Option<&ModelId> {
        self.variant.as_ref().map(|variant| &variant.model)
    }
}

/// The queue order: priority, then requests that can meet their target, the earlier target, age.
pub(super) type Rank = (u8, bool, Instant, u64);

/// Returns the KV cache that a generation probably needs until its end, in tokens.
fn kv_tokens(generation: &GenerationRequest) -> u64 {
    let output_max = u64::from(generation.output_tokens_max);
    let output = match generation.output_tokens_hint {
        Some(hint) => (u64::from(hint) * 5 / 4).min(output_max),
        None => output_max * 3 / 5,
    };
    u64::from(generation.prompt_tokens) + output
}

/// The result that a queued request receives.
pub(super) type AssignmentResult = Result<Assignment, DispatchRefusal>;

/// A queued request.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) id: u64,
    pub(super) profile: RequestProfile,
    pub(super) queued_at: Instant,
    /// Whether the request waits because no runner holds its variant.
    pub(super) waits_for_copy: bool,
    pub(super) sender: oneshot::Sender<AssignmentResult>,
}

impl QueuedRequest {
    pub(super) fn rank(&self, expected_response_at: Instant) -> Rank {
        self.profile.rank(self.id, expected_response_at)
    }
}

/// The requests that wait for a service, sorted by rank.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    requests: Vec<QueuedRequest>,
}

impl WaitQueue {
    /// Adds a request; returns the last one if the queue is then too long.
    pub(super) fn insert(
        &mut self,
        queued: QueuedRequest,
        expected_response_at: Instant,
    ) -> Option<QueuedRequest> {
        self.requests
            .sort_by_key(|queued| queued.rank(expected_response_at));
        let rank = queued.rank(expected_response_at);
        let position = self
            .requests
            .partition_point(|known| known.rank(expected_response_at) < rank);
        self.requests.insert(position, queued);
        (self.requests.len() > QUEUED_REQUESTS_MAX).then(|| self.requests.pop())?
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<QueuedRequest> {
        let position = self.requests.iter().position(|queued| queued.id == id)?;
        Some(self.requests.remove(position))
    }

    /// Removes and returns the requests for which `select` returns a value, with that value.
    pub(super) fn extract<R>(
        &mut self,
        mut select: impl FnMut(&RequestProfile) -> Option<R>,
    ) -> Vec<(QueuedRequest, R)> {
        let (mut removed, mut kept) = (Vec::new(), Vec::new());
        for queued in std::mem::take(&mut self.requests) {
            match select(&queued.profile) {
                Some(value) => removed.push((queued, value)),
                None => kept.push(queued),
            }
        }
        self.requests = kept;
        removed
    }

    pub(super) fn get(&self, id: u64) -> Option<&QueuedRequest> {
        self.requests.iter().find(|queued| queued.id == id)
    }

    /// Returns whether a request waits because no runner holds a variant.
    pub(super) fn has_copy_wait(&self, variant: Option<&Variant>) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|queued| queued.waits_for_copy && queued.profile.variant.as_ref() == variant)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Removes all requests, sorted by rank.
    pub(super) fn take_ordered(&mut self, expected_response_at: Instant) -> Vec<QueuedRequest> {
        self.requests
            .sort_by_key(|queued| queued.rank(expected_response_at));
        std::mem::take(&mut self.requests)
    }

    /// Puts the remaining requests back, in the order of [`Self::take_ordered`].
    pub(super) fn put_back(&mut self, requests: Vec<QueuedRequest>) {
        self.requests = requests;
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.requests.iter()
    }
}
