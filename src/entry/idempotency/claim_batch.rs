//! The store transaction that claims several idempotency keys at once.

use {
    crate::{
        store::{Compare, Entry as StoreEntry, LeaseId, Op, Txn, TxnReply},
        units::RequestId,
    },
    bytes::Bytes,
    tokio::sync::oneshot,
};

/// The outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimOutcome {
    /// The key is claimed for the request.
    Claimed,
    /// Another request has claimed the key; `None` if its record cannot be read.
    ClaimedByOther(Option<RequestId>),
    /// The store could not be reached or did not reply in time.
    Unavailable,
}

/// A claim that waits for its transaction, with the channel for its outcome.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) key: String,
    pub(super) request: RequestId,
    pub(super) reply: oneshot::Sender<ClaimOutcome>,
}

/// Builds the transaction: if no key is claimed yet, claims all of them, else reads the existing
/// claims.
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

/// Sends the waiting requests the outcome of their claims; returns the claims to be retried.
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
