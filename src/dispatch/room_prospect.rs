//! The decision whether a request waits for a free slot at the runners with its model.

use {
    super::prospect::{Case, Prospect},
    std::time::Duration,
    tokio::time::Instant,
};

/// The share of freed slots that is assumed to remain for less urgent requests.
const OPEN_SHARE_MIN: f64 = 0.05;

/// The ratio of requests to freed slots above which queued requests are refused as overload.
const LOAD_MAX: f64 = 1.1;

/// The number of requests ahead from which the estimated wait is reliable.
const AHEAD_MIN: usize = 2;

/// The share of a request's total waiting time after which it waits only for a slot that is
/// expected soon.
const SHARE_MAX: f64 = 0.5;

impl Case<'_> {
    /// Decides whether the request waits for a free slot.
    ///
    /// Under overload, a request that would miss its target is refused at once, so that later
    /// requests, which can still meet theirs, are served first.
    pub(super) fn room_prospect(&self, retry_at: Option<Instant>) -> Prospect {
        let (service, ask, now) = (self.service, self.ask, self.now);
        let Some(rates) = service.demand.rates_of(ask.model(), ask.priority, now) else {
            let until = self.share_over(SHARE_MAX);
            return match now >= until {
                true => self.refuse(self.left()),
                false => self.wait(until),
            };
        };
        let open_per_s = rates.free_per_s - rates.more_urgent_per_s;
        let open_per_s = open_per_s.max(rates.free_per_s * OPEN_SHARE_MIN);
        let ahead = self.ahead();
        let mut expected = Duration::from_secs_f64((ahead + 1) as f64 / open_per_s);
        if let Some(retry_at) = retry_at.filter(|_| ahead < AHEAD_MIN) {
            expected = expected.min(retry_at.saturating_duration_since(now));
        }
        let due_at = ask.target_at.min(ask.give_up_at);
        let in_time = due_at.saturating_duration_since(service.answer_at(now));
        // Under overload a long queue serves no more than a short one, but delays its refusals.
        let is_pressed = rates.asked_per_s > rates.free_per_s;
        let longest = if is_pressed { in_time / 2 } else { in_time };
        if !in_time.is_zero() && expected <= longest {
            return self.wait(now + in_time);
        }
        let overloaded = ahead >= AHEAD_MIN && rates.asked_per_s > rates.free_per_s * LOAD_MAX;
        let near = expected * 4 <= self.left();
        if overloaded || expected * 2 > self.left() || (now >= self.share_over(SHARE_MAX) && !near)
        {
            return self.refuse(if overloaded { self.left() } else { expected });
        }
        self.wait(now + self.left() / 2)
    }

    /// Returns the number of queued requests for the same model that are served before this one.
    fn ahead(&self) -> usize {
        let answer_at = self.service.answer_at(self.now);
        let (model, rank) = (self.ask.model(), self.ask.rank(self.id, answer_at));
        let waiters = self.service.queue.iter();
        let ahead = waiters.filter(|w| w.ask.model() == model && w.rank(answer_at) < rank);
        ahead.count()
    }
}
