//! The published state that a publication is based on.

use {
    super::PublishError,
    crate::{
        config::Head,
        store::{
            Compare, Entry, Op, Store, StoreVersion, Txn,
            keys::{COLLECTION_KEY, HEAD_KEY, chain_key},
        },
        units::Revision,
    },
};

/// The stored head, and the versions of the keys that must be unchanged when it is replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PublishedState {
    /// The head stored in the key-value service.
    pub head: Option<Head>,
    /// The version of the head's key.
    pub head_version: Option<StoreVersion>,
    /// The version of the collection key, which each garbage collection writes.
    pub collection_version: Option<StoreVersion>,
    /// The newest version of the whole key space read before the swap of the head.
    pub version: StoreVersion,
}

impl PublishedState {
    /// Reads the published state and, in the same transaction, one entry of the chain of heads.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service fails or a stored head is malformed.
    pub async fn read(
        store: &dyn Store,
        revision: Revision,
    ) -> Result<(Self, Option<Head>), PublishError> {
        let keys = [
            HEAD_KEY.to_owned(),
            COLLECTION_KEY.to_owned(),
            chain_key(revision),
        ];
        let txn = Txn {
            then: keys.into_iter().map(|key| Op::Get { key }).collect(),
            ..Txn::default()
        };
        let reply = store.txn(txn).await?;
        let mut reads = reply.reads.into_iter();
        let mut next = || reads.next().flatten();
        let (head, collection, chain_entry) = (next(), next(), next());
        let state = Self {
            head: head.as_ref().map(parse_head).transpose()?,
            head_version: head.map(|entry| entry.modified),
            collection_version: collection.map(|entry| entry.modified),
            version: reply.version,
        };
        Ok((state, chain_entry.as_ref().map(parse_head).transpose()?))
    }

    /// Returns the conditions that the head and the collection key are unchanged.
    pub fn unchanged_conditions(&self) -> Vec<Compare> {
        vec![
            version_condition(HEAD_KEY, self.head_version),
            version_condition(COLLECTION_KEY, self.collection_version),
        ]
    }

    /// Returns the stored revision, or zero when there is none.
    pub fn revision(&self) -> Revision {
        let head = self.head.as_ref();
        head.map_or(Revision::default(), |head| head.revision)
    }

    /// Returns the newer of the stored head and a head known from elsewhere.
    pub fn newest(&self, known: Option<Head>) -> Option<Head> {
        let heads = self.head.clone().into_iter().chain(known);
        heads.max_by_key(|head| head.revision)
    }
}

/// Returns the condition that a key still has a version, or is still absent.
fn version_condition(key: &str, version: Option<StoreVersion>) -> Compare {
    match version {
        Some(version) => Compare::ModifiedAt(key.to_owned(), version),
        None => Compare::Absent(key.to_owned()),
    }
}

/// Parses a stored head.
///
/// # Errors
///
/// Fails when the value is not a valid head.
pub(super) fn parse_head(entry: &Entry) -> Result<Head, PublishError> {
    serde_json::from_slice(&entry.value)
        .map_err(|cause| PublishError::MalformedHead(cause.to_string()))
}
