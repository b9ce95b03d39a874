//! Publishes a snapshot by one compare-and-swap of the head.

use {
    super::{
        AUTHOR_MAX_BYTES, HISTORY_MAX_REVISIONS, MESSAGE_MAX_BYTES, Publication, PublishError,
        PublishOutcome,
        blob_writer::write_blobs,
        published_state::{PublishedState, parse_head},
        swap_resolution::{Resolution, resolve_swap},
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

/// The number of attempts of one publication; a concurrent garbage collection or a lost write makes
/// an attempt fail.
const PUBLISH_ATTEMPTS_MAX: u32 = 5;

/// Publishes configurations to the key-value service.
pub struct Publisher {
    store: SharedStore,
}

/// The outcome of one compare-and-swap of the head.
enum SwapOutcome {
    /// The head was replaced.
    Succeeded,
    /// The conditions of the swap failed, or its write was lost.
    Failed,
    /// The reply was lost, and whether the head was replaced cannot be determined.
    Unknown,
}

impl Publisher {
    /// Creates a publisher that writes to a store.
    pub fn new(store: SharedStore) -> Self {
        Self { store }
    }

    /// Publishes a checked configuration as the revision after the newest one.
    ///
    /// `known` returns the newest head received by this VM and the peers that it queried. The new
    /// revision is above that head even while the key-value service holds an older one, as after a
    /// restore from an old copy. An attempt whose publish id is in the chain already counts as
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
        let mut swap_sent = false;
        for _ in 0..PUBLISH_ATTEMPTS_MAX {
            let target = publication.expected.next();
            let (mut state, chain_entry) = PublishedState::read(store, target).await?;
            if let Some(head) = chain_entry.filter(|head| head.publish_id == publication.publish_id)
            {
                return Ok(PublishOutcome::Published(head));
            }
            if let Some(outcome) = early_outcome(&state, publication, known(), swap_sent)? {
                return Ok(outcome);
            }
            state.version = write_blobs(store, &publication.snapshot, &state).await?;
            if let Some(outcome) = early_outcome(&state, publication, known(), swap_sent)? {
                return Ok(outcome);
            }
            let head = publication.head(target);
            swap_sent = true;
            match swap_head(store, &state, &head).await? {
                SwapOutcome::Succeeded => return Ok(PublishOutcome::Published(head)),
                SwapOutcome::Failed => {}
                SwapOutcome::Unknown => return Ok(PublishOutcome::Unknown(publication.publish_id)),
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
    /// Fails when the key-value service fails, or when a stored head or the snapshot is malformed.
    pub async fn restore_head(
        &self,
        head: &Head,
        snapshot: &EncodedSnapshot,
    ) -> Result<bool, PublishError> {
        let store = self.store.as_ref();
        let (mut state, _) = PublishedState::read(store, head.revision).await?;
        if state
            .head
            .as_ref()
            .is_some_and(|stored| stored.revision >= head.revision)
        {
            return Ok(true);
        }
        state.version = write_blobs(store, snapshot, &state).await?;
        Ok(matches!(
            swap_head(store, &state, head).await?,
            SwapOutcome::Succeeded
        ))
    }

    /// Reads the newest head.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service fails or holds a malformed head.
    pub async fn head(&self) -> Result<Option<Head>, PublishError> {
        let (state, _) = PublishedState::read(self.store.as_ref(), Revision::default()).await?;
        Ok(state.head)
    }

    /// Reads the newest heads of the chain, newest first.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service fails or holds a malformed head.
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

/// Checks that a text is neither blank nor too long.
fn check_text(field: &'static str, text: &str, max_bytes: usize) -> Result<(), PublishError> {
    if text.trim().is_empty() || text.len() > max_bytes {
        return Err(PublishError::InvalidText { field, max_bytes });
    }
    Ok(())
}

/// Returns the outcome of a publication that the newest head determines without a further swap.
///
/// A service that holds an older head than the newest known one was restored from an older copy.
/// The restore may have undone a swap of this publication after VMs received its head, so that the
/// outcome is then unknown.
fn early_outcome(
    state: &PublishedState,
    publication: &Publication,
    known: Option<Head>,
    swap_sent: bool,
) -> Result<Option<PublishOutcome>, PublishError> {
    let newer = match find_newer_head(state, publication, known) {
        Err(_) if swap_sent => return Ok(Some(PublishOutcome::Unknown(publication.publish_id))),
        found => found?,
    };
    let Some(newer) = newer else {
        return Ok(None);
    };
    let store_behind = state.revision() < newer.revision;
    Ok(Some(match publication.outcome_for_newer_head(newer) {
        PublishOutcome::Conflict(_) if swap_sent && store_behind => {
            PublishOutcome::Unknown(publication.publish_id)
        }
        outcome => outcome,
    }))
}

/// Returns the newest head if it is newer than the revision that the publication is based on.
fn find_newer_head(
    state: &PublishedState,
    publication: &Publication,
    known: Option<Head>,
) -> Result<Option<Head>, PublishError> {
    let newest = state.newest(known);
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

/// Replaces the head, appends it to the chain and trims the chain, in one transaction.
async fn swap_head(
    store: &dyn Store,
    state: &PublishedState,
    head: &Head,
) -> Result<SwapOutcome, PublishError> {
    let value = serde_json::to_vec(head)
        .map(Bytes::from)
        .map_err(|cause| PublishError::MalformedHead(cause.to_string()))?;
    let mut compare = state.unchanged_conditions();
    compare.push(Compare::Absent(chain_key(head.revision)));
    let txn = Txn {
        compare,
        then: head_writes(head, value),
        otherwise: Vec::new(),
    };
    match store.txn(txn).await {
        Ok(reply) if reply.succeeded => Ok(SwapOutcome::Succeeded),
        Ok(_) => Ok(SwapOutcome::Failed),
        Err(StoreError::Unknown(_)) => Ok(match resolve_swap(store, state, head).await {
            Resolution::Published => SwapOutcome::Succeeded,
            Resolution::NotPublished => SwapOutcome::Failed,
            Resolution::Unknown => SwapOutcome::Unknown,
        }),
        Err(error) => Err(error.into()),
    }
}

/// Returns the writes of a swap: the head, its chain entry, and the removal of expired entries.
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
