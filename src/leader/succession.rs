//! Decides from which instant and above which fencing token a new leader may send orders.

use {
    super::{LeaderRecord, StoredLeaderRecord, TermTiming, election_task::ElectionTask},
    crate::store::Compare,
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a process that did not follow the store sends no orders as the successor of its VM's
/// last term: the other nodes write back what the store has lost meanwhile.
pub(super) const UNAWARE_WAIT: Duration = Duration::from_millis(1_500);
/// The longest time from the return of the store until all nodes in touch with it have read it, as
/// each retries its calls at its own pace.
pub(super) const RETRY_TIME_MAX: Duration = Duration::from_secs(1);
/// The largest number of writes that a store loses at once, as far as tokens go: one that a runner
/// rejected is followed by one above all tokens of that many lost writes.
const LOST_WRITES_MAX: u64 = 1 << 14;
/// The upper bound on a wait that was read from a former leader's record.
const STORED_HANDOVER_WAIT_MAX: Duration = Duration::from_secs(300);

impl ElectionTask {
    /// Returns the last leader in the store, and the one with the highest token that this process
    /// has seen, which the store may have lost.
    pub(super) fn last_leaders(&self) -> (Option<StoredLeaderRecord>, Option<StoredLeaderRecord>) {
        let view = self.shared.view();
        (view.last_leader.clone(), view.newest_leader.clone())
    }

    /// Returns the condition that no node has led since the last-leader key was read.
    pub(super) fn last_leader_unchanged(&self, last: Option<&StoredLeaderRecord>) -> Compare {
        let key = self.shared.keys.last_leader.clone();
        match last {
            Some(last) => Compare::ModifiedAt(key, last.version),
            None => Compare::Absent(key),
        }
    }

    /// Returns when this process may send orders after the known leaders, none of which holds the
    /// leader key since `ended_at`.
    pub(super) fn orders_from_after(
        &self,
        known: &[&StoredLeaderRecord],
        ended_at: Instant,
        unaware_wait: Duration,
    ) -> Instant {
        let now = Instant::now();
        let records = known.iter().map(|known| known.record.as_ref());
        if !self.is_own_succession(known) {
            // A leader of the lost history sends orders until it reads the store again.
            let ended_at = match self.is_settled() {
                true => ended_at,
                false => now.max(ended_at + RETRY_TIME_MAX),
            };
            let waits = records.map(|record| self.handover_wait(record));
            return waits.max().map_or(now, |wait| ended_at + wait);
        }
        // The earlier processes on this VM have ended, so all count as one leader.
        let from = records.map(|record| self.orders_from_after_restart(record));
        let from = from.max().unwrap_or(now);
        from.max(self.unaware_until + unaware_wait)
    }

    /// Returns the floor of the next term's token, above the known ones.
    pub(super) fn token_floor(&self, highest: u64) -> u64 {
        let rejected = *self.shared.fenced.borrow();
        match rejected {
            0 => highest,
            rejected if highest > rejected => highest,
            rejected => rejected + LOST_WRITES_MAX,
        }
    }

    /// Returns whether processes of this VM wrote all records of known leaders, and the store has
    /// lost no history in which another node may have led.
    pub(super) fn is_own_succession(&self, known: &[&StoredLeaderRecord]) -> bool {
        let own = &self.shared.own_record;
        let rejected = *self.shared.fenced.borrow();
        let is_own = |known: &&StoredLeaderRecord| known.is_of_vm(own) && known.token() > rejected;
        !known.is_empty() && self.is_settled() && known.iter().all(is_own)
    }

    /// Returns when this process may send orders after an earlier process on the same VM.
    ///
    /// The earlier process may itself have been waiting for its predecessor.
    fn orders_from_after_restart(&self, former: Option<&LeaderRecord>) -> Instant {
        let from_ms = former.map_or(u64::MAX, |record| record.orders_from_boot_ms);
        let wait = Duration::from_millis(from_ms).saturating_sub(self.shared.clock.now());
        Instant::now() + wait.min(self.handover_wait(former))
    }

    /// Returns how long to wait for a former leader, which may have run under other bounds.
    fn handover_wait(&self, former: Option<&LeaderRecord>) -> Duration {
        let timing = self.shared.lease_state().timing;
        let next = TermTiming::for_lease_ttl(timing.lease_ttl, &self.shared.bounds());
        let own = timing.handover_wait.max(next.handover_wait);
        let stored = former.map_or(0, |record| record.handover_ms);
        own.max(Duration::from_millis(stored).min(STORED_HANDOVER_WAIT_MAX))
    }
}
