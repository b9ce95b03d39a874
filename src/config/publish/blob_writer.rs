//! Writes the blobs that a new revision needs.

use {
    super::{PublishError, published_state::Base},
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
/// How often one batch is written before the publication fails.
const WRITE_ATTEMPTS_MAX: u32 = 4;
/// The wait before the first repeat; it doubles with each one.
const WRITE_BACKOFF_MS: u64 = 100;

/// Writes the blobs of a snapshot but those that the stored head refers to already.
///
/// A blob that a garbage collection may have removed is written again. Returns the newest version
/// of the key space that was seen.
pub(super) async fn write_blobs(
    store: &dyn Store,
    snapshot: &EncodedSnapshot,
    base: &Base,
) -> Result<StoreVersion, PublishError> {
    let stored = stored_digests(store, base).await?;
    let mut wanted = Manifest::decode(snapshot.blob(snapshot.digest())?)?.chunks;
    wanted.push(snapshot.digest());
    let mut newest = base.version;
    let mut batch = Batch::default();
    for digest in wanted {
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
async fn stored_digests(store: &dyn Store, base: &Base) -> Result<Vec<Digest>, PublishError> {
    let Some(head) = &base.head else {
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

    /// Writes the batch, again when the answer is lost, as blobs are idempotent.
    ///
    /// Returns the version of the key space after it.
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
