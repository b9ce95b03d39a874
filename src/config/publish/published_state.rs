//! The published state that a publication starts from.

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

/// The versions of the keys that a publication must find unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Base {
    /// The head in the key-value service.
    pub head: Option<Head>,
    /// The version of the head's key.
    pub head_version: Option<StoreVersion>,
    /// The version of the last garbage collection.
    pub collection_version: Option<StoreVersion>,
    /// The newest version of the whole key space that was seen before the swap.
    pub version: StoreVersion,
}

impl Base {
    /// Reads the current state and, in the same transaction, one entry of the chain.
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
        let (head, collection, link) = (next(), next(), next());
        let base = Self {
            head: head.as_ref().map(parse_head).transpose()?,
            head_version: head.map(|entry| entry.modified),
            collection_version: collection.map(|entry| entry.modified),
            version: reply.version,
        };
        Ok((base, link.as_ref().map(parse_head).transpose()?))
    }

    /// Returns the conditions under which nothing has changed since.
    pub fn unchanged(&self) -> Vec<Compare> {
        vec![
            at_version(HEAD_KEY, self.head_version),
            at_version(COLLECTION_KEY, self.collection_version),
        ]
    }

    /// Returns the stored revision; zero when there is none.
    pub fn revision(&self) -> Revision {
        let head = self.head.as_ref();
        head.map_or(Revision::default(), |head| head.revision)
    }

    /// Returns the newer of the stored head and one that is known otherwise.
    pub fn newest(&self, known: Option<Head>) -> Option<Head> {
        let heads = self.head.clone().into_iter().chain(known);
        heads.max_by_key(|head| head.revision)
    }
}

fn at_version(key: &str, version: Option<StoreVersion>) -> Compare {
    match version {
        Some(version) => Compare::ModifiedAt(key.to_owned(), version),
        None => Compare::Absent(key.to_owned()),
    }
}

/// Parses a stored head.
pub(super) fn parse_head(entry: &Entry) -> Result<Head, PublishError> {
    serde_json::from_slice(&entry.value)
        .map_err(|cause| PublishError::MalformedHead(cause.to_string()))
}
