//! Removes blobs that no retained revision refers to.

use {
    super::{
        PublishError, SNAPSHOTS_KEPT_MAX,
        published_state::{PublishedState, parse_head},
    },
    crate::{
        config::{Blob, Digest, Head, Manifest},
        store::{
            Op, Store, Txn,
            keys::{BLOB_PREFIX, CHAIN_PREFIX, COLLECTION_KEY, blob_key, chain_key},
            prefix_end,
        },
        units::Revision,
    },
    bytes::Bytes,
};

/// The number of blobs listed in one read.
const PAGE_BLOBS: usize = 64;
/// The most pages listed in one collection.
const PAGES_MAX: usize = 128;
/// The most blobs removed in one collection.
const REMOVED_BLOBS_MAX: usize = 64;

/// Removes a limited number of blobs that neither the head nor a retained revision refers to.
///
/// The removal is one transaction, on the condition that the head is unchanged. It also writes the
/// collection key, so that the swap of a concurrent publisher that relies on a removed blob fails
/// and is retried. Returns the number of blobs removed.
///
/// # Errors
///
/// Fails when the key-value service fails, or when a retained revision cannot be read.
pub async fn collect_garbage(store: &dyn Store) -> Result<usize, PublishError> {
    let (state, _) = PublishedState::read(store, Revision::default()).await?;
    let Some(head) = &state.head else {
        return Ok(0);
    };
    let referenced = referenced_digests(store, head).await?;
    let unreferenced = list_unreferenced(store, &referenced).await?;
    if unreferenced.is_empty() {
        return Ok(0);
    }
    let removed = unreferenced.len();
    let mut then: Vec<Op> = unreferenced
        .into_iter()
        .map(|key| Op::Delete { key })
        .collect();
    then.push(Op::Put {
        key: COLLECTION_KEY.to_owned(),
        value: Bytes::new(),
        lease: None,
    });
    let txn = Txn {
        compare: state.unchanged_conditions(),
        then,
        otherwise: Vec::new(),
    };
    let reply = store.txn(txn).await?;
    Ok(if reply.succeeded { removed } else { 0 })
}

/// Returns the digests of all blobs of the retained revisions, sorted.
async fn referenced_digests(store: &dyn Store, head: &Head) -> Result<Vec<Digest>, PublishError> {
    let oldest = head.revision.0.saturating_sub(SNAPSHOTS_KEPT_MAX - 1);
    let start = chain_key(Revision(oldest));
    let end = prefix_end(CHAIN_PREFIX);
    let range = store
        .range_between(&start, &end, SNAPSHOTS_KEPT_MAX as usize + 1)
        .await?;
    let mut manifests = vec![head.digest];
    for entry in &range.entries {
        manifests.push(parse_head(entry)?.digest);
    }
    manifests.sort();
    manifests.dedup();
    let mut referenced = manifests.clone();
    for blob in read_blobs(store, &manifests).await? {
        referenced.extend(Manifest::decode(&blob)?.chunks);
    }
    referenced.sort();
    referenced.dedup();
    Ok(referenced)
}

/// Reads and verifies blobs, and skips absent ones.
async fn read_blobs(store: &dyn Store, digests: &[Digest]) -> Result<Vec<Blob>, PublishError> {
    let get = |digest: &Digest| Op::Get {
        key: blob_key(*digest),
    };
    let txn = Txn {
        then: digests.iter().map(get).collect(),
        ..Txn::default()
    };
    let reads = store.txn(txn).await?.reads;
    let mut blobs = Vec::new();
    for (digest, entry) in digests.iter().zip(reads) {
        // After a restore of the service, blobs of an earlier revision may be missing.
        if let Some(entry) = entry {
            blobs.push(Blob::verify(*digest, entry.value)?);
        }
    }
    Ok(blobs)
}

/// Lists the keys of stored blobs that are not referenced, up to the limits of one collection.
async fn list_unreferenced(
    store: &dyn Store,
    referenced: &[Digest],
) -> Result<Vec<String>, PublishError> {
    let mut start = BLOB_PREFIX.to_owned();
    let end = prefix_end(BLOB_PREFIX);
    let mut unreferenced = Vec::new();
    for _ in 0..PAGES_MAX {
        let range = store.range_between(&start, &end, PAGE_BLOBS).await?;
        let Some(last) = range.entries.last() else {
            break;
        };
        start = format!("{}\0", last.key);
        let keys = range.entries.into_iter().map(|entry| entry.key);
        unreferenced.extend(keys.filter(|key| !is_referenced(key, referenced)));
        if unreferenced.len() >= REMOVED_BLOBS_MAX || !range.more {
            break;
        }
    }
    unreferenced.truncate(REMOVED_BLOBS_MAX);
    Ok(unreferenced)
}

fn is_referenced(key: &str, referenced: &[Digest]) -> bool {
    let digest = key
        .strip_prefix(BLOB_PREFIX)
        .and_then(|text| text.parse().ok());
    digest.is_some_and(|digest| referenced.binary_search(&digest).is_ok())
}
