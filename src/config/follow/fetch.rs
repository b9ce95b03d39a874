//! Fetches a snapshot from other keepers and the key-value service.

use {
    super::BlobSource,
    crate::config::{Blob, Digest, EncodedSnapshot, Manifest, SnapshotError},
    rand::{Rng, RngExt},
    std::time::Duration,
    tokio::time::timeout,
};

/// Timing of snapshot fetches.
#[derive(Debug, Clone)]
pub struct FetchPolicy {
    /// The longest random delay before the first call, so that VMs do not call all at once.
    pub jitter_max_ms: u64,
    /// The time within which one source must respond.
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
    /// Returns a random delay before the first call, up to `jitter_max_ms`.
    pub fn random_jitter(&self, rng: &mut impl Rng) -> Duration {
        Duration::from_millis(rng.random_range(0..=self.jitter_max_ms))
    }
}

/// Fetches the snapshot with a digest, querying the sources in turn for the blobs still missing.
///
/// `held` are blobs that need no fetching, such as those of the configuration in force. List the
/// other keepers first and the key-value service last, so that it is queried only for the blobs
/// that no keeper has.
///
/// # Errors
///
/// Fails when no source provides one of the blobs, or when the manifest is malformed.
pub async fn fetch_snapshot(
    digest: Digest,
    held: &[Blob],
    sources: &[&dyn BlobSource],
    policy: &FetchPolicy,
) -> Result<EncodedSnapshot, SnapshotError> {
    let mut fetch = SnapshotFetch {
        held,
        sources,
        policy,
        blobs: Vec::new(),
    };
    fetch.fetch_blobs(&[digest]).await?;
    let manifest = Manifest::decode(&fetch.blobs[0])?;
    fetch.fetch_blobs(&manifest.chunks).await?;
    Ok(EncodedSnapshot::from_blobs(digest, fetch.blobs))
}

/// One fetch of a snapshot.
struct SnapshotFetch<'a> {
    held: &'a [Blob],
    sources: &'a [&'a dyn BlobSource],
    policy: &'a FetchPolicy,
    blobs: Vec<Blob>,
}

impl SnapshotFetch<'_> {
    /// Fetches the blobs with these digests.
    async fn fetch_blobs(&mut self, digests: &[Digest]) -> Result<(), SnapshotError> {
        let mut missing = digests.to_vec();
        missing.sort();
        self.add_missing(self.held.to_vec(), &mut missing);
        for source in self.sources {
            if missing.is_empty() {
                break;
            }
            let fetched = self.fetch_from(*source, &missing).await;
            self.add_missing(fetched, &mut missing);
        }
        match missing.first() {
            Some(digest) => Err(SnapshotError::MissingBlob(*digest)),
            None => Ok(()),
        }
    }

    /// Adds the blobs that are missing, and ignores all others.
    fn add_missing(&mut self, blobs: Vec<Blob>, missing: &mut Vec<Digest>) {
        for blob in blobs {
            if let Ok(position) = missing.binary_search(&blob.digest()) {
                missing.remove(position);
                self.blobs.push(blob);
            }
        }
    }

    /// Fetches the missing blobs that one source has; returns none when the source fails.
    async fn fetch_from(&self, source: &dyn BlobSource, missing: &[Digest]) -> Vec<Blob> {
        let limit = Duration::from_millis(self.policy.response_timeout_ms);
        match timeout(limit, source.fetch(missing)).await {
            Ok(Ok(blobs)) => blobs,
            Ok(Err(error)) => {
                log::debug!("config: fetching blobs from a source failed: {error}");
                Vec::new()
            }
            Err(_) => {
                log::debug!("config: fetching blobs from a source timed out");
                Vec::new()
            }
        }
    }
}
