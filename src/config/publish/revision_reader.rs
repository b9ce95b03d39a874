//! Reads published revisions, also those no longer in force.

use {
    super::{PublishError, published_state::PublishedState},
    crate::{
        config::{Catalog, FetchPolicy, Head, SnapshotError, StoreBlobSource, fetch_snapshot},
        store::Store,
        units::Revision,
    },
};

/// Reads the head and catalog of a published revision.
///
/// Returns `None` for a revision that is not in the chain of heads, and no catalog when its blobs
/// have been removed.
///
/// # Errors
///
/// Fails when the key-value service fails or holds a malformed head or snapshot.
pub async fn read_revision(
    store: &dyn Store,
    revision: Revision,
) -> Result<Option<(Head, Option<Catalog>)>, PublishError> {
    let (_, chain_entry) = PublishedState::read(store, revision).await?;
    let Some(head) = chain_entry else {
        return Ok(None);
    };
    let source = StoreBlobSource::new(store);
    let policy = FetchPolicy::default();
    match fetch_snapshot(head.digest, &[], &[&source], &policy).await {
        Ok(snapshot) => Ok(Some((head, Some(snapshot.decode()?)))),
        Err(SnapshotError::MissingBlob(_)) => Ok(Some((head, None))),
        Err(error) => Err(error.into()),
    }
}
