//! Determines whether a swap of the head took effect when its reply was lost.

use {
    super::{PublishError, published_state::PublishedState},
    crate::{
        config::Head,
        store::{Op, Store, StoreError, StoreVersion, Txn, keys::COLLECTION_KEY},
    },
    bytes::Bytes,
    std::time::Duration,
};

/// The number of reads after which the outcome is reported as unknown.
const RESOLVE_ATTEMPTS_MAX: u32 = 6;
/// The delay before the second read; it doubles with each further read.
const RESOLVE_BACKOFF_MS: u64 = 100;

/// The outcome of a swap whose reply was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Resolution {
    /// The swap took effect.
    Published,
    /// The swap did not take effect and cannot take effect later.
    NotPublished,
    /// The state of the key-value service does not determine the outcome.
    Unknown,
}

/// Reads the key-value service until the outcome is certain or the attempts are used up.
pub(super) async fn resolve_swap(
    store: &dyn Store,
    state: &PublishedState,
    head: &Head,
) -> Resolution {
    let mut resolver = SwapResolver {
        store,
        state,
        head,
        newest_version: state.version,
        was_restored: false,
    };
    for attempt in 0..RESOLVE_ATTEMPTS_MAX {
        if attempt > 0 {
            let backoff_ms = RESOLVE_BACKOFF_MS << (attempt - 1);
            tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        }
        match resolver.read_outcome().await {
            Ok(Resolution::Unknown) | Err(_) => {}
            Ok(certain) => return certain,
        }
    }
    Resolution::Unknown
}

/// Reads that determine the outcome of one swap.
struct SwapResolver<'a> {
    store: &'a dyn Store,
    /// The published state that the swap was based on.
    state: &'a PublishedState,
    head: &'a Head,
    /// The newest version of the key space that was read.
    newest_version: StoreVersion,
    /// Whether the service was restored from an older copy.
    ///
    /// A restore may undo the swap after VMs received the head. Versions are then assigned again, so
    /// that equal versions prove nothing.
    was_restored: bool,
}

impl SwapResolver<'_> {
    /// Reads the published state once and derives the outcome from it.
    async fn read_outcome(&mut self) -> Result<Resolution, PublishError> {
        let (current, chain_entry) = PublishedState::read(self.store, self.head.revision).await?;
        self.record_version(current.version);
        let publish_id = chain_entry.map(|head| head.publish_id);
        if publish_id == Some(self.head.publish_id) {
            return Ok(Resolution::Published);
        }
        if self.was_restored {
            return Ok(Resolution::Unknown);
        }
        if publish_id.is_some() {
            return Ok(Resolution::NotPublished);
        }
        if current.head != self.state.head || current.head_version != self.state.head_version {
            return Ok(Resolution::Unknown);
        }
        if current.collection_version != self.state.collection_version {
            return Ok(Resolution::NotPublished);
        }
        self.block_late_swap().await
    }

    /// Makes the conditions of a swap that is still in transit fail permanently.
    ///
    /// The swap compares the version of the collection key. A write to that key, on the condition
    /// that the swap has not taken effect, therefore prevents the swap.
    async fn block_late_swap(&mut self) -> Result<Resolution, PublishError> {
        let txn = Txn {
            compare: self.state.unchanged_conditions(),
            then: vec![Op::Put {
                key: COLLECTION_KEY.to_owned(),
                value: Bytes::new(),
                lease: None,
            }],
            otherwise: Vec::new(),
        };
        match self.store.txn(txn).await {
            Ok(reply) => {
                self.record_version(reply.version);
                let blocked = reply.succeeded && !self.was_restored;
                Ok(match blocked {
                    true => Resolution::NotPublished,
                    false => Resolution::Unknown,
                })
            }
            Err(StoreError::Unknown(_)) => Ok(Resolution::Unknown),
            Err(error) => Err(error.into()),
        }
    }

    /// Records a version of the key space; a decrease indicates a restore.
    fn record_version(&mut self, version: StoreVersion) {
        self.was_restored |= version < self.newest_version;
        self.newest_version = self.newest_version.max(version);
    }
}
