//! The limit on requests that a runner names, and this node's share of it.

use {
    super::node_list::NodeList,
    crate::{discovery::RunnerKey, telemetry::MetricText, units::RequestRate},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// The lowest rate of requests to a limited runner, so that the end of its limit is noticed.
const PROBE_RATE: RequestRate = RequestRate(100);

/// The nodes that send to a limited runner besides one for each request a second that it takes.
const SPARE_SENDERS: u64 = 1;

/// The rounds in which a changed limit is reported.
const REPORT_ROUNDS: u8 = 3;

/// How long the end of a limit is reported, so that it replaces older reports.
const ENDED_REPORT_TTL: Duration = Duration::from_secs(5);

/// The limit of a runner, as nodes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The runner.
    pub runner: RunnerKey,
    /// The limit for all nodes together; `None` if the runner names none.
    pub limit: Option<RequestRate>,
    /// The time since the response that named it, in milliseconds.
    pub observed_ms_ago: u32,
}

impl LimitReport {
    /// Returns when the limit was named, if the report was made `now`.
    pub fn observed_at(&self, now: Instant) -> Instant {
        let ago = Duration::from_millis(u64::from(self.observed_ms_ago));
        now.checked_sub(ago).unwrap_or(now)
    }
}

/// Whether the limit of a runner admits a request of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LimitAdmission {
    /// A request may be sent now.
    Now,
    /// A request may be sent from this instant on.
    From(Instant),
    /// Other nodes use the whole limit.
    ByOthers,
}

/// The share of a runner's limit that this node may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Share {
    /// The runner names no limit.
    #[default]
    Unlimited,
    /// The node may send a request in each interval.
    Interval(Duration),
    /// The node may send no requests.
    Nothing,
}

/// What the newest response of a runner to any node named.
#[derive(Debug, Clone, Copy)]
struct Observation {
    limit: Option<RequestRate>,
    at: Instant,
}

/// The limit that a runner named last, and this node's share of it.
#[derive(Debug, Default)]
pub(super) struct RunnerLimit {
    newest: Option<Observation>,
    share: Share,
    next_at: Option<Instant>,
    report_rounds_left: u8,
}

impl RunnerLimit {
    /// Records the limit that a response named, or that it named none, unless a newer response is
    /// known; returns whether the limit changed.
    ///
    /// [`Self::set_share`] is due after a change.
    pub(super) fn observe(&mut self, limit: Option<RequestRate>, at: Instant) -> bool {
        let is_outdated = self.newest.is_some_and(|newest| newest.at > at);
        if is_outdated || (self.newest.is_none() && limit.is_none()) {
            return false;
        }
        let changed = self.limit() != limit;
        self.newest = Some(Observation { limit, at });
        changed
    }

    /// Lets the next rounds report the limit.
    pub(super) fn mark_changed(&mut self) {
        self.report_rounds_left = REPORT_ROUNDS;
    }

    /// Computes this node's share of the limit.
    pub(super) fn set_share(&mut self, runner: &RunnerKey, nodes: &NodeList) {
        let limit = self.newest.and_then(|newest| newest.limit);
        self.share = match limit {
            None => Share::Unlimited,
            Some(limit) => node_share(limit, runner, nodes),
        };
        self.next_at = match (self.share, self.next_at, self.newest) {
            // A higher limit shortens the wait.
            (Share::Interval(interval), Some(at), Some(newest)) => {
                Some(at.min(newest.at + interval))
            }
            _ => self.next_at,
        };
    }

    /// Returns the limit, if the runner names one.
    pub(super) fn limit(&self) -> Option<RequestRate> {
        self.newest?.limit
    }

    /// Returns whether the limit admits a request of this node.
    pub(super) fn admission(&self, now: Instant) -> LimitAdmission {
        match (self.share, self.next_at) {
            (Share::Nothing, _) => LimitAdmission::ByOthers,
            (Share::Interval(_), Some(at)) if now < at => LimitAdmission::From(at),
            _ => LimitAdmission::Now,
        }
    }

    /// Records that a request is sent.
    pub(super) fn record_sent(&mut self, now: Instant) {
        if let Share::Interval(interval) = self.share {
            self.next_at = Some(now + interval);
        }
    }

    /// Returns the report of the limit if one is due.
    pub(super) fn due_report(
        &mut self,
        runner: &RunnerKey,
        full: bool,
        now: Instant,
    ) -> Option<LimitReport> {
        let is_due = self.report_rounds_left > 0 || full;
        self.report_rounds_left = self.report_rounds_left.saturating_sub(1);
        self.report(runner, now).filter(|_| is_due)
    }

    /// Returns the report of the limit, or of its end if that was lately.
    pub(super) fn report(&self, runner: &RunnerKey, now: Instant) -> Option<LimitReport> {
        let newest = self.newest?;
        let ago = now.saturating_duration_since(newest.at);
        (newest.limit.is_some() || ago < ENDED_REPORT_TTL).then(|| LimitReport {
            runner: runner.clone(),
            limit: newest.limit,
            observed_ms_ago: u32::try_from(ago.as_millis()).unwrap_or(u32::MAX),
        })
    }
}

/// Returns a node's share of a limit.
///
/// About as many nodes send as the runner takes requests a second, each at an even pace: a share
/// for each of many nodes would be far less than a request in the time that views differ, and
/// requests saved up at all of them could come at once. All nodes rank the senders alike.
fn node_share(limit: RequestRate, runner: &RunnerKey, nodes: &NodeList) -> Share {
    let limit = limit.max(PROBE_RATE);
    let senders = limit.0.div_ceil(1_000) + SPARE_SENDERS;
    let senders = senders.min(nodes.count() as u64);
    let rank = nodes.rank_for(&format!("{}/{}", runner.id, runner.born_unix_ms)) as u64;
    match limit.interval() {
        Some(interval) if rank < senders => Share::Interval(interval.mul_f64(senders as f64)),
        _ => Share::Nothing,
    }
}

/// Counters of limits that runners name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitCounters {
    /// Responses that named a limit.
    pub responses: u64,
    /// First attempts at runners that name a limit.
    pub first_attempts: u64,
    /// Further attempts at runners that name a limit.
    pub retries: u64,
}

impl LimitCounters {
    /// Appends the counters to a page of metrics.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_answers_with_limit_total";
        let help = "Answers of runners that named a limit.";
        text.single(name, "counter", help, self.responses as f64);
        let name = "ggt_tries_at_limited_runners_total";
        let help = "Tries at runners that name a limit.";
        text.begin(name, "counter", help);
        text.value(name, &[("try", "first")], self.first_attempts as f64);
        text.value(name, &[("try", "further")], self.retries as f64);
    }
}
