//! The runners of one service, and the requests queued for them.

use {
    super::{
        AttemptOutcome, Candidate, PassOn, SendDenial, Variant, cost_ms,
        demand_meter::DemandMeter,
        draws::draws,
        pace_budget::PaceBudget,
        service_reach::ServiceReach,
        tracked_runner::TrackedRunner,
        uneven_cost_ms,
        urgent_waits::UrgentWaits,
        wait_queue::{RequestProfile, WaitQueue},
    },
    crate::{
        capacity::{ModelPaces, SpeedSpread, late_end_cost_ms},
        discovery::RunnerKey,
        traffic::{ModelId, ServiceId, SoftwareVersion, ZoneId},
    },
    rand::{Rng, RngExt},
    std::time::Duration,
    tokio::time::Instant,
};

/// The weight of the newest sample in a moving average.
const NEWEST_WEIGHT: f64 = 0.05;

/// The largest cost of prefix affinity, or of a random choice for prompts without parts.
const AFFINITY_COST_MAX_MS: f64 = 4.0;

/// The random cost that spreads requests over runners of nearly equal cost.
const COST_JITTER_MAX_MS: f64 = 1.0;

/// The cost of a runner to which this node holds no idle connection.
const NEW_CONNECTION_COST_MS: f64 = 40.0;

/// How long a request yields a runner to others before its next attempt.
const YIELD_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The runners of one service, its queue, and its measured rates and times.
#[derive(Debug)]
pub(super) struct ServiceRunners {
    pub(super) name: ServiceId,
    pub(super) runners: Vec<TrackedRunner>,
    pub(super) queue: WaitQueue,
    pub(super) demand: DemandMeter,
    pub(super) pace_budget: PaceBudget,
    pub(super) urgent_waits: UrgentWaits,
    pub(super) reach: ServiceReach,
    /// Whether the runners said lately that they are brittle.
    pub(super) is_brittle: bool,
    /// The first and the further attempts at runners that name a limit.
    pub(super) limited_attempts: (u64, u64),
    /// Whether the runners differ in speed, by the events of streams.
    pub(super) speed_spread: SpeedSpread,
    model_paces: ModelPaces,
    mean_times_s: Vec<(Option<ModelId>, f64)>,
    mean_response_time_s: f64,
}

/// The result of the search for a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Selection {
    /// The position of a runner with a free slot.
    Runner(usize),
    /// Runners hold the variant but have no free slot; one may have at the instant.
    NoCapacity(Option<Instant>),
    /// The runners that hold the variant name limits, of which this node's share admits a request
    /// at the instant, or none.
    Limited(Option<Instant>),
    /// The runners that hold the variant asked this node for pauses; the first one ends at the
    /// instant.
    Paused(Instant),
    /// This node reaches no runner of the service, and the request may be better off elsewhere.
    OutOfReach,
    /// No runner that may serve the request holds the variant.
    NoCopy,
}

impl ServiceRunners {
    pub(super) fn new(name: ServiceId) -> Self {
        Self {
            name,
            runners: Vec::new(),
            queue: WaitQueue::default(),
            demand: DemandMeter::default(),
            pace_budget: PaceBudget::default(),
            urgent_waits: UrgentWaits::default(),
            reach: ServiceReach::default(),
            is_brittle: false,
            limited_attempts: (0, 0),
            speed_spread: SpeedSpread::default(),
            model_paces: ModelPaces::default(),
            mean_times_s: Vec::new(),
            mean_response_time_s: 0.0,
        }
    }

    pub(super) fn position(&self, key: &RunnerKey) -> Result<usize, usize> {
        self.runners
            .binary_search_by(|runner| runner.entry.key.cmp(key))
    }

    pub(super) fn runner_mut(&mut self, key: &RunnerKey) -> Option<&mut TrackedRunner> {
        let position = self.position(key).ok()?;
        Some(&mut self.runners[position])
    }

    /// Chooses the runner with the lowest cost for a request.
    ///
    /// Runners that were tried already are chosen only if no other one holds the variant, and not
    /// for a stream that must not change its software version while others serve.
    pub(super) fn choose(
        &self,
        profile: &RequestProfile,
        zone: &ZoneId,
        now: Instant,
    ) -> Selection {
        let is_refused = match profile.pass_on {
            PassOn::Allowed => self.reach.passes_on(now),
            PassOn::Done => self.reach.is_out(),
            PassOn::Impossible => false,
        };
        if is_refused {
            return Selection::OutOfReach;
        }
        let first = self.choose_among(profile, false, zone, now);
        let may_return =
            !profile.tried_runners.is_empty() && self.has_only(profile.software.as_ref());
        if first == Selection::NoCopy && may_return {
            return self.choose_among(profile, true, zone, now);
        }
        first
    }

    fn choose_among(
        &self,
        profile: &RequestProfile,
        was_tried: bool,
        zone: &ZoneId,
        now: Instant,
    ) -> Selection {
        let yields_to = self.urgent_waits.more_urgent_than(profile.priority, now);
        let mut best: Option<(usize, f64)> = None;
        let mut has_copy = false;
        let mut retry_at: Option<Instant> = None;
        let mut is_limited = false;
        let mut pause_end: Option<Instant> = None;
        let mut rng = draws();
        let is_uneven = self.speed_spread.is_uneven() && profile.needs.kv_capacity_tokens.is_some();
        let expected_s = self.expected_s(profile);
        for (position, runner) in self.runners.iter().enumerate() {
            let is_eligible = runner.gate.is_staying(now)
                && runner.may_resume(profile.software.as_ref(), now)
                && runner.holds(profile.variant.as_ref())
                && profile.tried_runners.contains(&runner.entry.key) == was_tried;
            if !is_eligible {
                continue;
            }
            match runner.gate.check(now) {
                Ok(()) => has_copy = true,
                Err(SendDenial::Paused(until) | SendDenial::Brittle(until)) => {
                    pause_end = pause_end.into_iter().chain([until]).min();
                    continue;
                }
                Err(SendDenial::Limited(at)) => {
                    retry_at = retry_at.into_iter().chain(at).min();
                    is_limited = true;
                    continue;
                }
                Err(SendDenial::Ejected(until)) => {
                    has_copy = true;
                    retry_at = retry_at.into_iter().chain(until).min();
                    continue;
                }
                Err(_) => continue,
            }
            if yields_to.iter().any(|variant| runner.holds(Some(*variant))) {
                retry_at = retry_at.into_iter().chain([now + YIELD_RETRY_DELAY]).min();
                continue;
            }
            let mut candidate = runner.candidate(profile, zone, now);
            if !runner.has_sure_room(&candidate, now) {
                retry_at = retry_at.into_iter().chain([now + YIELD_RETRY_DELAY]).min();
                continue;
            }
            if is_uneven {
                candidate.slowness = runner.speed.slowness(now);
            }
            let drawn = rng.random_range(0.0..1.0);
            let cost_of = |candidate: &Candidate| match is_uneven {
                true => uneven_cost_ms(&profile.needs, candidate, drawn),
                false => cost_ms(&profile.needs, candidate),
            };
            let Some(cost) = cost_of(&candidate) else {
                candidate.recent_prompt_tokens = 0;
                if cost_of(&candidate).is_some() {
                    retry_at = retry_at.into_iter().chain([now + YIELD_RETRY_DELAY]).min();
                }
                continue;
            };
            let cost = match is_uneven {
                true => cost + self.uneven_extra_ms(runner, profile, expected_s, now),
                false => cost,
            };
            let affinity_ms = affinity_cost_ms(runner, profile, &mut rng);
            let cost = cost + affinity_ms + rng.random_range(0.0..COST_JITTER_MAX_MS);
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((position, cost));
            }
        }
        match best {
            Some((position, _)) => Selection::Runner(position),
            None if has_copy => Selection::NoCapacity(retry_at),
            None => match (is_limited, pause_end) {
                (true, None) => Selection::Limited(retry_at),
                (true, Some(until)) if retry_at.is_some_and(|at| at < until) => {
                    Selection::Limited(retry_at)
                }
                (_, Some(until)) => Selection::Paused(until),
                (false, None) => Selection::NoCopy,
            },
        }
    }

    /// Returns the cost of a runner of a service whose runners differ in speed, besides its load:
    /// for a new connection, and for a response that it can't end in time.
    fn uneven_extra_ms(
        &self,
        runner: &TrackedRunner,
        profile: &RequestProfile,
        expected_s: f64,
        now: Instant,
    ) -> f64 {
        let connection_ms = match runner.idle_connections.has_any(now) {
            true => 0.0,
            false => NEW_CONNECTION_COST_MS,
        };
        let usual_slowness = runner.speed.usual_log(now).exp();
        let expected = Duration::try_from_secs_f64(expected_s * usual_slowness);
        let time_left = profile.caller_deadline.saturating_duration_since(now);
        connection_ms + late_end_cost_ms(expected.unwrap_or_default(), time_left)
    }

    /// Returns the time of a response at a runner of the mean speed; 0 if it isn't known.
    fn expected_s(&self, profile: &RequestProfile) -> f64 {
        let means = &self.mean_times_s;
        let found = means.binary_search_by(|(known, _)| known.as_ref().cmp(&profile.model()));
        let needs = &profile.needs;
        let output_tokens = needs.kv_tokens.saturating_sub(needs.prompt_tokens);
        found.map_or(0.0, |position| means[position].1 * output_tokens as f64)
    }

    /// Returns whether all runners have a software version, if one is given.
    fn has_only(&self, software: Option<&SoftwareVersion>) -> bool {
        software.is_none_or(|only| {
            let mut runners = self.runners.iter().filter(|runner| runner.is_current());
            runners.all(|runner| runner.entry.software == *only)
        })
    }

    /// Returns whether a ready runner holds a model.
    pub(super) fn has_copy(&self, model: &ModelId, now: Instant) -> bool {
        let variant = Variant {
            model: model.clone(),
            adapter: None,
        };
        let mut runners = self.runners.iter();
        runners.any(|runner| runner.gate.is_staying(now) && runner.entry.holds(&variant))
    }

    /// Returns whether a runner of the service is listed and does not leave.
    pub(super) fn has_staying_runner(&self, now: Instant) -> bool {
        self.runners
            .iter()
            .any(|runner| runner.gate.is_staying(now))
    }

    /// Records the outcome of an attempt; `time_s` is the response time in seconds, per token for
    /// generations.
    pub(super) fn record_outcome(
        &mut self,
        key: &RunnerKey,
        variant: Option<&Variant>,
        outcome: AttemptOutcome,
        time_s: Option<f64>,
        now: Instant,
    ) {
        let ratio = time_s.map(|time_s| self.time_ratio(variant.map(|v| &v.model), time_s));
        let failure_rate = self.failure_rate();
        let ejected = self
            .runners
            .iter()
            .filter(|runner| !runner.gate.health.admits(now));
        let may_eject = (ejected.count() + 1) * 3 <= self.runners.len();
        let Some(runner) = self.runner_mut(key) else {
            return;
        };
        if let Some(ratio) = ratio {
            runner.gate.health.record_time_ratio(ratio, now);
        }
        let is_unconfirmed_copy = outcome == AttemptOutcome::Shed && runner.is_unconfirmed(variant);
        if !is_unconfirmed_copy {
            runner
                .gate
                .health
                .record_outcome(outcome, failure_rate, may_eject, now);
        }
        if let (AttemptOutcome::Absent, Some(variant)) = (outcome, variant) {
            runner.apply_residency_change(variant, false, now);
        }
    }

    /// Records the usual gap between the events of a stream; returns whether the runners now differ
    /// in speed and did not before, or the other way round.
    pub(super) fn record_pace(
        &mut self,
        key: &RunnerKey,
        model: &ModelId,
        usual_gap: Duration,
        now: Instant,
    ) -> bool {
        let Ok(position) = self.position(key) else {
            return false;
        };
        let speed = &mut self.runners[position].speed;
        self.model_paces.record(model, speed, usual_gap, now);
        self.compare_speeds(now)
    }

    /// Compares the runners' speeds; returns whether they now differ and did not before, or the
    /// other way round.
    pub(super) fn compare_speeds(&mut self, now: Instant) -> bool {
        let speeds = self.runners.iter_mut().map(|runner| &mut runner.speed);
        self.speed_spread.update(speeds, &mut self.model_paces, now)
    }

    /// Records the time from an assignment to the first event of the response.
    pub(super) fn record_response_time(&mut self, time: Duration) {
        self.mean_response_time_s +=
            (time.as_secs_f64() - self.mean_response_time_s) * NEWEST_WEIGHT;
    }

    /// Returns when the first event is expected for a request that is assigned now.
    pub(super) fn expected_response_at(&self, now: Instant) -> Instant {
        now + Duration::from_secs_f64(self.mean_response_time_s)
    }

    fn failure_rate(&self) -> f64 {
        let rates = self
            .runners
            .iter()
            .map(|runner| runner.gate.health.failure_rate());
        rates.sum::<f64>() / self.runners.len().max(1) as f64
    }

    /// Returns a time relative to the mean of its model, and updates the mean.
    fn time_ratio(&mut self, model: Option<&ModelId>, time_s: f64) -> f64 {
        let means = &mut self.mean_times_s;
        match means.binary_search_by(|(known, _)| known.as_ref().cmp(&model)) {
            Ok(position) => {
                let mean = &mut means[position].1;
                let ratio = time_s / mean.max(f64::MIN_POSITIVE);
                *mean += (time_s - *mean) * NEWEST_WEIGHT;
                ratio
            }
            Err(position) => {
                means.insert(position, (model.cloned(), time_s));
                1.0
            }
        }
    }
}

/// Returns the cost of a runner by prefix affinity, random for a prompt without parts.
fn affinity_cost_ms(runner: &TrackedRunner, profile: &RequestProfile, rng: &mut impl Rng) -> f64 {
    match profile.chain.first_hash() {
        Some(hash) => runner.affinity(hash) * AFFINITY_COST_MAX_MS,
        None => rng.random_range(0.0..AFFINITY_COST_MAX_MS),
    }
}
