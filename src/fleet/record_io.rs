//! Reads and writes runner records in the store, without holding them.

use {
    super::{RecordError, RunnerRecord, record_key},
    crate::{
        store::{Compare, Entry, Op, SharedStore, StoreVersion, Txn},
        units::RunnerName,
    },
    bytes::Bytes,
};

/// How often a sender tries to note that it gave up, while others change the record.
const GIVE_UP_TRIES: usize = 4;

/// Notes in a runner's record that a sender will send none of its orders any more.
///
/// # Errors
///
/// Fails when the store fails or others keep changing the record.
pub async fn give_up(
    store: &SharedStore,
    runner: &RunnerName,
    change: impl Fn(&mut RunnerRecord),
) -> Result<(), RecordError> {
    let key = record_key(runner);
    for _ in 0..GIVE_UP_TRIES {
        let Some((before, version)) = read(store, &key).await? else {
            return Ok(());
        };
        let mut after = before.clone();
        change(&mut after);
        if after == before {
            return Ok(());
        }
        let put = Op::Put {
            key: key.clone(),
            value: encode(&after)?,
            lease: None,
        };
        let txn = Txn {
            compare: vec![unchanged(&key, version)],
            then: vec![put],
            otherwise: Vec::new(),
        };
        if store.txn(txn).await?.succeeded {
            return Ok(());
        }
    }
    Err(RecordError::Contended)
}

/// Reads the records of some runners at one version of the key space.
///
/// # Errors
///
/// Fails when the store fails or a record is malformed.
pub async fn read_records(
    store: &SharedStore,
    runners: &[RunnerName],
) -> Result<Vec<(RunnerRecord, StoreVersion)>, RecordError> {
    let get = |runner| Op::Get {
        key: record_key(runner),
    };
    let txn = Txn {
        then: runners.iter().map(get).collect(),
        ..Txn::default()
    };
    let reply = store.txn(txn).await?;
    reply.reads.iter().flatten().map(decode).collect()
}

pub(super) async fn read(
    store: &SharedStore,
    key: &str,
) -> Result<Option<(RunnerRecord, StoreVersion)>, RecordError> {
    let get = Op::Get {
        key: key.to_owned(),
    };
    let txn = Txn {
        then: vec![get],
        ..Txn::default()
    };
    let reply = store.txn(txn).await?;
    reply.reads.iter().flatten().next().map(decode).transpose()
}

/// Returns the condition that a key was last written at this version; version zero is absence.
pub(super) fn unchanged(key: &str, version: StoreVersion) -> Compare {
    if version == StoreVersion::default() {
        return Compare::Absent(key.to_owned());
    }
    Compare::ModifiedAt(key.to_owned(), version)
}

/// Reads a record out of an entry of the store.
///
/// # Errors
///
/// Fails when the value is no record.
pub fn decode(entry: &Entry) -> Result<(RunnerRecord, StoreVersion), RecordError> {
    let record = serde_json::from_slice(&entry.value)
        .map_err(|error| RecordError::Malformed(error.to_string()))?;
    Ok((record, entry.modified))
}

pub(super) fn encode(record: &RunnerRecord) -> Result<Bytes, RecordError> {
    serde_json::to_vec(record)
        .map(Bytes::from)
        .map_err(|error| RecordError::Malformed(error.to_string()))
}
