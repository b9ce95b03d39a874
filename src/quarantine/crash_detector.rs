//! Tells the end of a runner from the end of a single connection.

use {
    super::RequestFingerprint,
    crate::{discovery::RunnerKey, telemetry::MetricText, traffic::ServiceId},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a broken request and the end of its runner may be apart.
const MATCH_WINDOW: Duration = Duration::from_secs(5);

/// How long after a response that looked complete its runner may turn out to have ended.
const CLEAN_END_WINDOW: Duration = Duration::from_secs(1);

/// The most broken requests, and the most ended runners, that are kept.
const KEPT_MAX: usize = 1_024;

/// How long a response is received until the request counts as harmless to its runner.
pub const HARMLESS_AFTER: Duration = Duration::from_millis(500);

/// A request whose connection to the runner broke.
#[derive(Debug, Clone)]
pub struct BrokenRequest {
    /// The runner.
    pub runner: RunnerKey,
    /// The service of the runner.
    pub service: ServiceId,
    /// What the request is compared by.
    pub fingerprint: RequestFingerprint,
    /// When the request was assigned to the runner.
    pub assigned_at: Instant,
    /// How long events of the response arrived.
    pub answered_for: Duration,
    /// Whether the response looked complete, as it ends with its connection.
    pub looked_complete: bool,
    /// When the end of the connection was noticed.
    pub ended_at: Instant,
}

impl BrokenRequest {
    /// Returns whether the request may have ended its runner: its response had not begun, or only
    /// just.
    pub fn may_have_crashed(&self) -> bool {
        self.answered_for < HARMLESS_AFTER
    }
}

/// A runner that ended with requests in progress.
#[derive(Debug, Clone)]
pub struct EndedRunner {
    /// The runner.
    pub runner: RunnerKey,
    /// The requests of this node that ended with it.
    pub requests: Vec<BrokenRequest>,
}

impl EndedRunner {
    /// Logs the runner with the requests that may have ended it and their prompt parts.
    pub fn log(&self) {
        let suspects = || self.requests.iter().filter(|r| r.may_have_crashed());
        let mut parts: Vec<_> = suspects()
            .flat_map(|request| request.fingerprint.shared.iter().map(ToString::to_string))
            .collect();
        parts.sort_unstable();
        parts.dedup();
        let digests: Vec<_> = suspects()
            .map(|request| request.fingerprint.digest.to_string())
            .collect();
        log::info!(
            runner:% = self.runner.id,
            born_unix_ms = self.runner.born_unix_ms,
            requests = self.requests.len(),
            just_begun = suspects().count(),
            digests:% = digests.join(","),
            prompt_parts:% = parts.join(",");
            "quarantine: a runner ended under requests."
        );
    }
}

/// The number of attempts that ended with their runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndedAttempts {
    /// Attempts without a response, or whose response had just begun.
    pub just_begun: u64,
    /// Attempts whose response had arrived for some time.
    pub answering: u64,
}

impl EndedAttempts {
    /// Counts the requests of a runner that ended.
    pub fn count(&mut self, ended: &EndedRunner) {
        for request in &ended.requests {
            match request.may_have_crashed() {
                true => self.just_begun += 1,
                false => self.answering += 1,
            }
        }
    }

    /// Appends the counters to a page of metrics.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_tries_ended_with_runner_total";
        let help = "Tries that ended with their runner, by their progress.";
        text.begin(name, "counter", help);
        text.value(name, &[("progress", "just_begun")], self.just_begun as f64);
        text.value(name, &[("progress", "answering")], self.answering as f64);
    }
}

/// The recent broken requests and ended runners of a node.
#[derive(Debug, Default)]
pub struct CrashDetector {
    broken: Vec<BrokenRequest>,
    ended: Vec<(RunnerKey, Instant)>,
}

impl CrashDetector {
    /// Records a broken request; returns its runner if that is known to have ended.
    pub fn record_broken(&mut self, request: BrokenRequest, now: Instant) -> Option<EndedRunner> {
        self.expire(now);
        if self.ended.iter().any(|(key, _)| *key == request.runner) {
            return Some(EndedRunner {
                runner: request.runner.clone(),
                requests: vec![request],
            });
        }
        if self.broken.len() < KEPT_MAX {
            self.broken.push(request);
        }
        None
    }

    /// Records that a runner cannot be reached or is no longer listed; returns it if requests
    /// broke there.
    pub fn record_end(&mut self, runner: &RunnerKey, now: Instant) -> Option<EndedRunner> {
        self.expire(now);
        self.ended.retain(|(key, _)| key != runner);
        if self.ended.len() < KEPT_MAX {
            self.ended.push((runner.clone(), now));
        }
        let requests = self
            .broken
            .extract_if(.., |request| request.runner == *runner);
        let requests: Vec<_> = requests.collect();
        (!requests.is_empty()).then(|| EndedRunner {
            runner: runner.clone(),
            requests,
        })
    }

    /// Removes and returns the requests whose responses looked complete and whose runners did not
    /// end since.
    pub fn take_complete(&mut self, now: Instant) -> Vec<BrokenRequest> {
        let is_complete = |request: &mut BrokenRequest| {
            request.looked_complete && now >= request.ended_at + CLEAN_END_WINDOW
        };
        self.broken.extract_if(.., is_complete).collect()
    }

    fn expire(&mut self, now: Instant) {
        self.broken
            .retain(|request| now < request.ended_at + MATCH_WINDOW);
        self.ended.retain(|(_, at)| now < *at + MATCH_WINDOW);
    }
}
