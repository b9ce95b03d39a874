//! The queue of requests that wait for a runner.

use {
    super::{Need, Place, PromptChain, Refused, Variant, Wanted},
    crate::{
        discovery::RunnerKey,
        relay::Generation,
        traffic::{EngineSpec, ModelId},
    },
    tokio::{sync::oneshot, time::Instant},
};

/// The most requests that wait for one service.
const WAITERS_MAX: usize = 512;

/// A request with the resources that it needs of a runner.
#[derive(Debug)]
pub(super) struct Ask {
    pub(super) variant: Option<Variant>,
    pub(super) need: Need,
    pub(super) chain: PromptChain,
    pub(super) tried: Vec<RunnerKey>,
    pub(super) priority: u8,
    pub(super) target_at: Instant,
    pub(super) give_up_at: Instant,
    pub(super) ends_at: Instant,
}

impl Ask {
    /// Derives the resources that a request needs.
    ///
    /// # Errors
    ///
    /// Fails when the request's service does not declare the model.
    pub(super) fn new(
        wanted: &Wanted,
        engine: Option<&EngineSpec>,
        paced_tokens_max: u64,
    ) -> Result<Self, Refused> {
        let generation = wanted.generation.as_ref();
        let declared = match (generation, engine) {
            (Some(generation), Some(engine)) => engine.model(&generation.model).is_some(),
            _ => true,
        };
        if !declared {
            return Err(Refused::UNKNOWN_MODEL);
        }
        Ok(Self {
            variant: generation.map(Variant::of),
            need: Need {
                prompt_tokens: generation.map_or(0, |g| u64::from(g.prompt_tokens)),
                kv_tokens: generation.map_or(0, kv_tokens),
                kv_capacity_tokens: engine.map(|engine| engine.kv_capacity_tokens),
                paced_tokens_max,
                most_urgent: wanted.priority == 0,
            },
            chain: generation.map(PromptChain::of).unwrap_or_default(),
            tried: wanted.tried.clone(),
            priority: wanted.priority,
            target_at: wanted.target_at,
            give_up_at: wanted.give_up_at,
            ends_at: wanted.ends_at,
        })
    }

    /// Returns the request's rank in the queue if its answer began at `answer_at`.
    pub(super) fn rank(&self, id: u64, answer_at: Instant) -> Rank {
        let late = self.target_at < answer_at;
        (self.priority, late, self.target_at, id)
    }

    /// Returns the model; `None` for plain services.
    pub(super) fn model(&self) -> Option<&ModelId> {
        self.variant.as_ref().map(|variant| &variant.model)
    }
}

/// The queue order: priority, then requests that can meet their target, the earlier target, age.
pub(super) type Rank = (u8, bool, Instant, u64);

/// Returns the KV cache that a generation probably needs until its end, in tokens.
fn kv_tokens(generation: &Generation) -> u64 {
    let output_max = u64::from(generation.output_tokens_max);
    let output = match generation.output_tokens_hint {
        Some(hint) => (u64::from(hint) * 5 / 4).min(output_max),
        None => output_max * 3 / 5,
    };
    u64::from(generation.prompt_tokens) + output
}

/// The result that a queued request receives.
pub(super) type Answer = Result<Place, Refused>;

/// A queued request.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: u64,
    pub(super) ask: Ask,
    pub(super) since: Instant,
    /// Whether the request waits because no runner holds its variant.
    pub(super) no_copy: bool,
    pub(super) sender: oneshot::Sender<Answer>,
}

impl Waiter {
    pub(super) fn rank(&self, answer_at: Instant) -> Rank {
        self.ask.rank(self.id, answer_at)
    }
}

/// The requests that wait for a service, sorted by rank.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    waiters: Vec<Waiter>,
}

impl WaitQueue {
    /// Adds a request; returns the last one if the queue is then too long.
    pub(super) fn insert(&mut self, waiter: Waiter, answer_at: Instant) -> Option<Waiter> {
        self.waiters.sort_by_key(|waiter| waiter.rank(answer_at));
        let rank = waiter.rank(answer_at);
        let position = self
            .waiters
            .partition_point(|known| known.rank(answer_at) < rank);
        self.waiters.insert(position, waiter);
        (self.waiters.len() > WAITERS_MAX).then(|| self.waiters.pop())?
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Waiter> {
        let position = self.waiters.iter().position(|waiter| waiter.id == id)?;
        Some(self.waiters.remove(position))
    }

    pub(super) fn get(&self, id: u64) -> Option<&Waiter> {
        self.waiters.iter().find(|waiter| waiter.id == id)
    }

    /// Returns whether a request waits because no runner holds a variant.
    pub(super) fn wants_copy(&self, variant: Option<&Variant>) -> bool {
        let mut waiters = self.waiters.iter();
        waiters.any(|waiter| waiter.no_copy && waiter.ask.variant.as_ref() == variant)
    }

    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Removes all requests, sorted by rank.
    pub(super) fn take_ordered(&mut self, answer_at: Instant) -> Vec<Waiter> {
        self.waiters.sort_by_key(|waiter| waiter.rank(answer_at));
        std::mem::take(&mut self.waiters)
    }

    /// Puts the remaining requests back, in the order of [`Self::take_ordered`].
    pub(super) fn put_back(&mut self, waiters: Vec<Waiter>) {
        self.waiters = waiters;
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiter> {
        self.waiters.iter()
    }
}
