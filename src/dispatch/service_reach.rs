//! Whether this node reaches the runners of a service, by its own attempts and probes alone.
//!
//! Load pattern: a node loses the paths to all runners for seconds, while callers, the store and
//! other nodes still reach it. Runners that fail one by one are left out by their own health.

use {crate::discovery::RunnerKey, std::time::Duration, tokio::time::Instant};

/// The number of runners that must fail, one after another, before the service is out of reach.
const FAILED_RUNNERS_MIN: usize = 3;

/// The age at which a failure no longer counts.
const FAILURE_TTL: Duration = Duration::from_secs(3);

/// The interval between probes of a service that is out of reach.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The interval between probes of a service from which nothing arrives.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The time without any contact after which runners with requests in flight are probed.
const SILENCE_MAX: Duration = Duration::from_millis(500);

/// How long no requests are passed on after another node did not reach the service either.
const OTHERS_OUT_TTL: Duration = Duration::from_secs(1);

/// This node's reach of the runners of a service.
#[derive(Debug, Default)]
pub(super) struct ServiceReach {
    contact_at: Option<Instant>,
    /// The runners that could not be reached since the last contact, sorted.
    failed: Vec<(RunnerKey, Instant)>,
    /// Since when the service is out of reach.
    out_since: Option<Instant>,
    probed_at: Option<Instant>,
    others_out_at: Option<Instant>,
}

impl ServiceReach {
    /// Records that a runner was reached: a new connection, or the head of a response.
    ///
    /// Returns how long the service was out of reach, if it was.
    pub(super) fn record_contact(&mut self, now: Instant) -> Option<Duration> {
        self.contact_at = Some(now);
        self.failed.clear();
        let out_since = self.out_since.take()?;
        Some(now.saturating_duration_since(out_since))
    }

    /// Records that a runner could not be reached, of `runners_count` of the service.
    ///
    /// Returns whether the service is out of reach from now on.
    pub(super) fn record_failure(
        &mut self,
        key: &RunnerKey,
        runners_count: usize,
        now: Instant,
    ) -> bool {
        self.failed.retain(|(_, at)| now < *at + FAILURE_TTL);
        match self.failed.binary_search_by(|(known, _)| known.cmp(key)) {
            Ok(position) => self.failed[position].1 = now,
            Err(position) => self.failed.insert(position, (key.clone(), now)),
        }
        let enough = FAILED_RUNNERS_MIN.min(runners_count.max(1));
        let begins = self.out_since.is_none() && self.failed.len() >= enough;
        if begins {
            self.out_since = Some(now);
        }
        begins
    }

    /// Records that another node did not reach the service either.
    pub(super) fn record_others_out(&mut self, now: Instant) {
        self.others_out_at = Some(now);
    }

    /// Returns whether this node reaches no runner of the service.
    pub(super) fn is_out(&self) -> bool {
        self.out_since.is_some()
    }

    /// Returns whether the node, rather than the runners, is the likely cause of the failures; a
    /// service of few runners doesn't tell.
    pub(super) fn is_probably_cut(&self) -> bool {
        self.failed.len() >= FAILED_RUNNERS_MIN
    }

    /// Returns whether requests are better served by other nodes.
    pub(super) fn passes_on(&self, now: Instant) -> bool {
        let others_out = self
            .others_out_at
            .is_some_and(|at| now < at + OTHERS_OUT_TTL);
        self.is_out() && !others_out
    }

    /// Returns whether runners of the service are to be probed now, and records the probe.
    ///
    /// `has_requests` is whether requests are in flight at its runners.
    pub(super) fn take_probe(&mut self, has_requests: bool, now: Instant) -> bool {
        let since_probe = self.probed_at.map(|at| now.saturating_duration_since(at));
        let is_silent = self
            .contact_at
            .is_some_and(|at| now.saturating_duration_since(at) >= SILENCE_MAX);
        let interval = match self.is_out() || !self.failed.is_empty() {
            true => PROBE_INTERVAL,
            false if is_silent && has_requests => SILENCE_PROBE_INTERVAL,
            false => return false,
        };
        let is_due = since_probe.is_none_or(|since| since >= interval);
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }
}
