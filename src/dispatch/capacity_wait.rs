//! The decision whether a request waits for a free slot at the runners with its model.

use {
    super::wait_decision::{WaitContext, WaitDecision},
    std::time::Duration,
    tokio::time::Instant,
};

/// The share of freed slots that is assumed to remain for less urgent requests.
const FREE_SHARE_MIN: f64 = 0.05;

/// The ratio of requests to freed slots above which queued requests are refused as overload.
const OVERLOAD_RATIO: f64 = 1.1;

/// The number of requests ahead from which the estimated wait is reliable.
const QUEUE_AHEAD_MIN: usize = 2;

/// The share of a request's total waiting time after which it waits only for a slot that is
/// expected soon.
const CAPACITY_WAIT_SHARE: f64 = 0.5;

impl WaitContext<'_> {
    /// Decides whether the request waits for a free slot.
    ///
    /// Under overload, a request that would miss its target is refused at once, so that later
    /// requests, which can still meet theirs, are served first.
    pub(super) fn decide_capacity_wait(&self, retry_at: Option<Instant>) -> WaitDecision {
        let (service, profile, now) = (self.service, self.profile, self.now);
        let Some(rates) = service
            .demand
            .rates_for(profile.model(), profile.priority, now)
        else {
            let until = self.share_elapsed_at(CAPACITY_WAIT_SHARE);
            return match now >= until {
                true => self.refuse(self.time_left()),
                false => self.wait_until(until),
            };
        };
        let available_per_s = rates.freed_per_s - rates.more_urgent_per_s;
        let available_per_s = available_per_s.max(rates.freed_per_s * FREE_SHARE_MIN);
        let ahead = self.requests_ahead();
        let mut expected = Duration::from_secs_f64((ahead + 1) as f64 / available_per_s);
        if let Some(retry_at) = retry_at.filter(|_| ahead < QUEUE_AHEAD_MIN) {
            expected = expected.min(retry_at.saturating_duration_since(now));
        }
        let target_at = profile.target_at.min(profile.assign_by);
        let time_to_target = target_at.saturating_duration_since(service.expected_response_at(now));
        // Under overload a long queue serves no more than a short one, but delays its refusals.
        let demand_exceeds_service = rates.requested_per_s > rates.freed_per_s;
        let wait_max = if demand_exceeds_service {
            time_to_target / 2
        } else {
            time_to_target
        };
        if !time_to_target.is_zero() && expected <= wait_max {
            return self.wait_until(now + time_to_target);
        }
        let overloaded =
            ahead >= QUEUE_AHEAD_MIN && rates.requested_per_s > rates.freed_per_s * OVERLOAD_RATIO;
        let is_soon = expected * 4 <= self.time_left();
        if overloaded
            || expected * 2 > self.time_left()
            || (now >= self.share_elapsed_at(CAPACITY_WAIT_SHARE) && !is_soon)
        {
            return self.refuse(if overloaded {
                self.time_left()
            } else {
                expected
            });
        }
        self.wait_until(now + self.time_left() / 2)
    }

    /// Returns the number of queued requests for the same model that are served before this one.
    pub(super) fn requests_ahead(&self) -> usize {
        let expected_response_at = self.service.expected_response_at(self.now);
        let (model, rank) = (
            self.profile.model(),
            self.profile.rank(self.id, expected_response_at),
        );
        let requests = self.service.queue.iter();
        let ahead = requests.filter(|other| {
            other.profile.model() == model && other.rank(expected_response_at) < rank
        });
        ahead.count()
    }
}
