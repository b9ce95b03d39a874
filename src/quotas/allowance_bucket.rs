//! The bucket from which a home node hands out the allowance of a workspace.

use {
    super::HomeShare,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// How long a node may keep spare allowance, from when it asked for it.
pub const SPARE_TTL: Duration = Duration::from_secs(2);

/// The time over which the demand is averaged.
const DEMAND_SPAN_S: f64 = 2.0;

/// The longest wait that a refused caller is told.
const WAIT_MAX: Duration = Duration::from_secs(8);

/// The answer of a home to a node that asks for allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowanceAnswer {
    /// At least the wanted amount; what is more is spare.
    Granted(u64),
    /// Nothing; the amount is expected after this time.
    Denied(Duration),
}

/// The answer of a home, with how much of its share the workspace asks for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeAnswer {
    /// What is granted.
    pub answer: AllowanceAnswer,
    /// The demand of the last seconds at all nodes, in thousandths of the quota.
    pub demand_permille: u32,
}

/// A bucket that fills at an even rate, and may be drawn on by one request beyond what it can hold.
#[derive(Debug)]
pub struct AllowanceBucket {
    level: f64,
    /// What was denied and is expected to be asked for again.
    denied: f64,
    /// What was asked for, fading over [`DEMAND_SPAN_S`].
    asked: f64,
    advanced_at: Instant,
    /// The spare allowance with nodes, with when it ends, oldest first.
    spare: VecDeque<(Instant, f64)>,
}

impl AllowanceBucket {
    /// Creates a bucket that was empty at `empty_at`.
    ///
    /// An earlier holder of the same share, or an earlier process, may have handed out all before.
    pub fn new(empty_at: Instant) -> Self {
        Self {
            level: 0.0,
            denied: 0.0,
            asked: 0.0,
            advanced_at: empty_at,
            spare: VecDeque::new(),
        }
    }

    /// Takes `least`, and up to `most` where there is plenty.
    pub fn take(&mut self, least: u64, most: u64, share: &HomeShare, now: Instant) -> HomeAnswer {
        self.advance(share, now);
        let answer = self.answer(least, most, share);
        self.asked += match answer {
            AllowanceAnswer::Granted(amount) => amount as f64,
            AllowanceAnswer::Denied(_) => least as f64,
        };
        let demand = self.asked / DEMAND_SPAN_S / share.rate_per_s;
        HomeAnswer {
            answer,
            demand_permille: (demand * 1_000.0) as u32,
        }
    }

    fn answer(&mut self, least: u64, most: u64, share: &HomeShare) -> AllowanceAnswer {
        let least_amount = least as f64;
        let missing = least_amount.min(share.burst) - self.level;
        if missing > 0.0 {
            let wait_s = (missing + self.denied) / share.rate_per_s;
            self.denied += least_amount;
            let wait_s = wait_s.clamp(0.0, WAIT_MAX.as_secs_f64());
            return AllowanceAnswer::Denied(Duration::from_secs_f64(wait_s));
        }
        self.level -= least_amount;
        let spare = self.spare_amount(most.saturating_sub(least), share);
        if spare > 0 {
            self.level -= spare as f64;
            let end = self.advanced_at + SPARE_TTL;
            self.spare.push_back((end, spare as f64));
        }
        AllowanceAnswer::Granted(least + spare)
    }

    /// Returns the spare allowance to hand out: nothing while the bucket is less than half full, as
    /// other nodes have requests for what is left.
    fn spare_amount(&self, wanted: u64, share: &HomeShare) -> u64 {
        let lent: f64 = self.spare.iter().map(|(_, amount)| amount).sum();
        let room = (share.spare_max - lent).min(self.level - share.burst / 2.0);
        wanted.min(room.max(0.0) as u64)
    }

    fn advance(&mut self, share: &HomeShare, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_at);
        let filled = elapsed.as_secs_f64() * share.rate_per_s;
        self.asked *= (-elapsed.as_secs_f64() / DEMAND_SPAN_S).exp();
        self.advanced_at = self.advanced_at.max(now);
        self.level = (self.level + filled).min(share.burst);
        let denied_max = WAIT_MAX.as_secs_f64() * share.rate_per_s;
        self.denied = (self.denied - filled).clamp(0.0, denied_max);
        while self.spare.front().is_some_and(|(end, _)| *end <= now) {
            self.spare.pop_front();
        }
    }
}
