//! Fetches a snapshot from peers and the key-value service.

use {
    super::BlobSource,
    crate::config::{Blob, Digest, EncodedSnapshot, Manifest, SnapshotError},
    rand::{Rng, RngExt},
    std::time::Duration,
    tokio::time::timeout,
};

/// How a snapshot is fetched.
#[derive(Debug, Clone)]
pub struct FetchPolicy {
    /// The longest random wait before the first call, so that VMs don't call all at once.
    pub jitter_max_ms: u64,
    /// The longest wait for the answer of one source.
    pub response_timeout_ms: u64,
}

impl Default for FetchPolicy {
    fn default() -> Self {
        Self {
            jitter_max_ms: 500,
            response_timeout_ms: 2000,
        }
    }
}

impl FetchPolicy {
    /// Draws the wait before the first call.
    pub fn random_jitter(&self, rng: &mut impl Rng) -> Duration {
        Duration::from_millis(rng.random_range(0..=self.jitter_max_ms))
    }
}

/// Fetches the snapshot with a digest, asking the sources in turn for what is still missing.
///
/// `held` are blobs that need no fetching, such as those of the configuration in force. Give the
/// peers first and the key-value service last.
///
/// # Errors
///
/// Fails when no source has a blob, or when the manifest is malformed.
pub async fn fetch_snapshot(
    digest: Digest,
    held: &[Blob],
    sources: &[&dyn BlobSource],
    policy: &FetchPolicy,
) -> Result<EncodedSnapshot, SnapshotError> {
    let mut fetch = Fetch {
        held,
        sources,
        policy,
        blobs: Vec::new(),
    };
    fetch.complete(&[digest]).await?;
    let manifest = Manifest::decode(&fetch.blobs[0])?;
    fetch.complete(&manifest.chunks).await?;
    Ok(EncodedSnapshot::from_blobs(digest, fetch.blobs))
}

struct Fetch<'a> {
    held: &'a [Blob],
    sources: &'a [&'a dyn BlobSource],
    policy: &'a FetchPolicy,
    blobs: Vec<Blob>,
}

impl Fetch<'_> {
    /// Adds the blobs with these digests.
    async fn complete(&mut self, wanted: &[Digest]) -> Result<(), SnapshotError> {
        let mut missing = wanted.to_vec();
        missing.sort();
        self.take(self.held.to_vec(), &mut missing);
        for source in self.sources {
            if missing.is_empty() {
                break;
            }
            let fetched = self.ask(*source, &missing).await;
            self.take(fetched, &mut missing);
        }
        match missing.first() {
            Some(digest) => Err(SnapshotError::MissingBlob(*digest)),
            None => Ok(()),
        }
    }

    /// Adds those of some blobs that are missing.
    fn take(&mut self, blobs: Vec<Blob>, missing: &mut Vec<Digest>) {
        for blob in blobs {
            if let Ok(position) = missing.binary_search(&blob.digest()) {
                missing.remove(position);
                self.blobs.push(blob);
            }
        }
    }

    /// Returns what one source has, or nothing when it fails.
    async fn ask(&self, source: &dyn BlobSource, missing: &[Digest]) -> Vec<Blob> {
        let limit = Duration::from_millis(self.policy.response_timeout_ms);
        match timeout(limit, source.fetch(missing)).await {
            Ok(Ok(blobs)) => blobs,
            Ok(Err(error)) => {
                log::debug!("config: a source of blobs failed: {error}");
                Vec::new()
            }
            Err(_) => {
                log::debug!("config: a source of blobs gave no answer in time.");
                Vec::new()
            }
        }
    }
}
