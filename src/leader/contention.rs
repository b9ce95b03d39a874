//! How a node comes to the leader key, and gives it up.

use {
    super::{
        Moment, Seat, StoredSeat, TenureRules,
        duty::Duty,
        election::{Election, put, random_below},
    },
    crate::store::{Compare, StoreError, Txn},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long nodes wait at most for one another on the first start.
const FIRST_TRY_MAX_MS: u64 = 300;
/// The time by which a node lets each younger one go first.
const TURN_MS: u64 = 150;
/// The largest number of younger nodes that a node lets go first.
const TURNS_MAX: u32 = 6;
/// The longest wait for a former holder that a seat can ask for.
const HANDOVER_MAX: Duration = Duration::from_secs(300);
/// How long a node that lost touch with the store lets the last leader come back first.
const REUNION_MS: u64 = 1_000;

impl Duty {
    /// Decides about the leader key as last read, and acts on it.
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

    /// Decides what to do about the leader key, as last read.
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
        // A seat of an earlier lease is gone, or goes with it; the view may be behind.
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

    /// Decides about a seat that is empty as of a version.
    fn look_at_empty_seat(&mut self, version: u64) -> Election {
        let mut standing = self.shared.standing();
        match standing.token {
            // The watch has not come to this node's own write yet.
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

    /// Gives up the seat when another write holds it.
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
            // The lease may have lapsed since the seat was read.
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

    async fn inherit(&mut self, former: StoredSeat) -> Result<(), StoreError> {
        let key = self.shared.keys.leader.clone();
        let compare = vec![Compare::ModifiedAt(key, former.version)];
        // Both starts are one holder, and the earlier one is over.
        let orders_from = self.take_over(former.seat.as_ref());
        self.take(compare, orders_from).await
    }

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

    /// Returns how long this node lets others go first.
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

    /// Returns from when on this start may order after an earlier one of the same VM, which may
    /// itself have had to wait for its predecessor.
    fn take_over(&self, former: Option<&Seat>) -> Instant {
        let from_ms = former.map_or(u64::MAX, |seat| seat.orders_from_boot_ms);
        let wait = Duration::from_millis(from_ms).saturating_sub(self.shared.clock.now());
        Instant::now() + wait.min(self.handover(former))
    }

    /// Returns how long to wait for a former holder, whose bounds may have been others.
    fn handover(&self, former: Option<&Seat>) -> Duration {
        let rules = self.shared.standing().rules;
        let next = TenureRules::within(rules.lease, &self.shared.bounds());
        let own = rules.handover.max(next.handover);
        let told = former.map_or(0, |seat| seat.handover_ms);
        own.max(Duration::from_millis(told).min(HANDOVER_MAX))
    }

    /// Writes the leader key, and with it who led last.
    async fn take(
        &mut self,
        compare: Vec<Compare>,
        orders_from: Instant,
    ) -> Result<(), StoreError> {
        let Some(lease) = self.shared.standing().lease else {
            return Ok(());
        };
        // A try whose answer is lost may still succeed, and is adopted when the key shows it.
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
        // After a refusal the watch brings the write that went before.
        self.contend = None;
        if reply.succeeded {
            self.adopt(reply.version.0.unsigned_abs());
        } else {
            self.pending_rules = earlier;
        }
        Ok(())
    }
}
