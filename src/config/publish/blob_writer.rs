//! Writes the blobs of a new revision.

use {
    super::{PublishError, published_state::PublishedState},
    crate::{
        config::{Blob, Digest, EncodedSnapshot, Manifest},
        store::{Op, Store, StoreError, StoreVersion, Txn, keys::blob_key},
    },
    std::time::Duration,
};

/// The most blobs in one transaction.
const BATCH_MAX_BLOBS: usize = 32;
/// The most bytes in one transaction.
const BATCH_MAX_BYTES: usize = 512 * 1024;
/// The number of attempts to write one batch before the publication fails.
const WRITE_ATTEMPTS_MAX: u32 = 4;
/// The delay before the first retry; it doubles with each retry.
const WRITE_BACKOFF_MS: u64 = 100;

/// Writes the blobs of a snapshot, except those that the stored head refers to already.
///
/// Other blobs are written even if they are stored, as a garbage collection may remove them.
/// Returns the newest version of the key space that was read.
///
/// # Errors
///
/// Fails when the key-value service fails or the snapshot is incomplete.
pub(super) async fn write_blobs(
    store: &dyn Store,
    snapshot: &EncodedSnapshot,
    state: &PublishedState,
) -> Result<StoreVersion, PublishError> {
    let stored = stored_digests(store, state).await?;
    let mut digests = Manifest::decode(snapshot.blob(snapshot.digest())?)?.chunks;
    digests.push(snapshot.digest());
    let mut newest = state.version;
    let mut batch = Batch::default();
    for digest in digests {
        if stored.binary_search(&digest).is_ok() {
            continue;
        }
        let blob = snapshot.blob(digest)?;
        if batch.is_full_for(blob) {
            newest = newest.max(batch.write(store).await?);
            batch = Batch::default();
        }
        batch.push(blob);
    }
    Ok(newest.max(batch.write(store).await?))
}

/// Returns the digests that the stored head refers to, sorted.
async fn stored_digests(
    store: &dyn Store,
    state: &PublishedState,
) -> Result<Vec<Digest>, PublishError> {
    let Some(head) = &state.head else {
        return Ok(Vec::new());
    };
    let key = blob_key(head.digest);
    let get = Txn {
        then: vec![Op::Get { key }],
        ..Txn::default()
    };
    let entry = store.txn(get).await?.reads.into_iter().next().flatten();
    let manifest = entry
        .and_then(|entry| Blob::verify(head.digest, entry.value).ok())
        .and_then(|blob| Manifest::decode(&blob).ok());
    let Some(manifest) = manifest else {
        return Ok(Vec::new());
    };
    let mut stored = manifest.chunks;
    stored.push(head.digest);
    stored.sort();
    Ok(stored)
}

/// Blobs that are written in one transaction.
#[derive(Default)]
struct Batch {
    ops: Vec<Op>,
    size_bytes: usize,
}

impl Batch {
    /// Returns whether a blob would exceed the limits of the batch.
    fn is_full_for(&self, blob: &Blob) -> bool {
        let size_bytes = self.size_bytes + blob.data().len();
        self.ops.len() >= BATCH_MAX_BLOBS || size_bytes > BATCH_MAX_BYTES
    }

    fn push(&mut self, blob: &Blob) {
        self.size_bytes += blob.data().len();
        self.ops.push(Op::Put {
            key: blob_key(blob.digest()),
            value: blob.data().clone(),
            lease: None,
        });
    }

    /// Writes the batch and returns the version of the key space after the write.
    ///
    /// A write whose outcome is unknown is retried, as writes of blobs are idempotent.
    ///
    /// # Errors
    ///
    /// Fails when the last attempt fails.
    async fn write(&self, store: &dyn Store) -> Result<StoreVersion, PublishError> {
        if self.ops.is_empty() {
            return Ok(StoreVersion::default());
        }
        let mut attempt = 0;
        loop {
            attempt += 1;
            let txn = Txn {
                then: self.ops.clone(),
                ..Txn::default()
            };
            match store.txn(txn).await {
                Ok(reply) => return Ok(reply.version),
                Err(StoreError::Unknown(_) | StoreError::Unreachable(_))
                    if attempt < WRITE_ATTEMPTS_MAX =>
                {
                    let backoff_ms = WRITE_BACKOFF_MS << (attempt - 1);
                    tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
                }
                Err(error) => return Err(error.into()),
            }
        }
    }
}
