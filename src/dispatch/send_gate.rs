//! The decision whether a runner may be sent a request now.

use {
    super::{RunnerHealth, RunnerLimit, brittleness::Brittleness, runner_limit::LimitAdmission},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a peer's report that a runner is leaving counts if no list arrives.
const PEER_LEAVING_TTL: Duration = Duration::from_secs(60);

/// How long a delisted runner's statement that it leaves is kept, against older lists.
const STATEMENT_TTL: Duration = Duration::from_secs(600);

/// Why a runner may not be sent a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenial {
    /// The platform's list lacks the runner.
    Unlisted,
    /// The runner leaves, by its own statement, its entry or a peer's report.
    Leaving,
    /// The runner asked this node for a pause that ends at the instant.
    Paused(Instant),
    /// The runner names a limit, of which this node's share admits a request at the instant, or none.
    Limited(Option<Instant>),
    /// The runner bears few rejections and had no room; it is tried again at the instant.
    Brittle(Instant),
    /// The runner refused or failed requests; `None` while a probe is in flight.
    Ejected(Option<Instant>),
    /// The runner may have restarted with another software version than the stream's.
    OtherSoftware,
}

impl SendDenial {
    /// The labels of the reasons in metrics, in the order of [`Self::index`].
    pub(super) const LABELS: [&'static str; 7] = [
        "unlisted",
        "leaving",
        "paused",
        "limited",
        "brittle",
        "ejected",
        "other_software",
    ];

    /// Returns the position of the reason's label.
    pub(super) fn index(self) -> usize {
        match self {
            Self::Unlisted => 0,
            Self::Leaving => 1,
            Self::Paused(_) => 2,
            Self::Limited(_) => 3,
            Self::Brittle(_) => 4,
            Self::Ejected(_) => 5,
            Self::OtherSoftware => 6,
        }
    }

    /// Returns the label of the reason in metrics and log lines.
    pub fn label(self) -> &'static str {
        Self::LABELS[self.index()]
    }
}

/// What a node knows of the end of a runner.
#[derive(Debug, Default)]
pub(super) struct Departure {
    pub(super) is_listed: bool,
    /// Whether the runner's entry says that it drains.
    pub(super) is_draining: bool,
    /// When a peer last reported that the runner leaves.
    pub(super) reported_at: Option<Instant>,
    /// When a response of the runner first said that it leaves, here or at a peer.
    pub(super) stated_at: Option<Instant>,
}

impl Departure {
    fn is_leaving(&self, now: Instant) -> bool {
        let is_reported = self
            .reported_at
            .is_some_and(|at| now < at + PEER_LEAVING_TTL);
        self.is_draining || self.stated_at.is_some() || is_reported
    }
}

/// All that decides whether this node may send a request to a runner.
#[derive(Debug, Default)]
pub(super) struct SendGate {
    pub(super) departure: Departure,
    /// The end of the pause that the runner asked this node for.
    paused_until: Option<Instant>,
    pub(super) limit: RunnerLimit,
    pub(super) brittleness: Brittleness,
    pub(super) health: RunnerHealth,
}

impl SendGate {
    /// Returns the state of a runner that was just listed.
    pub(super) fn listed(is_draining: bool) -> Self {
        Self {
            departure: Departure {
                is_listed: true,
                is_draining,
                ..Departure::default()
            },
            ..Self::default()
        }
    }

    /// Decides whether a runner may be assigned a request.
    ///
    /// What lasts longest is named first, so that a caller is told the latest time.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub(super) fn check(&self, now: Instant) -> Result<(), SendDenial> {
        self.check_standing(now)?;
        match self.limit.admission(now) {
            LimitAdmission::Now => {}
            LimitAdmission::From(at) => return Err(SendDenial::Limited(Some(at))),
            LimitAdmission::ByOthers => return Err(SendDenial::Limited(None)),
        }
        match self.health.admits(now) {
            true => Ok(()),
            false => Err(SendDenial::Ejected(self.health.ejected_until(now))),
        }
    }

    /// Decides whether a request that was assigned earlier may still be sent.
    ///
    /// The assignment itself used up a share of the limit and may be the probe of the runner.
    /// An ejection that began since is no reason: it is short, and a new choice may find no runner.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub(super) fn check_assigned(&self, now: Instant) -> Result<(), SendDenial> {
        self.check_standing(now)
    }

    /// Returns whether the runner is listed and does not leave.
    pub(super) fn is_staying(&self, now: Instant) -> bool {
        self.departure.is_listed && !self.departure.is_leaving(now)
    }

    /// Returns whether a delisted runner must be remembered, as an older list may bring it back.
    pub(super) fn must_be_kept(&self, now: Instant) -> bool {
        let has_stated = self.departure.stated_at;
        has_stated.is_some_and(|at| now < at + STATEMENT_TTL) || self.paused_until(now).is_some()
    }

    /// Records a pause that the runner asked for; pauses are not shortened.
    ///
    /// Afterwards a single request is sent first, as after an ejection.
    pub(super) fn record_pause(&mut self, pause: Duration, now: Instant) {
        if pause.is_zero() {
            return;
        }
        self.paused_until = self.paused_until.max(Some(now + pause));
        self.health.require_probe();
    }

    /// Returns the end of the pause if there is one now.
    pub(super) fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    fn check_standing(&self, now: Instant) -> Result<(), SendDenial> {
        if !self.departure.is_listed {
            return Err(SendDenial::Unlisted);
        }
        if self.departure.is_leaving(now) {
            return Err(SendDenial::Leaving);
        }
        if let Some(until) = self.paused_until(now) {
            return Err(SendDenial::Paused(until));
        }
        match self.brittleness.held_until(now) {
            Some(until) => Err(SendDenial::Brittle(until)),
            None => Ok(()),
        }
    }
}
