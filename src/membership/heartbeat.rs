//! Keeps the lease that marks this VM as alive.

use {
    super::{Backoff, Member, jittered},
    crate::store::{
        LeaseId, Op, SharedStore, StoreError, Txn,
        keys::{leaving_key, member_key},
    },
    bytes::Bytes,
    std::time::Duration,
    tokio::{sync::watch, time::Instant},
};

/// The first pause after a failed call.
const BACKOFF_FIRST: Duration = Duration::from_millis(500);
/// The longest pause after failed calls.
const BACKOFF_LONGEST: Duration = Duration::from_secs(5);
/// Renewals within one TTL of the lease.
const RENEWALS_PER_TTL: u32 = 3;

/// Keeps the lease of this VM and the member entry bound to it.
pub struct Heartbeat {
    store: SharedStore,
    member: Member,
    ttl_s: u64,
}

impl Heartbeat {
    /// Prepares the heartbeat of a member.
    pub fn new(store: SharedStore, member: Member, ttl_s: u64) -> Self {
        Self {
            store,
            member,
            ttl_s,
        }
    }

    /// Keeps the lease until `stop` turns true, then revokes it.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let mut held = None;
        tokio::select! {
            () = self.keep(&mut held) => {}
            _ = stop.wait_for(|stopping| *stopping) => {}
        }
        if let Some(lease) = held {
            let _ = self.leave(lease).await;
        }
    }

    /// Marks this VM as leaving on purpose, so that no one waits for its return.
    async fn leave(&self, lease: LeaseId) -> Result<(), StoreError> {
        let key = leaving_key(&self.member.vm);
        let value = Bytes::from(self.member.incarnation.to_string());
        self.store.txn(put(key, value, lease)).await?;
        self.store.revoke_lease(lease).await
    }

    async fn keep(&self, held: &mut Option<LeaseId>) {
        let mut backoff = Backoff::new(BACKOFF_FIRST, BACKOFF_LONGEST);
        let ttl = Duration::from_secs(self.ttl_s);
        let mut renewed_at = Instant::now();
        loop {
            if renewed_at.elapsed() > ttl {
                // The lease has lapsed by now; asking would be a wasted call.
                *held = None;
            }
            let beat = match *held {
                None => self.join().await.map(|lease| *held = Some(lease)),
                Some(lease) => self.store.renew_lease(lease).await,
            };
            let pause = match beat {
                Ok(()) => {
                    renewed_at = Instant::now();
                    backoff.reset();
                    jittered(ttl / RENEWALS_PER_TTL)
                }
                Err(StoreError::LeaseLapsed(_)) => {
                    log::warn!("membership: the lease has lapsed, joining again.");
                    *held = None;
                    Duration::ZERO
                }
                Err(error) => {
                    log::warn!("membership: heartbeat failed: {error}");
                    backoff.next_pause()
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn join(&self) -> Result<LeaseId, StoreError> {
        let lease = self.store.grant_lease(self.ttl_s).await?;
        let value = serde_json::to_vec(&self.member)
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let key = member_key(&self.member.vm);
        self.store
            .txn(put(key, Bytes::from(value), lease.id))
            .await?;
        log::info!("membership: joined as {}.", self.member.vm);
        Ok(lease.id)
    }
}

fn put(key: String, value: Bytes, lease: LeaseId) -> Txn {
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
