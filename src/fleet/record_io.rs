//! Reads and writes of runner records that need no ownership.

use {
    super::{RecordError, RunnerRecord, record_key},
    crate::{
        store::{Compare, Entry, Op, SharedStore, StoreVersion, Txn},
        units::RunnerName,
    },
    bytes::Bytes,
};

/// The number of attempts at a change while other processes change the record.
const UPDATE_ATTEMPTS_MAX: usize = 4;

/// Changes a runner's record without owning it; does nothing if there is no record.
///
/// # Errors
///
/// Fails when the store fails or other processes keep changing the record.
pub async fn update_record(
    store: &SharedStore,
    runner: &RunnerName,
    change: impl Fn(&mut RunnerRecord),
) -> Result<(), RecordError> {
    let key = record_key(runner);
    for _ in 0..UPDATE_ATTEMPTS_MAX {
        let Some((before, version)) = read_record(store, &key).await? else {
            return Ok(());
        };
        let mut after = before.clone();
        change(&mut after);
        if after == before {
            return Ok(());
        }
        let put = Op::Put {
            key: key.clone(),
            value: encode_record(&after)?,
            lease: None,
        };
        let txn = Txn {
            compare: vec![version_condition(&key, version)],
            then: vec![put],
            otherwise: Vec::new(),
        };
        if store.txn(txn).await?.succeeded {
            return Ok(());
        }
    }
    Err(RecordError::Conflict)
}

/// Reads the records of several runners at one store version; runners without one are omitted.
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
    reply.reads.iter().flatten().map(decode_record).collect()
}

/// Reads the record under a key, and the store version of its last write.
pub(super) async fn read_record(
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
    reply
        .reads
        .iter()
        .flatten()
        .next()
        .map(decode_record)
        .transpose()
}

/// Returns the condition that a key was last written at a version; version zero means absence.
pub(super) fn version_condition(key: &str, version: StoreVersion) -> Compare {
    if version == StoreVersion::default() {
        return Compare::Absent(key.to_owned());
    }
    Compare::ModifiedAt(key.to_owned(), version)
}

/// Decodes a runner record from a store entry.
///
/// # Errors
///
/// Fails when the value is malformed.
pub fn decode_record(entry: &Entry) -> Result<(RunnerRecord, StoreVersion), RecordError> {
    let record = serde_json::from_slice(&entry.value)
        .map_err(|error| RecordError::Malformed(error.to_string()))?;
    Ok((record, entry.modified))
}

/// Encodes a runner record as a store value.
pub(super) fn encode_record(record: &RunnerRecord) -> Result<Bytes, RecordError> {
    serde_json::to_vec(record)
        .map(Bytes::from)
        .map_err(|error| RecordError::Malformed(error.to_string()))
}
