//! Publishes a snapshot by one compare-and-swap of the head.

use {
    super::{
        AUTHOR_MAX_BYTES, HISTORY_MAX_REVISIONS, MESSAGE_MAX_BYTES, Publication, PublishError,
        PublishOutcome,
        blob_writer::write_blobs,
        published_state::{Base, parse_head},
        swap_resolution::{Resolution, resolve},
    },
    crate::{
        config::{EncodedSnapshot, Head},
        store::{
            Compare, Op, SharedStore, Store, StoreError, Txn,
            keys::{CHAIN_PREFIX, HEAD_KEY, chain_key},
        },
        units::Revision,
    },
    bytes::Bytes,
};

/// How often a publication starts over after a garbage collection or a lost write.
const PUBLISH_ATTEMPTS_MAX: u32 = 5;

/// Publishes configurations to the key-value service.
pub struct Publisher {
    store: SharedStore,
}

/// How one swap of the head ended.
enum Swap {
    Done,
    Overtaken,
    Unresolved,
}

impl Publisher {
    /// Publishes to a store.
    pub fn new(store: SharedStore) -> Self {
        Self { store }
    }

    /// Publishes a checked configuration as the revision after the newest one.
    ///
    /// `known` returns the newest head that this VM and the peers that it asked have seen. While
    /// the key-value service holds an older one, as after a restore from an old copy, the new
    /// revision still goes above it. An attempt whose publish id is published already counts as
    /// published.
    ///
    /// # Errors
    ///
    /// Fails when nothing was published and nothing of this attempt will take effect.
    pub async fn publish(
        &self,
        publication: &Publication,
        known: impl Fn() -> Option<Head>,
    ) -> Result<PublishOutcome, PublishError> {
        check_text("author", &publication.author, AUTHOR_MAX_BYTES)?;
        check_text("message", &publication.message, MESSAGE_MAX_BYTES)?;
        let store = self.store.as_ref();
        let mut swapped = false;
        for _ in 0..PUBLISH_ATTEMPTS_MAX {
            let target = publication.expected.next();
            let (mut base, link) = Base::read(store, target).await?;
            if let Some(link) = link.filter(|link| link.publish_id == publication.publish_id) {
                return Ok(PublishOutcome::Published(link));
            }
            if let Some(outcome) = judge(&base, publication, known(), swapped)? {
                return Ok(outcome);
            }
            base.version = write_blobs(store, &publication.snapshot, &base).await?;
            if let Some(outcome) = judge(&base, publication, known(), swapped)? {
                return Ok(outcome);
            }
            let head = publication.head(target);
            swapped = true;
            match swap_head(store, &base, &head).await? {
                Swap::Done => return Ok(PublishOutcome::Published(head)),
                Swap::Overtaken => {}
                Swap::Unresolved => return Ok(PublishOutcome::Unknown(publication.publish_id)),
            }
        }
        Err(PublishError::AttemptsExhausted)
    }

    /// Writes a known head back to a key-value service that was restored from an older copy.
    ///
    /// Returns whether the service now holds that head or a newer one.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service does.
    pub async fn restore_head(
        &self,
        head: &Head,
        snapshot: &EncodedSnapshot,
    ) -> Result<bool, PublishError> {
        let store = self.store.as_ref();
        let (mut base, _) = Base::read(store, head.revision).await?;
        if base
            .head
            .as_ref()
            .is_some_and(|stored| stored.revision >= head.revision)
        {
            return Ok(true);
        }
        base.version = write_blobs(store, snapshot, &base).await?;
        Ok(matches!(swap_head(store, &base, head).await?, Swap::Done))
    }

    /// Reads the newest head.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service does.
    pub async fn head(&self) -> Result<Option<Head>, PublishError> {
        let (base, _) = Base::read(self.store.as_ref(), Revision::default()).await?;
        Ok(base.head)
    }

    /// Reads the newest heads of the chain, newest first.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service does.
    pub async fn history(&self, limit: usize) -> Result<Vec<Head>, PublishError> {
        let limit = limit.min(HISTORY_MAX_REVISIONS as usize);
        let range = self
            .store
            .range(CHAIN_PREFIX, HISTORY_MAX_REVISIONS as usize + 1)
            .await?;
        let newest = range.entries.iter().rev().take(limit);
        newest.map(parse_head).collect()
    }
}

fn check_text(field: &'static str, text: &str, max_bytes: usize) -> Result<(), PublishError> {
    if text.trim().is_empty() || text.len() > max_bytes {
        return Err(PublishError::InvalidText { field, max_bytes });
    }
    Ok(())
}

/// Returns how the publication ends when another head than the expected one is the newest.
///
/// A service that holds less than is known was restored from an older copy, which may have undone
/// a swap of this publication after VMs saw it.
fn judge(
    base: &Base,
    publication: &Publication,
    known: Option<Head>,
    swapped: bool,
) -> Result<Option<PublishOutcome>, PublishError> {
    let newer = match find_newer(base, publication, known) {
        Err(_) if swapped => return Ok(Some(PublishOutcome::Unknown(publication.publish_id))),
        found => found?,
    };
    let Some(newer) = newer else {
        return Ok(None);
    };
    let behind = base.revision() < newer.revision;
    Ok(Some(match publication.outcome_beside(newer) {
        PublishOutcome::Conflict(_) if swapped && behind => {
            PublishOutcome::Unknown(publication.publish_id)
        }
        outcome => outcome,
    }))
}

/// Returns the head that is newer than the one the publication was made from.
fn find_newer(
    base: &Base,
    publication: &Publication,
    known: Option<Head>,
) -> Result<Option<Head>, PublishError> {
    let newest = base.newest(known);
    let newest_revision = newest
        .as_ref()
        .map_or(Revision::default(), |head| head.revision);
    if newest_revision < publication.expected {
        return Err(PublishError::NoSuchRevision {
            expected: publication.expected,
            newest: newest_revision,
        });
    }
    if newest_revision > publication.expected {
        return Ok(newest);
    }
    Ok(None)
}

/// Replaces the head, adds it to the chain and trims the chain, all or nothing.
async fn swap_head(store: &dyn Store, base: &Base, head: &Head) -> Result<Swap, PublishError> {
    let value = serde_json::to_vec(head)
        .map(Bytes::from)
        .map_err(|cause| PublishError::MalformedHead(cause.to_string()))?;
    let mut compare = base.unchanged();
    compare.push(Compare::Absent(chain_key(head.revision)));
    let txn = Txn {
        compare,
        then: head_writes(head, value),
        otherwise: Vec::new(),
    };
    match store.txn(txn).await {
        Ok(reply) if reply.succeeded => Ok(Swap::Done),
        Ok(_) => Ok(Swap::Overtaken),
        Err(StoreError::Unknown(_)) => Ok(match resolve(store, base, head).await {
            Resolution::Published => Swap::Done,
            Resolution::NotPublished => Swap::Overtaken,
            Resolution::Unknown => Swap::Unresolved,
        }),
        Err(error) => Err(error.into()),
    }
}

fn head_writes(head: &Head, value: Bytes) -> Vec<Op> {
    let put = |key: String| Op::Put {
        key,
        value: value.clone(),
        lease: None,
    };
    let mut writes = vec![put(HEAD_KEY.to_owned()), put(chain_key(head.revision))];
    if let Some(oldest_kept) = head.revision.0.checked_sub(HISTORY_MAX_REVISIONS - 1) {
        writes.push(Op::DeleteRange {
            start: CHAIN_PREFIX.to_owned(),
            end: chain_key(Revision(oldest_kept)),
        });
    }
    writes
}
