//! Renews the node's lease, registers the node, and campaigns for the leader key.

use {
    super::{
        ClockReading, TermTiming, election_action::put, held_term::HeldRegistration,
        membership::SharedState,
    },
    crate::{
        membership::{Backoff, with_jitter},
        store::{LeaseId, StoreError, Txn},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// The delay after the first failed store call.
const BACKOFF_INITIAL: Duration = Duration::from_millis(150);
/// The longest delay after failed store calls.
const BACKOFF_MAX: Duration = Duration::from_millis(700);
/// The shortest time between two iterations of the task's loop.
const LOOP_INTERVAL_MIN: Duration = Duration::from_millis(5);
/// Lease renewals per lease TTL.
const RENEWALS_PER_LEASE: u32 = 3;

/// The task that renews the node's lease, registers the node and campaigns for the leader key.
pub(super) struct ElectionTask {
    pub(super) shared: Arc<SharedState>,
    backoff: Backoff,
    /// The node's registration, once written under the present lease.
    pub(super) registered: Option<HeldRegistration>,
    renew_at: Instant,
    /// When the process started or last found that its lease had lapsed; until then another node
    /// may have led unseen.
    pub(super) unaware_until: Instant,
    /// When to write the absent leader key, and since when the key is absent.
    pub(super) campaign_at: Option<(Instant, Instant)>,
    /// How often the store had gone back to an older copy when this process last wrote the leader
    /// key.
    pub(super) settled_rollbacks: u64,
    /// When to write the last-leader key that the store has lost.
    pub(super) restore_at: Option<Instant>,
    /// When a store call last failed.
    pub(super) last_failure_at: Option<Instant>,
    /// When the view of the keys was last in doubt: a store call failed, the lease was lost, or a
    /// write of the leader key met another state than the view.
    pub(super) view_doubted_at: Option<Instant>,
    /// Whether a store call has failed since the leader key was last read.
    pub(super) must_confirm: bool,
    /// The newest fencing token that this process held and lost.
    pub(super) lost_fencing_token: u64,
    /// When orders may start, for the latest of all writes of the leader key that may yet succeed.
    pub(super) pending_orders_from: Option<Instant>,
    /// The strictest timing of all such writes.
    pub(super) pending_timing: Option<TermTiming>,
}

impl ElectionTask {
    /// Creates the task of a node that is not registered yet.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            backoff: Backoff::new(BACKOFF_INITIAL, BACKOFF_MAX),
            registered: None,
            renew_at: Instant::now(),
            unaware_until: Instant::now(),
            campaign_at: None,
            settled_rollbacks: 0,
            restore_at: None,
            last_failure_at: None,
            view_doubted_at: None,
            must_confirm: false,
            lost_fencing_token: 0,
            pending_orders_from: None,
            pending_timing: None,
        }
    }

    /// Runs the loop; never returns.
    pub async fn run(mut self) {
        loop {
            match self.run_once().await {
                Ok(()) => {
                    self.backoff.reset();
                    self.wait_until_due().await;
                }
                Err(error) => {
                    log::debug!("leader: store call failed, retrying: {error}");
                    self.last_failure_at = Some(Instant::now());
                    self.view_doubted_at = self.last_failure_at;
                    self.must_confirm = true;
                    tokio::time::sleep(self.backoff.next_delay()).await;
                }
            }
            self.shared.publish_peers();
        }
    }

    /// Waits until the next renewal or campaign is due, or the cluster view changed.
    async fn wait_until_due(&self) {
        let planned = [self.campaign_at.map(|(due_at, _)| due_at), self.restore_at];
        let due = planned
            .into_iter()
            .flatten()
            .fold(self.renew_at, Instant::min);
        let due = due.max(Instant::now() + LOOP_INTERVAL_MIN);
        let mut fenced = self.shared.fenced.subscribe();
        tokio::select! {
            () = sleep_until(due) => {}
            _ = fenced.changed() => {}
            () = self.shared.wake_election.notified() => {}
        }
    }

    /// Maintains the lease, then performs the next election action.
    async fn run_once(&mut self) -> Result<(), StoreError> {
        self.abandon_lost_lease();
        match self.maintain_lease().await {
            // The store deletes the leader key with the expired lease.
            Err(StoreError::LeaseLapsed(_)) => {
                self.forget_expired_lease();
                self.maintain_lease().await?;
            }
            result => result?,
        }
        let elected = self.elect().await;
        if let Err(StoreError::LeaseLapsed(_)) = elected {
            self.forget_expired_lease();
        }
        elected
    }

    /// Forgets an expired lease, and ends the term that depended on it.
    fn forget_expired_lease(&mut self) {
        self.registered = None;
        self.unaware_until = Instant::now();
        self.view_doubted_at = Some(self.unaware_until);
        let mut lease_state = self.shared.lease_state();
        lease_state.lease = None;
        let held = lease_state.held.take();
        drop(lease_state);
        let led_with = held.map_or(0, |held| held.token);
        log::warn!(node:% = self.shared.me.name, led_with = led_with; "leader: the lease has lapsed.");
        if let Some(held) = held {
            self.lost_fencing_token = self.lost_fencing_token.max(held.token);
            let mut view = self.shared.view();
            if view.rollbacks == held.rollbacks {
                view.remove_leader(held.version, Instant::now());
            }
        }
        self.shared.publish_term();
    }

    /// Grants or renews the lease when due, and registers the node under a new lease.
    async fn maintain_lease(&mut self) -> Result<(), StoreError> {
        let lease = self.shared.lease_state().lease;
        let lease = match lease {
            None => self.grant_lease().await?,
            Some(lease) => {
                let needs_renewal = self.shared.lease_state().renewal_needed_since.is_some();
                if needs_renewal || Instant::now() >= self.renew_at {
                    let sent = ClockReading::now(&self.shared.clock);
                    self.shared.store.renew_lease(lease).await?;
                    if self.must_confirm {
                        self.confirm_leader_key().await?;
                    }
                    self.record_renewal(lease, sent);
                }
                lease
            }
        };
        if self.registered.is_none_or(|known| known.lease != lease) {
            self.registered = Some(self.register_node(lease).await?);
        }
        Ok(())
    }

    /// Grants a new lease under the present bounds.
    async fn grant_lease(&mut self) -> Result<LeaseId, StoreError> {
        let sent = ClockReading::now(&self.shared.clock);
        let timing = TermTiming::new(&self.shared.bounds());
        let lease = self
            .shared
            .store
            .grant_lease(timing.lease_ttl.as_secs())
            .await?;
        // Writes bound to an earlier lease can no longer succeed.
        self.pending_timing = None;
        self.shared.lease_state().timing = timing;
        self.record_renewal(lease.id, sent);
        Ok(lease.id)
    }

    /// Records a successful grant or renewal that was sent at `sent`.
    fn record_renewal(&mut self, lease: LeaseId, sent: ClockReading) {
        let mut lease_state = self.shared.lease_state();
        lease_state.lease = Some(lease);
        lease_state.renewal_sent = sent;
        let timing = lease_state.timing;
        let is_running =
            timing.is_lease_running(ClockReading::now(&self.shared.clock).elapsed_since(sent));
        lease_state
            .renewal_needed_since
            .take_if(|since| is_running && sent.runtime >= *since);
        drop(lease_state);
        self.renew_at = Instant::now() + with_jitter(timing.lease_ttl / RENEWALS_PER_LEASE);
        self.shared.publish_term();
    }

    /// Writes this node's registration key, bound to the lease.
    async fn register_node(&self, lease: LeaseId) -> Result<HeldRegistration, StoreError> {
        let rollbacks = self.shared.view().rollbacks;
        let key = format!("{}{}", self.shared.keys.nodes, self.shared.me.name);
        let txn = Txn {
            then: vec![put(key, &self.shared.me, Some(lease))],
            ..Txn::default()
        };
        let version = self.shared.store.txn(txn).await?.version;
        Ok(HeldRegistration {
            lease,
            version,
            rollbacks,
        })
    }
}
