//! Finds out whether a swap whose answer was lost took effect.

use {
    super::{PublishError, base::Base},
    crate::{
        config::Head,
        store::{Op, Store, StoreError, Txn, keys::COLLECTION_KEY},
    },
    bytes::Bytes,
    std::time::Duration,
};

/// How often the key-value service is asked before the outcome stays unknown.
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

/// Asks until the outcome is certain or the attempts are used up.
pub(super) async fn resolve(store: &dyn Store, base: &Base, head: &Head) -> Resolution {
    for attempt in 0..RESOLVE_ATTEMPTS_MAX {
        if attempt > 0 {
            let backoff_ms = RESOLVE_BACKOFF_MS << (attempt - 1);
            tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        }
        match resolve_once(store, base, head).await {
            Ok(Resolution::Unknown) | Err(_) => {}
            Ok(certain) => return certain,
        }
    }
    Resolution::Unknown
}

async fn resolve_once(
    store: &dyn Store,
    base: &Base,
    head: &Head,
) -> Result<Resolution, PublishError> {
    let (now, link) = Base::read(store, head.revision).await?;
    match link {
        Some(link) if link.publish_id == head.publish_id => return Ok(Resolution::Published),
        Some(_) => return Ok(Resolution::NotPublished),
        None => {}
    }
    let went_back = now.version < base.version;
    if went_back || now.head_version != base.head_version {
        return Ok(Resolution::Unknown);
    }
    if now.collection_version != base.collection_version {
        return Ok(Resolution::NotPublished);
    }
    block_late_swap(store, base).await
}

/// Makes the conditions of a swap that is still under way fail for good.
///
/// The swap compares the version of the collection key, so that a write to that key, made only
/// while the swap has not taken effect, decides the race.
async fn block_late_swap(store: &dyn Store, base: &Base) -> Result<Resolution, PublishError> {
    let txn = Txn {
        compare: base.unchanged(),
        then: vec![Op::Put {
            key: COLLECTION_KEY.to_owned(),
            value: Bytes::new(),
            lease: None,
        }],
        otherwise: Vec::new(),
    };
    match store.txn(txn).await {
        Ok(reply) if reply.succeeded => Ok(Resolution::NotPublished),
        Ok(_) | Err(StoreError::Unknown(_)) => Ok(Resolution::Unknown),
        Err(error) => Err(error.into()),
    }
}
