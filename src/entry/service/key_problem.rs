//! Problem documents for requests whose idempotency key does not allow a dispatch.

use {
    crate::{entry::KeyDecision, http::Problem},
    hyper::StatusCode,
    std::time::Duration,
};

/// The `Retry-After` after a failed claim.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Builds the problem document for a key that does not allow a dispatch.
pub(in crate::entry) fn key_problem(decision: &KeyDecision) -> Problem {
    match decision {
        KeyDecision::Used(status) => {
            let detail = "the idempotency key was used before";
            let mut problem = Problem::unknown(StatusCode::CONFLICT, "key-used", detail);
            problem.earlier_status = *status;
            problem
        }
        KeyDecision::ClaimFailed => {
            let detail = "the idempotency key could not be claimed in the store";
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-claim", detail)
                .retry_after(CLAIM_RETRY_AFTER)
        }
        KeyDecision::Forged => {
            let detail = "the idempotency key is not a valid ticket for this service";
            Problem::not_run(StatusCode::BAD_REQUEST, "bad-ticket", detail)
        }
        _ => {
            let detail = "the ticket has expired; it is not known whether it was used";
            Problem::unknown(StatusCode::CONFLICT, "ticket-expired", detail)
        }
    }
}

/// Builds the problem document for a ticket whose entry cannot be reached.
pub(in crate::entry) fn ticket_owner_gone() -> Problem {
    let detail = "the entry that minted the ticket cannot be reached";
    Problem::unknown(StatusCode::BAD_GATEWAY, "ticket-owner-gone", detail)
}
