//! Fetches blobs of configurations from another keeper.

use {
    super::{Credentials, PeerClient},
    crate::config::{Blob, BlobSource, BlobSourceError, Digest},
    futures::future::{FutureExt, LocalBoxFuture},
    std::net::SocketAddr,
};

/// Another keeper as a source of blobs.
#[derive(Debug, Clone)]
pub struct PeerBlobs {
    address: SocketAddr,
    credentials: Credentials,
}

impl PeerBlobs {
    /// Creates a source that fetches from the keeper at `address`.
    pub fn new(address: SocketAddr, credentials: Credentials) -> Self {
        Self {
            address,
            credentials,
        }
    }

    /// Fetches blobs, and drops those whose content doesn't match the digest.
    async fn fetch_verified(&self, digests: &[Digest]) -> Result<Vec<Blob>, BlobSourceError> {
        let failed = |error: super::PeerError| BlobSourceError::Peer(error.to_string());
        let peer = PeerClient::connect(self.address, &self.credentials)
            .await
            .map_err(failed)?;
        let fetched = peer.fetch(digests).await.map_err(failed)?;
        let verified = fetched
            .into_iter()
            .filter_map(|(digest, data)| Blob::verify(digest, data).ok());
        Ok(verified.collect())
    }
}

impl BlobSource for PeerBlobs {
    fn fetch<'a>(
        &'a self,
        digests: &'a [Digest],
    ) -> LocalBoxFuture<'a, Result<Vec<Blob>, BlobSourceError>> {
        self.fetch_verified(digests).boxed_local()
    }
}
