//! Reads revisions that are not in force any more.

use {
    super::{PublishError, published_state::Base},
    crate::{
        config::{Catalog, FetchPolicy, Head, SnapshotError, StoreBlobSource, fetch_snapshot},
        store::Store,
        units::Revision,
    },
};

/// Reads a published revision; its objects are `None` once they are not kept any more.
///
/// # Errors
///
/// Fails when the key-value service does or holds what cannot be read.
pub async fn read_revision(
    store: &dyn Store,
    revision: Revision,
) -> Result<Option<(Head, Option<Catalog>)>, PublishError> {
    let (_, link) = Base::read(store, revision).await?;
    let Some(head) = link else {
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
