//! One transaction that claims several keys.

use {
    crate::{
        store::{Compare, Entry as StoreEntry, LeaseId, Op, Txn, TxnReply},
        units::RequestId,
    },
    bytes::Bytes,
    tokio::sync::oneshot,
};

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimOutcome {
    /// The key is claimed for the request.
    Claimed,
    /// Another request had claimed the key; `None` if its record cannot be read.
    ClaimedByOther(Option<RequestId>),
    /// The store gave no answer in time.
    Unavailable,
}

/// A claim that waits for its transaction.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) key: String,
    pub(super) request: RequestId,
    pub(super) reply: oneshot::Sender<ClaimOutcome>,
}

/// Makes the transaction: all keys are claimed, or the claims that stand are read.
pub(super) fn claim_txn(claims: &[PendingClaim], lease: LeaseId) -> Txn {
    let keys = || claims.iter().map(|claim| claim.key.clone());
    let puts = claims.iter().map(|claim| Op::Put {
        key: claim.key.clone(),
        value: Bytes::from(claim.request.to_string()),
        lease: Some(lease),
    });
    Txn {
        compare: keys().map(Compare::Absent).collect(),
        then: puts.collect(),
        otherwise: keys().map(|key| Op::Get { key }).collect(),
    }
}

/// Tells the waiting requests what became of their claims; returns those that must be tried again.
pub(super) fn apply_txn_reply(claims: Vec<PendingClaim>, reply: &TxnReply) -> Vec<PendingClaim> {
    if reply.succeeded {
        for claim in claims {
            let _ = claim.reply.send(ClaimOutcome::Claimed);
        }
        return Vec::new();
    }
    let mut to_retry = Vec::new();
    for (position, claim) in claims.into_iter().enumerate() {
        match reply.reads.get(position).and_then(Option::as_ref) {
            Some(entry) => {
                let outcome = read_outcome(entry, claim.request);
                let _ = claim.reply.send(outcome);
            }
            None => to_retry.push(claim),
        }
    }
    to_retry
}

fn read_outcome(entry: &StoreEntry, request: RequestId) -> ClaimOutcome {
    let text = std::str::from_utf8(&entry.value).unwrap_or_default();
    match text.parse() {
        Ok(found) if found == request => ClaimOutcome::Claimed,
        Ok(found) => ClaimOutcome::ClaimedByOther(Some(found)),
        Err(_) => ClaimOutcome::ClaimedByOther(None),
    }
}
