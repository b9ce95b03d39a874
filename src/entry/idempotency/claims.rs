//! Claims idempotency keys in the key-value service, several in one transaction.

use {
    super::{
        claim_batch::{ClaimOutcome, PendingClaim, apply_txn_reply, claim_txn},
        claim_lease::ClaimLease,
        key_cache::KeyDigest,
    },
    crate::{
        store::{SharedStore, StoreError, TxnReply, keys::CLAIMS_PREFIX},
        units::RequestId,
    },
    std::{
        fmt,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{self, Instant},
    },
};

/// The number of shards of keys; each has at most one transaction in flight.
const CLAIM_SHARDS: usize = 8;

/// The most keys claimed in one transaction.
const BATCH_KEYS_MAX: usize = 40;

/// The longest wait for one transaction.
const TXN_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest wait for a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);

/// The attempts with the store unreachable after which a batch of claims fails.
const UNREACHABLE_ATTEMPTS_MAX: u32 = 3;

/// The delay before a failed transaction is retried.
const TXN_RETRY_DELAY: Duration = Duration::from_millis(25);

#[derive(Debug, Default)]
struct ClaimShard {
    waiting: Vec<PendingClaim>,
    writing: bool,
}

/// Claims idempotency keys in the store.
#[derive(Clone)]
pub(super) struct Claims {
    store: SharedStore,
    lease: Arc<ClaimLease>,
    shards: Arc<[Mutex<ClaimShard>; CLAIM_SHARDS]>,
}

impl fmt::Debug for Claims {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Claims")
    }
}

impl Claims {
    pub(super) fn new(store: SharedStore) -> Self {
        Self {
            store,
            lease: Arc::default(),
            shards: Arc::default(),
        }
    }

    /// Claims a key for a request.
    pub(super) async fn claim(&self, digest: &KeyDigest, request: RequestId) -> ClaimOutcome {
        let shard = usize::from(digest[1]) % CLAIM_SHARDS;
        let (reply, outcome) = oneshot::channel();
        let pending = PendingClaim {
            key: format!("{CLAIMS_PREFIX}{shard}/{}", hex::encode(digest)),
            request,
            reply,
        };
        self.enqueue(shard, pending);
        match time::timeout(CLAIM_TIMEOUT, outcome).await {
            Ok(Ok(outcome)) => outcome,
            _ => ClaimOutcome::Unavailable,
        }
    }

    fn enqueue(&self, shard: usize, pending: PendingClaim) {
        let mut state = self.shard(shard);
        state.waiting.push(pending);
        if !state.writing {
            state.writing = true;
            let claims = self.clone();
            tokio::spawn(async move { claims.write_batches(shard).await });
        }
    }

    /// Writes the claims of a shard in batches until no claim waits.
    async fn write_batches(&self, shard: usize) {
        while let Some(batch) = self.next_batch(shard) {
            let unfinished = self.write_batch(batch).await;
            self.shard(shard).waiting.extend(unfinished);
        }
    }

    fn next_batch(&self, shard: usize) -> Option<Vec<PendingClaim>> {
        let mut state = self.shard(shard);
        state.waiting.retain(|claim| !claim.reply.is_closed());
        let size = state.waiting.len().min(BATCH_KEYS_MAX);
        if size == 0 {
            state.writing = false;
            return None;
        }
        Some(state.waiting.drain(..size).collect())
    }

    /// Writes one batch and returns the claims to be retried.
    ///
    /// A transaction whose reply was lost is repeated; the repetition then reads the claims of the
    /// first one.
    async fn write_batch(&self, batch: Vec<PendingClaim>) -> Vec<PendingClaim> {
        let deadline = Instant::now() + CLAIM_TIMEOUT;
        let mut unreachable_attempts = 0;
        while Instant::now() < deadline && unreachable_attempts < UNREACHABLE_ATTEMPTS_MAX {
            match self.try_write(&batch).await {
                Ok(reply) => return apply_txn_reply(batch, &reply),
                Err(StoreError::Unreachable(_)) => unreachable_attempts += 1,
                Err(cause) => {
                    log::debug!("entry: writing idempotency claims to the store failed: {cause}")
                }
            }
            if batch.iter().all(|claim| claim.reply.is_closed()) {
                break;
            }
            time::sleep(TXN_RETRY_DELAY).await;
        }
        for claim in batch {
            let _ = claim.reply.send(ClaimOutcome::Unavailable);
        }
        Vec::new()
    }

    async fn try_write(&self, batch: &[PendingClaim]) -> Result<TxnReply, StoreError> {
        let timed_out = |_| StoreError::Unknown("no response in time".to_owned());
        let lease = time::timeout(TXN_TIMEOUT, self.lease.get_or_grant(&self.store))
            .await
            .map_err(timed_out)??;
        let txn = self.store.txn(claim_txn(batch, lease));
        let written = time::timeout(TXN_TIMEOUT, txn).await.map_err(timed_out)?;
        if matches!(
            written,
            Err(StoreError::LeaseLapsed(_) | StoreError::Refused(_))
        ) {
            self.lease.invalidate(lease).await;
        }
        written
    }

    fn shard(&self, shard: usize) -> MutexGuard<'_, ClaimShard> {
        self.shards[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
