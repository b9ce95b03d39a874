//! Sources that the blobs of a snapshot are fetched from.

use {
    crate::{
        config::{Blob, Digest},
        store::{Op, Store, StoreError, Txn, keys::blob_key},
    },
    futures::future::{FutureExt, LocalBoxFuture},
    thiserror::Error,
};

/// The number of blobs read in one transaction of the key-value service.
const READ_BATCH_BLOBS: usize = 32;

/// Why blobs could not be fetched from a source.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BlobSourceError {
    /// The call to the key-value service failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The call to the other keeper failed.
    #[error("the other keeper failed: {0}")]
    Peer(String),
}

/// A source of blobs: another keeper or the key-value service.
pub trait BlobSource {
    /// Fetches the requested blobs that the source has; blobs that it lacks are left out.
    ///
    /// # Errors
    ///
    /// Fails when the source does not respond or reports an error.
    fn fetch<'a>(
        &'a self,
        digests: &'a [Digest],
    ) -> LocalBoxFuture<'a, Result<Vec<Blob>, BlobSourceError>>;
}

/// The key-value service as a source of blobs.
pub struct StoreBlobSource<'a> {
    store: &'a dyn Store,
}

impl<'a> StoreBlobSource<'a> {
    /// Creates a source that reads from a store.
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store }
    }

    /// Reads one batch; skips blobs that are absent or fail verification.
    async fn read(&self, digests: &[Digest]) -> Result<Vec<Blob>, BlobSourceError> {
        let get = |digest: &Digest| Op::Get {
            key: blob_key(*digest),
        };
        let txn = Txn {
            then: digests.iter().map(get).collect(),
            ..Txn::default()
        };
        let reads = self.store.txn(txn).await?.reads;
        let read = digests.iter().zip(reads);
        let blobs = read.filter_map(|(digest, entry)| {
            let blob = Blob::verify(*digest, entry?.value);
            blob.inspect_err(|error| log::warn!("config: {error}")).ok()
        });
        Ok(blobs.collect())
    }
}

impl BlobSource for StoreBlobSource<'_> {
    fn fetch<'a>(
        &'a self,
        digests: &'a [Digest],
    ) -> LocalBoxFuture<'a, Result<Vec<Blob>, BlobSourceError>> {
        async move {
            let mut blobs = Vec::new();
            for batch in digests.chunks(READ_BATCH_BLOBS) {
                blobs.extend(self.read(batch).await?);
            }
            Ok(blobs)
        }
        .boxed_local()
    }
}
