//! The lease that marks an entry VM as live, and its renewal.

use {
    super::{Backoff, Member, with_jitter},
    crate::store::{
        LeaseId, Op, SharedStore, StoreError, Txn,
        keys::{leaving_key, member_key},
    },
    bytes::Bytes,
    std::time::Duration,
    tokio::{sync::watch, time::Instant},
};

/// The delay after the first failed store call.
const BACKOFF_INITIAL: Duration = Duration::from_millis(500);
/// The longest delay after failed store calls.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Lease renewals per lease TTL.
const RENEWALS_PER_TTL: u32 = 3;

/// Registers this VM as a member under a lease, and renews the lease.
pub struct Heartbeat {
    store: SharedStore,
    member: Member,
    ttl_s: u64,
}

impl Heartbeat {
    /// Creates the heartbeat of a member, with the TTL of the lease in seconds.
    pub fn new(store: SharedStore, member: Member, ttl_s: u64) -> Self {
        Self {
            store,
            member,
            ttl_s,
        }
    }

    /// Renews the lease until `stop` turns true, then revokes the lease.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let mut lease_id = None;
        tokio::select! {
            () = self.maintain_lease(&mut lease_id) => {}
            _ = stop.wait_for(|stopping| *stopping) => {}
        }
        if let Some(lease) = lease_id {
            let _ = self.deregister(lease).await;
        }
    }

    /// Marks this VM as leaving, so that other members skip its removal grace, and revokes the
    /// lease.
    async fn deregister(&self, lease: LeaseId) -> Result<(), StoreError> {
        let key = leaving_key(&self.member.vm);
        let value = Bytes::from(self.member.incarnation.to_string());
        self.store.txn(put_txn(key, value, lease)).await?;
        self.store.revoke_lease(lease).await
    }

    /// Registers the member and renews the lease, whose id `lease_id` holds while it may be valid.
    async fn maintain_lease(&self, lease_id: &mut Option<LeaseId>) {
        let mut backoff = Backoff::new(BACKOFF_INITIAL, BACKOFF_MAX);
        let ttl = Duration::from_secs(self.ttl_s);
        let mut renewed_at = Instant::now();
        loop {
            if renewed_at.elapsed() > ttl {
                // The lease has expired by now, so a renewal would be a wasted call.
                *lease_id = None;
            }
            let result = match *lease_id {
                None => self.register().await.map(|lease| *lease_id = Some(lease)),
                Some(lease) => self.store.renew_lease(lease).await,
            };
            let delay = match result {
                Ok(()) => {
                    renewed_at = Instant::now();
                    backoff.reset();
                    with_jitter(ttl / RENEWALS_PER_TTL)
                }
                Err(StoreError::LeaseLapsed(_)) => {
                    log::warn!("membership: the lease has expired; registering again.");
                    *lease_id = None;
                    Duration::ZERO
                }
                Err(error) => {
                    log::warn!("membership: heartbeat failed, retrying: {error}");
                    backoff.next_delay()
                }
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Grants a lease and writes the member's key under the lease.
    async fn register(&self) -> Result<LeaseId, StoreError> {
        let lease = self.store.grant_lease(self.ttl_s).await?;
        let value = serde_json::to_vec(&self.member)
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let key = member_key(&self.member.vm);
        self.store
            .txn(put_txn(key, Bytes::from(value), lease.id))
            .await?;
        log::info!("membership: registered {}.", self.member.vm);
        Ok(lease.id)
    }
}

fn put_txn(key: String, value: Bytes, lease: LeaseId) -> Txn {
    let put = Op::Put {
        key,
        value,
        lease: Some(lease),
    };
    Txn {
        then: vec![put],
        ..Txn::default()
    }
}
