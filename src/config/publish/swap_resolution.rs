//! Finds out whether a swap whose answer was lost took effect.

use {
    super::{PublishError, published_state::Base},
    crate::{
        config::Head,
        store::{Op, Store, StoreError, StoreVersion, Txn, keys::COLLECTION_KEY},
    },
    bytes::Bytes,
    std::time::Duration,
};

/// The most reads of the key-value service before the outcome stays unknown.
const RESOLVE_ATTEMPTS_MAX: u32 = 6;
/// The wait before the second question; it doubles with each one.
const RESOLVE_BACKOFF_MS: u64 = 100;

/// What became of a swap whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Resolution {
    /// It took effect.
    Published,
    /// It did not take effect and cannot any more.
    NotPublished,
    /// The key-value service does not tell.
    Unknown,
}

/// Reads until the outcome is certain or the attempts are used up.
pub(super) async fn resolve(store: &dyn Store, base: &Base, head: &Head) -> Resolution {
    let mut inquiry = Inquiry {
        store,
        base,
        head,
        newest_version: base.version,
        went_back: false,
    };
    for attempt in 0..RESOLVE_ATTEMPTS_MAX {
        if attempt > 0 {
            let backoff_ms = RESOLVE_BACKOFF_MS << (attempt - 1);
            tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        }
        match inquiry.ask().await {
            Ok(Resolution::Unknown) | Err(_) => {}
            Ok(certain) => return certain,
        }
    }
    Resolution::Unknown
}

/// The questions about one swap.
struct Inquiry<'a> {
    store: &'a dyn Store,
    base: &'a Base,
    head: &'a Head,
    /// The newest version of the key space that was seen.
    newest_version: StoreVersion,
    /// Whether the service was restored from an older copy, which may have undone the swap after
    /// VMs saw it; versions are given out again then, so that equal ones prove nothing.
    went_back: bool,
}

impl Inquiry<'_> {
    async fn ask(&mut self) -> Result<Resolution, PublishError> {
        let (now, link) = Base::read(self.store, self.head.revision).await?;
        self.note_version(now.version);
        let publish_id = link.map(|link| link.publish_id);
        if publish_id == Some(self.head.publish_id) {
            return Ok(Resolution::Published);
        }
        if self.went_back {
            return Ok(Resolution::Unknown);
        }
        if publish_id.is_some() {
            return Ok(Resolution::NotPublished);
        }
        if now.head != self.base.head || now.head_version != self.base.head_version {
            return Ok(Resolution::Unknown);
        }
        if now.collection_version != self.base.collection_version {
            return Ok(Resolution::NotPublished);
        }
        self.block_late_swap().await
    }

    /// Makes the conditions of a swap that is still under way fail for good.
    ///
    /// The swap compares the version of the collection key, so that a write to that key, made
    /// only while the swap has not taken effect, decides the race.
    async fn block_late_swap(&mut self) -> Result<Resolution, PublishError> {
        let txn = Txn {
            compare: self.base.unchanged(),
            then: vec![Op::Put {
                key: COLLECTION_KEY.to_owned(),
                value: Bytes::new(),
                lease: None,
            }],
            otherwise: Vec::new(),
        };
        match self.store.txn(txn).await {
            Ok(reply) => {
                self.note_version(reply.version);
                let blocked = reply.succeeded && !self.went_back;
                Ok(match blocked {
                    true => Resolution::NotPublished,
                    false => Resolution::Unknown,
                })
            }
            Err(StoreError::Unknown(_)) => Ok(Resolution::Unknown),
            Err(error) => Err(error.into()),
        }
    }

    fn note_version(&mut self, version: StoreVersion) {
        self.went_back |= version < self.newest_version;
        self.newest_version = self.newest_version.max(version);
    }
}
