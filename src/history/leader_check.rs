//! Judges who ordered: one holder at a time, under fencing tokens that only rise.

use thiserror::Error;

/// An order that counts, from its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderOrder {
    /// When it arrived, in milliseconds.
    pub at_ms: u64,
    /// The number of the holder.
    pub leader: usize,
    /// The fencing token that it bears.
    pub token: u64,
}

/// Why a history is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LeaderViolation {
    /// A token was followed by a lower one.
    #[error("token {after} after {before} at {at_ms} ms")]
    LowerToken {
        /// When the lower one arrived, in milliseconds.
        at_ms: u64,
        /// The higher token.
        before: u64,
        /// The lower token.
        after: u64,
    },
    /// Two holders bore one token.
    #[error("two holders bear token {token} at {at_ms} ms")]
    SharedToken {
        /// When the second holder's order arrived, in milliseconds.
        at_ms: u64,
        /// The token of both.
        token: u64,
    },
    /// A holder ordered too soon after another one.
    #[error("a turn after {gap_ms} ms at {at_ms} ms")]
    EarlyTakeover {
        /// When the later holder's order arrived, in milliseconds.
        at_ms: u64,
        /// The time since the order before, in milliseconds.
        gap_ms: u64,
    },
}

/// Judges the orders of all holders in the order of their arrival.
///
/// # Errors
///
/// Returns the first fault.
pub fn check_leaders(orders: &[LeaderOrder], lease_ms: u64) -> Result<(), LeaderViolation> {
    let pairs = orders.windows(2);
    pairs.map(|pair| (pair[0], pair[1])).try_for_each(|pair| {
        let (former, next) = pair;
        let at_ms = next.at_ms;
        if next.token < former.token {
            let (before, after) = (former.token, next.token);
            return Err(LeaderViolation::LowerToken {
                at_ms,
                before,
                after,
            });
        }
        if next.leader == former.leader {
            return Ok(());
        }
        let gap_ms = at_ms - former.at_ms;
        match next.token {
            token if token == former.token => Err(LeaderViolation::SharedToken { at_ms, token }),
            _ if gap_ms < lease_ms => Err(LeaderViolation::EarlyTakeover { at_ms, gap_ms }),
            _ => Ok(()),
        }
    })
}
