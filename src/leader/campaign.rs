//! Decides how a node acquires the leader key, and when its term has ended.

use {
    super::{
        ClockReading, LeaderRecord, StoredLeaderRecord, TermTiming,
        election_action::{ElectionAction, put, random_below},
        election_task::ElectionTask,
        held_term::HeldTerm,
        succession::{RETRY_TIME_MAX, UNAWARE_WAIT},
    },
    crate::store::{Compare, StoreError, StoreVersion, Txn},
    std::time::Duration,
    tokio::time::Instant,
};

/// The longest random delay before a write of the leader key when no node has led yet.
const FIRST_CAMPAIGN_DELAY_MAX_MS: u64 = 300;
/// The delay before a write of the leader key, for each live node that registered later.
const CAMPAIGN_DELAY_PER_NODE_MS: u64 = 150;
/// The largest number of later registered nodes that add to the delay.
const DELAYING_NODES_MAX: u32 = 6;
/// The extra delay of a node that recently lost the store, so that the last leader, which may have
/// lost the store as well, can write the key first.
const RECONNECT_DELAY: Duration = RETRY_TIME_MAX;

impl ElectionTask {
    /// Chooses the next election action from the leader key as last read, and performs it.
    ///
    /// # Errors
    ///
    /// Fails when the store does.
    pub(super) async fn elect(&mut self) -> Result<(), StoreError> {
        let action = self.choose_action();
        if action.depends_on_view() && !self.has_read_keys_since_doubt() {
            self.shared.reload_keys.notify_one();
            return Ok(());
        }
        if action != ElectionAction::RestoreLastLeader {
            self.restore_at = None;
        }
        match action {
            ElectionAction::Wait => Ok(()),
            ElectionAction::BeginTerm(term) => {
                self.begin_term(term);
                Ok(())
            }
            ElectionAction::ReplaceOwnRecord(former) => self.replace_own_record(former).await,
            ElectionAction::RestoreLastLeader => self.restore_last_leader().await,
            ElectionAction::Campaign => self.campaign().await,
        }
    }

    /// Chooses the election action for the leader key as last read.
    fn choose_action(&mut self) -> ElectionAction {
        self.end_term_of_lost_history();
        let shared = self.shared.clone();
        let view = shared.view();
        if !view.is_loaded {
            return ElectionAction::Wait;
        }
        let Some(stored) = view.leader.clone() else {
            let version = view.version;
            drop(view);
            return self.choose_action_without_leader(version);
        };
        self.campaign_at = None;
        let Some(record) = &stored.record else {
            return ElectionAction::Wait;
        };
        let (token, version) = (stored.token(), view.version);
        let newest = view.newest_leader.as_ref();
        let is_newest = newest.is_none_or(|newest| stored.covers(newest));
        let is_challenged = view.is_leader_challenged();
        let held = HeldTerm {
            token,
            version: stored.version,
            rollbacks: view.rollbacks,
            waits_for_leader: false,
        };
        drop(view);
        let lease_state = shared.lease_state();
        if lease_state.held.is_some_and(|held| held.version > version) {
            // The watch has not reported this node's own write yet.
            return ElectionAction::Wait;
        }
        // A leader key bound to an earlier lease is deleted with that lease; the view may lag.
        let lease = lease_state.lease;
        drop(lease_state);
        let is_bound = lease.is_some_and(|lease| lease.0 == record.lease);
        let is_own = record.is_same_process(&shared.own_record) && is_bound;
        let is_used = token <= self.lost_fencing_token.max(*shared.fenced.borrow());
        if is_own && is_newest && !is_challenged && !is_used {
            return ElectionAction::BeginTerm(held);
        }
        self.end_superseded_term(&held);
        if record.is_same_vm(&shared.own_record) {
            return ElectionAction::ReplaceOwnRecord(stored);
        }
        match is_newest || is_challenged {
            true => ElectionAction::Wait,
            false => ElectionAction::RestoreLastLeader,
        }
    }

    /// Chooses the election action when the leader key is absent as of a store version.
    fn choose_action_without_leader(&mut self, version: StoreVersion) -> ElectionAction {
        let mut lease_state = self.shared.lease_state();
        match lease_state.held {
            // The watch has not reported this node's own write yet.
            Some(held) if held.version > version => return ElectionAction::Wait,
            Some(held) => {
                self.lost_fencing_token = held.token;
                lease_state.held = None;
            }
            None => return ElectionAction::Campaign,
        }
        drop(lease_state);
        log::warn!(
            node:% = self.shared.me.name, led_with = self.lost_fencing_token;
            "leader: the leader key is gone."
        );
        self.shared.publish_term();
        ElectionAction::Campaign
    }

    /// Ends this node's term when a later write replaced its leader key.
    fn end_superseded_term(&mut self, other: &HeldTerm) {
        let mut lease_state = self.shared.lease_state();
        let Some(held) = lease_state.held.take_if(|held| held.token < other.token) else {
            return;
        };
        drop(lease_state);
        self.lost_fencing_token = self.lost_fencing_token.max(held.token);
        log::warn!(
            node:% = self.shared.me.name, led_with = held.token, fencing_token = other.token;
            "leader: another node leads."
        );
        self.shared.publish_term();
    }

    /// Begins the term of this node's write of the leader key; does nothing if it has begun.
    fn begin_term(&mut self, term: HeldTerm) {
        let mut lease_state = self.shared.lease_state();
        if lease_state
            .held
            .is_some_and(|held| held.token >= term.token)
            || lease_state.lease.is_none()
        {
            return;
        }
        lease_state.held = Some(term);
        if let Some(timing) = self.pending_timing.take() {
            lease_state.timing = timing;
        }
        if let Some(from) = self.pending_orders_from.take() {
            lease_state.orders_from = lease_state.orders_from.max(from);
        }
        let unconfirmed =
            ClockReading::now(&self.shared.clock).elapsed_since(lease_state.renewal_sent);
        if !lease_state.timing.is_lease_running(unconfirmed) {
            // The lease may have expired since the leader key was read.
            lease_state
                .renewal_needed_since
                .get_or_insert(Instant::now());
        }
        let wait = lease_state.orders_from.duration_since(Instant::now());
        drop(lease_state);
        log::info!(
            node:% = self.shared.me.name,
            fencing_token = term.token,
            orders_after_ms = wait.as_millis() as u64;
            "leader: this node leads."
        );
        self.shared.publish_term();
    }

    /// Replaces the leader key that this node wrote, in an earlier process or before the store lost
    /// a later leader.
    async fn replace_own_record(&mut self, former: StoredLeaderRecord) -> Result<(), StoreError> {
        let key = self.shared.keys.leader.clone();
        let (last, newest) = self.last_leaders();
        let compare = vec![
            Compare::ModifiedAt(key, former.version),
            self.last_leader_unchanged(last.as_ref()),
        ];
        let known: Vec<_> = last.iter().chain(&newest).chain([&former]).collect();
        let unaware_wait = match self.shared.view().listed_count() {
            0 | 1 => Duration::ZERO,
            _ => UNAWARE_WAIT,
        };
        let orders_from = self.orders_from_after(&known, Instant::now(), unaware_wait);
        let waits_for_leader = !self.is_own_succession(&known);
        self.write_leader_record(compare, orders_from, waits_for_leader)
            .await
    }

    /// Writes the absent leader key once this node's delay has passed.
    async fn campaign(&mut self) -> Result<(), StoreError> {
        let leader_changed_at = self.shared.view().leader_changed_at;
        let (last, newest) = self.last_leaders();
        let known: Vec<_> = last.iter().chain(&newest).collect();
        let is_mine = self.is_own_succession(&known);
        let due_at = match self.campaign_at {
            Some((due_at, known)) if known == leader_changed_at => due_at,
            _ => Instant::now() + self.campaign_delay(!known.is_empty(), is_mine),
        };
        self.campaign_at = Some((due_at, leader_changed_at));
        if Instant::now() < due_at {
            return Ok(());
        }
        let compare = vec![
            Compare::Absent(self.shared.keys.leader.clone()),
            self.last_leader_unchanged(last.as_ref()),
        ];
        let orders_from = self.orders_from_after(&known, leader_changed_at, UNAWARE_WAIT);
        self.write_leader_record(compare, orders_from, !is_mine)
            .await
    }

    /// Returns the delay before this node may write the absent leader key, which spaces the nodes
    /// out and favours the last leader.
    fn campaign_delay(&self, had_leader: bool, is_mine: bool) -> Duration {
        if is_mine {
            return Duration::ZERO;
        }
        if !had_leader {
            return random_below(FIRST_CAMPAIGN_DELAY_MAX_MS);
        }
        let registered_later = self
            .shared
            .view()
            .count_registered_after(&self.shared.me.name);
        let delaying_nodes = u64::from(registered_later.min(DELAYING_NODES_MAX));
        let lost_store = self
            .last_failure_at
            .is_some_and(|at| at.elapsed() < self.shared.lease_state().timing.lease_ttl);
        let reconnect_delay = if lost_store {
            RECONNECT_DELAY
        } else {
            Duration::ZERO
        };
        Duration::from_millis(delaying_nodes * CAMPAIGN_DELAY_PER_NODE_MS)
            + reconnect_delay
            + random_below(CAMPAIGN_DELAY_PER_NODE_MS / 2)
    }

    /// Writes the leader key and the last-leader key in one transaction.
    async fn write_leader_record(
        &mut self,
        compare: Vec<Compare>,
        orders_from: Instant,
        waits_for_leader: bool,
    ) -> Result<(), StoreError> {
        let Some(lease) = self.shared.lease_state().lease else {
            return Ok(());
        };
        // A write whose reply is lost may still succeed; its term begins once the key shows it.
        self.pending_orders_from = Some(
            self.pending_orders_from
                .map_or(orders_from, |from| from.max(orders_from)),
        );
        let lease_time = self.shared.lease_state().timing.lease_ttl;
        let timing = TermTiming::for_lease_ttl(lease_time, &self.shared.bounds());
        let earlier = self.pending_timing;
        self.pending_timing = Some(earlier.map_or(timing, |earlier| earlier.strictest(timing)));
        let keys = &self.shared.keys;
        let from = orders_from.max(self.shared.lease_state().orders_from);
        let wait = from.duration_since(Instant::now());
        let (token_floor, rollbacks) = {
            let view = self.shared.view();
            (self.token_floor(view.highest_token), view.rollbacks)
        };
        let record = &LeaderRecord {
            lease: lease.0,
            orders_from_boot_ms: (self.shared.clock.now() + wait).as_millis() as u64,
            handover_ms: timing.handover_wait.as_millis() as u64,
            token_floor,
            ..self.shared.own_record.clone()
        };
        let txn = Txn {
            compare,
            then: vec![
                put(keys.leader.clone(), record, Some(lease)),
                put(keys.last_leader.clone(), record, None),
            ],
            ..Txn::default()
        };
        let reply = self.shared.store.txn(txn).await?;
        self.campaign_at = None;
        if reply.succeeded {
            let written = StoredLeaderRecord {
                record: Some(record.clone()),
                version: reply.version,
            };
            let term = HeldTerm {
                token: written.token(),
                version: reply.version,
                rollbacks,
                waits_for_leader,
            };
            self.settled_rollbacks = rollbacks;
            self.shared.view().record_leader(written);
            self.begin_term(term);
        } else {
            self.view_doubted_at = Some(Instant::now());
            self.pending_timing = earlier;
        }
        Ok(())
    }
}
