//! Renews the node's lease, registers the node, and campaigns for the leader key.

use {
    super::{Moment, TenureRules, election_action::put, membership::Shared},
    crate::{
        membership::{Backoff, jittered},
        store::{LeaseId, StoreError, Txn},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// The delay after the first failed store call.
const BACKOFF_FIRST: Duration = Duration::from_millis(150);
/// The longest delay after failed store calls.
const BACKOFF_LONGEST: Duration = Duration::from_millis(700);
/// The shortest time between two iterations of the task's loop.
const PAUSE_MIN: Duration = Duration::from_millis(5);
/// Lease renewals per lease TTL.
const RENEWALS_PER_LEASE: u32 = 3;

/// The task that renews the node's lease, registers the node and campaigns for the leader key.
pub(super) struct Duty {
    pub(super) shared: Arc<Shared>,
    backoff: Backoff,
    registered: Option<LeaseId>,
    renew_at: Instant,
    /// When to write the absent leader key, and since when the key is absent.
    pub(super) contend: Option<(Instant, Instant)>,
    /// When a store call last failed.
    pub(super) failed_at: Option<Instant>,
    /// The newest fencing token that this process held and lost.
    pub(super) lost_token: u64,
    /// When orders may start, for the latest of all writes of the leader key that may yet succeed.
    pub(super) pending_from: Option<Instant>,
    /// The strictest timing of all such writes.
    pub(super) pending_rules: Option<TenureRules>,
}

impl Duty {
    /// Creates the task of a node that is not registered yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            backoff: Backoff::new(BACKOFF_FIRST, BACKOFF_LONGEST),
            registered: None,
            renew_at: Instant::now(),
            contend: None,
            failed_at: None,
            lost_token: 0,
            pending_from: None,
            pending_rules: None,
        }
    }

    /// Runs the loop; never returns.
    pub async fn run(mut self) {
        loop {
            match self.step().await {
                Ok(()) => {
                    self.backoff.reset();
                    self.wait().await;
                }
                Err(error) => {
                    log::debug!("leader: store call failed, retrying: {error}");
                    self.failed_at = Some(Instant::now());
                    tokio::time::sleep(self.backoff.next_pause()).await;
                }
            }
            self.shared.publish_peers();
        }
    }

    async fn wait(&self) {
        let due = match self.contend {
            Some((contend_at, _)) => contend_at.min(self.renew_at),
            None => self.renew_at,
        };
        let due = due.max(Instant::now() + PAUSE_MIN);
        tokio::select! {
            () = sleep_until(due) => {}
            () = self.shared.changed.notified() => {}
        }
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        match self.keep_lease().await {
            // The store deletes the leader key with the expired lease.
            Err(StoreError::LeaseLapsed(_)) => {
                self.drop_lease();
                self.keep_lease().await?;
            }
            kept => kept?,
        }
        let elected = self.elect().await;
        if let Err(StoreError::LeaseLapsed(_)) = elected {
            self.drop_lease();
        }
        elected
    }

    /// Forgets an expired lease, and ends the term that depended on it.
    fn drop_lease(&mut self) {
        self.registered = None;
        let mut standing = self.shared.standing();
        standing.lease = None;
        let token = standing.token.take();
        drop(standing);
        let led_with = token.unwrap_or(0);
        log::warn!(node:% = self.shared.me.name, led_with = led_with; "leader: the lease has lapsed.");
        if let Some(token) = token {
            self.lost_token = token;
            self.shared.view().forget_seat(token, Instant::now());
        }
        self.shared.publish_term();
    }

    /// Grants or renews the lease when due, and registers the node under a new lease.
    async fn keep_lease(&mut self) -> Result<(), StoreError> {
        let lease = self.shared.standing().lease;
        let lease = match lease {
            None => self.grant().await?,
            Some(lease) => {
                let doubtful = self.shared.standing().doubtful_since.is_some();
                if doubtful || Instant::now() >= self.renew_at {
                    let sent = Moment::now(&self.shared.clock);
                    self.shared.store.renew_lease(lease).await?;
                    self.confirm(lease, sent);
                }
                lease
            }
        };
        if self.registered != Some(lease) {
            self.register(lease).await?;
            self.registered = Some(lease);
        }
        Ok(())
    }

    async fn grant(&mut self) -> Result<LeaseId, StoreError> {
        let sent = Moment::now(&self.shared.clock);
        let rules = TenureRules::new(&self.shared.bounds());
        let lease = self.shared.store.grant_lease(rules.lease.as_secs()).await?;
        // Writes bound to an earlier lease can no longer succeed.
        self.pending_rules = None;
        self.shared.standing().rules = rules;
        self.confirm(lease.id, sent);
        Ok(lease.id)
    }

    /// Records a successful grant or renewal that was sent at `sent`.
    fn confirm(&mut self, lease: LeaseId, sent: Moment) {
        let mut standing = self.shared.standing();
        standing.lease = Some(lease);
        standing.confirmed = sent;
        let rules = standing.rules;
        let is_fresh = rules.is_fresh(Moment::now(&self.shared.clock).since(sent));
        standing
            .doubtful_since
            .take_if(|since| is_fresh && sent.at >= *since);
        drop(standing);
        self.renew_at = Instant::now() + jittered(rules.lease / RENEWALS_PER_LEASE);
        self.shared.publish_term();
    }

    async fn register(&self, lease: LeaseId) -> Result<(), StoreError> {
        let key = format!("{}{}", self.shared.keys.nodes, self.shared.me.name);
        let txn = Txn {
            then: vec![put(key, &self.shared.me, Some(lease))],
            ..Txn::default()
        };
        self.shared.store.txn(txn).await?;
        Ok(())
    }
}
