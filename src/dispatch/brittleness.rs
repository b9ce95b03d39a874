//! Runners that fall over when they reject too many requests within a second.
//!
//! Load pattern: a burst meets runners that say how many rejections a second they bear. When one
//! falls over, its load goes to the next one.

use {super::Candidate, std::time::Duration, tokio::time::Instant};

/// How long a runner counts as brittle after the last response that said so.
const STATEMENT_TTL: Duration = Duration::from_secs(30);

/// The share of a brittle runner's slots that stays free for what other nodes send unseen.
const SPARE_SLOTS_SHARE: f64 = 0.25;

/// The factor by which more requests are expected from other nodes than there are free slots.
const UNSEEN_SAFETY: f64 = 2.0;

/// The share of the rejections that a runner bears which all nodes use together.
const REJECTIONS_SHARE: f64 = 0.5;

/// The shortest time without requests after a brittle runner rejected one of this node.
const HOLD_MIN: Duration = Duration::from_secs(1);

/// The longest time without requests after a brittle runner rejected one of this node.
const HOLD_MAX: Duration = Duration::from_secs(20);

/// What a runner said last of the rejections that it bears.
#[derive(Debug, Clone, Copy)]
struct Statement {
    rejections_per_s: u32,
    /// The number of nodes that share the runner.
    nodes: usize,
    at: Instant,
}

/// Whether a runner falls over when it rejects too much, and this node's rejections there.
#[derive(Debug, Default)]
pub(super) struct Brittleness {
    statement: Option<Statement>,
    /// The end of the time without requests after a rejection.
    held_until: Option<Instant>,
}

impl Brittleness {
    /// Records the rejections a second that a response says the runner bears from all `nodes`;
    /// `None` if the response says nothing, so that the runner is sound.
    pub(super) fn observe(&mut self, rejections_per_s: Option<u32>, nodes: usize, now: Instant) {
        self.statement = rejections_per_s.map(|rejections_per_s| Statement {
            rejections_per_s,
            nodes: nodes.max(1),
            at: now,
        });
        if rejections_per_s.is_none() {
            self.held_until = None;
        }
    }

    /// Records that the runner rejected a request of this node for want of room.
    ///
    /// All nodes together may be rejected as often as the runner bears, so this one waits until the
    /// others had their turn.
    pub(super) fn record_rejection(&mut self, now: Instant) {
        let Some(statement) = self.statement(now) else {
            return;
        };
        let rejections_per_s = REJECTIONS_SHARE * f64::from(statement.rejections_per_s.max(1));
        let turn_s = statement.nodes as f64 / rejections_per_s;
        let hold = Duration::from_secs_f64(turn_s).clamp(HOLD_MIN, HOLD_MAX);
        self.held_until = Some(now + hold);
    }

    /// Returns the end of the time without requests, if it lies ahead.
    pub(super) fn held_until(&self, now: Instant) -> Option<Instant> {
        self.held_until.filter(|until| now < *until)
    }

    /// Returns whether the runner surely has room for a request, as far as this node knows.
    ///
    /// A brittle runner gets no request that would wait there, and from this node no more than
    /// twice its share of the slots. Other nodes may see the same free slots: with `random_share`
    /// from 0 to 1, drawn by each node, about half as many send as there are free slots.
    pub(super) fn has_room(&self, candidate: &Candidate, random_share: f64, now: Instant) -> bool {
        let Some(statement) = self.statement(now) else {
            return true;
        };
        let slots = f64::from(candidate.slots) * (1.0 - SPARE_SLOTS_SHARE);
        let share = (2.0 * slots / statement.nodes as f64).max(1.0);
        let unseen = UNSEEN_SAFETY * random_share * (statement.nodes - 1) as f64;
        f64::from(candidate.total.requests) + unseen < slots.max(1.0)
            && f64::from(candidate.own_requests) < share
    }

    fn statement(&self, now: Instant) -> Option<Statement> {
        self.statement
            .filter(|statement| now < statement.at + STATEMENT_TTL)
    }
}
