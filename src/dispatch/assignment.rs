//! The assignment of a request to a runner.

use {
    super::{AttemptOutcome, RequestLoad, SendCheck, registry_shared::RegistryShared},
    crate::{
        capacity::StreamPace,
        discovery::RunnerEntry,
        quarantine::{HARMLESS_AFTER, RequestFingerprint},
        traffic::{ServiceId, SoftwareVersion},
        units::RequestRate,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// The assignment of a request to a runner; dropping it counts the request as cancelled.
#[derive(Debug)]
pub struct Assignment {
    /// The assigned runner.
    pub runner: Arc<RunnerEntry>,
    pub(super) service: ServiceId,
    pub(super) load: RequestLoad,
    pub(super) output_tokens: u64,
    pub(super) started_at: Instant,
    pub(super) first_event_at: Option<Instant>,
    pub(super) last_event_at: Option<Instant>,
    pub(super) pace: StreamPace,
    /// Whether a response that was cut short can't be told from a complete one.
    pub(super) ends_with_connection: bool,
    /// What the request is compared by if its runner ends.
    pub(super) fingerprint: RequestFingerprint,
    /// The only software version that may serve the request, if there is one.
    pub(super) software: Option<SoftwareVersion>,
    pub(super) outcome: Option<AttemptOutcome>,
    pub(super) registry: Arc<RegistryShared>,
}

impl Assignment {
    /// Records that an event of the response arrived.
    pub fn record_event(&mut self, at: Instant) {
        let was_harmless = self.answered_for() >= HARMLESS_AFTER;
        self.last_event_at = Some(at);
        if !was_harmless && self.answered_for() >= HARMLESS_AFTER {
            self.registry.record_harmless(&self.fingerprint, at);
        }
        if self.first_event_at.is_none() {
            self.first_event_at = Some(at);
            if self.load.variant.is_some() {
                let registry = self.registry.clone();
                registry.record_first_event(self, at);
            }
        }
        if let Some(variant) = &self.load.variant
            && let Some(usual_gap) = self.pace.record_event(at)
        {
            let (registry, key) = (&self.registry, &self.runner.key);
            registry.record_pace(&self.service, key, &variant.model, usual_gap, at);
        }
    }

    /// Records that the end of the connection is the end of the response, so that one that was cut
    /// short looks complete.
    pub fn mark_ends_with_connection(&mut self) {
        self.ends_with_connection = true;
    }

    /// Records the limit on requests that the runner's response names, or that it names none.
    pub fn record_limit(&self, limit: Option<RequestRate>) {
        let now = Instant::now();
        self.registry.record_limit(&self.runner.key, limit, now);
    }

    /// Records the rejections a second that the runner's response says it bears; `None` if it says
    /// nothing.
    pub fn record_brittleness(&self, rejections_per_s: Option<u32>) {
        let now = Instant::now();
        let registry = &self.registry;
        registry.record_brittleness(&self.service, rejections_per_s, now);
    }

    /// Records that this node reached the runner: a new connection, or the head of a response.
    pub fn record_contact(&self) {
        let now = Instant::now();
        self.registry.record_contact(&self.service, now);
    }

    /// Records that a response of the runner says that it leaves.
    pub fn record_leaving(&self) {
        let now = Instant::now();
        self.registry.record_statement(&self.runner.key, now);
    }

    /// Records that the runner refused a request and asked this node for a pause.
    pub fn record_pause(&self, pause: Duration) {
        let now = Instant::now();
        self.registry.record_pause(&self.runner.key, pause, now);
    }

    /// Returns the check that is due right before the request is sent.
    pub fn send_check(&self) -> SendCheck {
        SendCheck {
            registry: self.registry.clone(),
            service: self.service.clone(),
            runner: self.runner.key.clone(),
            software: self.software.clone(),
            assigned_at: self.started_at,
        }
    }

    /// Returns whether the request must not be sent, as it has been quarantined since.
    pub fn is_quarantined(&self) -> bool {
        self.registry
            .is_quarantined(&self.fingerprint, Instant::now())
    }

    /// Returns how long events of the response arrived.
    pub(super) fn answered_for(&self) -> Duration {
        match (self.first_event_at, self.last_event_at) {
            (Some(first), Some(last)) => last.saturating_duration_since(first),
            _ => Duration::ZERO,
        }
    }

    /// Records the outcome of the attempt and releases the assignment.
    pub fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = Some(outcome);
    }

    /// Returns the time of a complete response in seconds, per token for generations.
    pub(super) fn response_time_s(&self, now: Instant) -> Option<f64> {
        if self.outcome != Some(AttemptOutcome::Complete) {
            return None;
        }
        if self.load.variant.is_none() {
            return Some((now - self.started_at).as_secs_f64());
        }
        let first = self.first_event_at?;
        let tokens = self.output_tokens.max(1) as f64;
        Some(now.saturating_duration_since(first).as_secs_f64() / tokens)
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        let registry = self.registry.clone();
        registry.release(self, Instant::now());
    }
}
