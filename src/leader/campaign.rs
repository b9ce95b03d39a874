//! Decides how a node acquires the leader key, and when its term has ended.

use {
    super::{
        Moment, Seat, StoredSeat, TenureRules,
        election_action::{Election, put, random_below},
        election_task::Duty,
    },
    crate::store::{Compare, StoreError, Txn},
    std::time::Duration,
    tokio::time::Instant,
};

/// The longest random delay before a write of the leader key when no node has led yet.
const FIRST_TRY_MAX_MS: u64 = 300;
/// The delay before a write of the leader key, for each live node that registered later.
const TURN_MS: u64 = 150;
/// The largest number of later registered nodes that add to the delay.
const TURNS_MAX: u32 = 6;
/// The upper bound on a wait that was read from a former leader's record.
const HANDOVER_MAX: Duration = Duration::from_secs(300);
/// The extra delay of a node that recently lost the store, so that the last leader, which may have
/// lost the store as well, can write the key first.
const REUNION_MS: u64 = 1_000;

impl Duty {
    /// Chooses the next election action from the leader key as last read, and performs it.
    ///
    /// # Errors
    ///
    /// Fails when the store does.
    pub(super) async fn elect(&mut self) -> Result<(), StoreError> {
        match self.look() {
            Election::Wait => Ok(()),
            Election::Adopt(token) => {
                self.adopt(token);
                Ok(())
            }
            Election::Inherit(former) => self.inherit(former).await,
            Election::Contend => self.contend().await,
        }
    }

    /// Chooses the election action for the leader key as last read.
    fn look(&mut self) -> Election {
        let shared = self.shared.clone();
        let view = shared.view();
        if !view.is_read {
            return Election::Wait;
        }
        let Some(stored) = &view.seat else {
            let version = view.version.0.unsigned_abs();
            drop(view);
            return self.look_at_empty_seat(version);
        };
        self.contend = None;
        let Some(seat) = &stored.seat else {
            return Election::Wait;
        };
        let token = stored.version.0.unsigned_abs();
        // A leader key bound to an earlier lease is deleted with that lease; the view may lag.
        let lease = shared.standing().lease;
        let is_bound = lease.is_some_and(|lease| lease.0 == seat.lease);
        if seat.is_same_start(&shared.seat) && is_bound {
            return match token > self.lost_token {
                true => Election::Adopt(token),
                false => Election::Wait,
            };
        }
        let stored = stored.clone();
        let is_mine = seat.is_same_vm(&shared.seat);
        drop(view);
        self.yield_seat(token);
        match is_mine {
            true => Election::Inherit(stored),
            false => Election::Wait,
        }
    }

    /// Chooses the election action when the leader key is absent as of a store version.
    fn look_at_empty_seat(&mut self, version: u64) -> Election {
        let mut standing = self.shared.standing();
        match standing.token {
            // The watch has not reported this node's own write yet.
            Some(token) if token > version => return Election::Wait,
            Some(token) => {
                self.lost_token = token;
                standing.token = None;
            }
            None => return Election::Contend,
        }
        drop(standing);
        log::warn!(
            node:% = self.shared.me.name, led_with = self.lost_token;
            "leader: the seat is gone."
        );
        self.shared.publish_term();
        Election::Contend
    }

    /// Ends this node's term when a later write replaced its leader key.
    fn yield_seat(&self, token: u64) {
        let mut standing = self.shared.standing();
        if standing.token.is_none_or(|mine| mine >= token) {
            return;
        }
        standing.token = None;
        drop(standing);
        log::warn!(
            node:% = self.shared.me.name, fencing_token = token;
            "leader: another node leads."
        );
        self.shared.publish_term();
    }

    /// Begins the term of this node's write of the leader key; does nothing if it has begun.
    fn adopt(&mut self, token: u64) {
        let mut standing = self.shared.standing();
        if standing.token.is_some_and(|known| known >= token) || standing.lease.is_none() {
            return;
        }
        standing.token = Some(token);
        if let Some(rules) = self.pending_rules.take() {
            standing.rules = rules;
        }
        if let Some(from) = self.pending_from.take() {
            standing.orders_from = standing.orders_from.max(from);
        }
        let unconfirmed = Moment::now(&self.shared.clock).since(standing.confirmed);
        if !standing.rules.is_fresh(unconfirmed) {
            // The lease may have expired since the leader key was read.
            standing.doubtful_since.get_or_insert(Instant::now());
        }
        let wait = standing.orders_from.duration_since(Instant::now());
        drop(standing);
        log::info!(
            node:% = self.shared.me.name,
            fencing_token = token,
            orders_after_ms = wait.as_millis() as u64;
            "leader: this node leads."
        );
        self.shared.publish_term();
    }

    /// Replaces the leader key that an earlier process of this node wrote.
    async fn inherit(&mut self, former: StoredSeat) -> Result<(), StoreError> {
        let key = self.shared.keys.leader.clone();
        let compare = vec![Compare::ModifiedAt(key, former.version)];
        // The earlier process on this VM has ended, so both count as one leader.
        let orders_from = self.take_over(former.seat.as_ref());
        self.take(compare, orders_from).await
    }

    /// Writes the absent leader key once this node's delay has passed.
    async fn contend(&mut self) -> Result<(), StoreError> {
        let (since, last) = {
            let view = self.shared.view();
            (view.since, view.last.clone())
        };
        let is_mine = last.as_ref().is_some_and(|last| {
            let seat = last.seat.as_ref();
            seat.is_some_and(|seat| seat.is_same_vm(&self.shared.seat))
        });
        let contend_at = match self.contend {
            Some((contend_at, known)) if known == since => contend_at,
            _ => Instant::now() + self.pause_before_try(last.is_some(), is_mine),
        };
        self.contend = Some((contend_at, since));
        if Instant::now() < contend_at {
            return Ok(());
        }
        let keys = &self.shared.keys;
        let last_key = keys.last_leader.clone();
        let compare = vec![
            Compare::Absent(keys.leader.clone()),
            match &last {
                Some(last) => Compare::ModifiedAt(last_key, last.version),
                None => Compare::Absent(last_key),
            },
        ];
        let orders_from = match last {
            Some(last) if is_mine => self.take_over(last.seat.as_ref()),
            Some(last) => since + self.handover(last.seat.as_ref()),
            None => Instant::now(),
        };
        self.take(compare, orders_from).await
    }

    /// Returns the delay before this node may write the absent leader key, which spaces the nodes
    /// out and favours the last leader.
    fn pause_before_try(&self, had_leader: bool, is_mine: bool) -> Duration {
        if is_mine {
            return Duration::ZERO;
        }
        if !had_leader {
            return random_below(FIRST_TRY_MAX_MS);
        }
        let younger = self.shared.view().count_younger(&self.shared.me.name);
        let turns = u64::from(younger.min(TURNS_MAX));
        let lost_touch = self
            .failed_at
            .is_some_and(|at| at.elapsed() < self.shared.standing().rules.lease);
        let reunion_ms = if lost_touch { REUNION_MS } else { 0 };
        Duration::from_millis(turns * TURN_MS + reunion_ms) + random_below(TURN_MS / 2)
    }

    /// Returns when this process may send orders after an earlier process on the same VM.
    ///
    /// The earlier process may itself have been waiting for its predecessor.
    fn take_over(&self, former: Option<&Seat>) -> Instant {
        let from_ms = former.map_or(u64::MAX, |seat| seat.orders_from_boot_ms);
        let wait = Duration::from_millis(from_ms).saturating_sub(self.shared.clock.now());
        Instant::now() + wait.min(self.handover(former))
    }

    /// Returns how long to wait for a former leader, which may have run under other bounds.
    fn handover(&self, former: Option<&Seat>) -> Duration {
        let rules = self.shared.standing().rules;
        let next = TenureRules::within(rules.lease, &self.shared.bounds());
        let own = rules.handover.max(next.handover);
        let told = former.map_or(0, |seat| seat.handover_ms);
        own.max(Duration::from_millis(told).min(HANDOVER_MAX))
    }

    /// Writes the leader key and the last-leader key in one transaction.
    async fn take(
        &mut self,
        compare: Vec<Compare>,
        orders_from: Instant,
    ) -> Result<(), StoreError> {
        let Some(lease) = self.shared.standing().lease else {
            return Ok(());
        };
        // A write whose reply is lost may still succeed; its term begins once the key shows it.
        self.pending_from = Some(
            self.pending_from
                .map_or(orders_from, |from| from.max(orders_from)),
        );
        let lease_time = self.shared.standing().rules.lease;
        let rules = TenureRules::within(lease_time, &self.shared.bounds());
        let earlier = self.pending_rules;
        self.pending_rules = Some(earlier.map_or(rules, |earlier| earlier.strictest(rules)));
        let keys = &self.shared.keys;
        let from = orders_from.max(self.shared.standing().orders_from);
        let wait = from.duration_since(Instant::now());
        let seat = &Seat {
            lease: lease.0,
            orders_from_boot_ms: (self.shared.clock.now() + wait).as_millis() as u64,
            handover_ms: rules.handover.as_millis() as u64,
            ..self.shared.seat.clone()
        };
        let txn = Txn {
            compare,
            then: vec![
                put(keys.leader.clone(), seat, Some(lease)),
                put(keys.last_leader.clone(), seat, None),
            ],
            ..Txn::default()
        };
        let reply = self.shared.store.txn(txn).await?;
        // After a failed comparison, the watch reports the write that came first.
        self.contend = None;
        if reply.succeeded {
            self.adopt(reply.version.0.unsigned_abs());
        } else {
            self.pending_rules = earlier;
        }
        Ok(())
    }
}
