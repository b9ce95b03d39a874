//! Checks that one leader at a time sends orders, with fencing tokens that never decrease.

use thiserror::Error;

/// An accepted order of a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderOrder {
    /// When the order arrived, in milliseconds.
    pub at_ms: u64,
    /// The index of the node that leads.
    pub leader: usize,
    /// The fencing token of the order.
    pub token: u64,
}

/// Why a history of orders is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LeaderViolation {
    /// An order has a lower token than the order before it.
    #[error("token {after} follows the higher token {before} at {at_ms} ms")]
    LowerToken {
        /// When the order with the lower token arrived, in milliseconds.
        at_ms: u64,
        /// The higher token.
        before: u64,
        /// The lower token.
        after: u64,
    },
    /// Two leaders used the same token.
    #[error("two leaders use token {token} at {at_ms} ms")]
    SharedToken {
        /// When the order of the second leader arrived, in milliseconds.
        at_ms: u64,
        /// The shared token.
        token: u64,
    },
    /// A leader sent an order within the lease time after an order of another leader.
    #[error("a turn after {gap_ms} ms at {at_ms} ms")]
    EarlyTakeover {
        /// When the order of the later leader arrived, in milliseconds.
        at_ms: u64,
        /// The time since the previous order, in milliseconds.
        gap_ms: u64,
    },
}

/// Checks the orders of all leaders in the order of their arrival.
///
/// Two orders of different leaders must be at least `lease_ms` apart.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_leaders(orders: &[LeaderOrder], lease_ms: u64) -> Result<(), LeaderViolation> {
    let pairs = orders.windows(2);
    pairs.map(|pair| (pair[0], pair[1])).try_for_each(|pair| {
        let (previous, next) = pair;
        let at_ms = next.at_ms;
        if next.token < previous.token {
            let (before, after) = (previous.token, next.token);
            return Err(LeaderViolation::LowerToken {
                at_ms,
                before,
                after,
            });
        }
        if next.leader == previous.leader {
            return Ok(());
        }
        let gap_ms = at_ms - previous.at_ms;
        match next.token {
            token if token == previous.token => Err(LeaderViolation::SharedToken { at_ms, token }),
            _ if gap_ms < lease_ms => Err(LeaderViolation::EarlyTakeover { at_ms, gap_ms }),
            _ => Ok(()),
        }
    })
}

/// Checks that each fencing token belongs to one leader, however far apart its orders are.
///
/// # Errors
///
/// Returns the first order whose token another leader has used before.
pub fn check_tokens(orders: &[LeaderOrder]) -> Result<(), LeaderViolation> {
    let mut holders: Vec<(u64, usize)> = Vec::new();
    for order in orders {
        match holders.binary_search_by_key(&order.token, |(token, _)| *token) {
            Ok(position) if holders[position].1 != order.leader => {
                let (at_ms, token) = (order.at_ms, order.token);
                return Err(LeaderViolation::SharedToken { at_ms, token });
            }
            Ok(_) => {}
            Err(position) => holders.insert(position, (order.token, order.leader)),
        }
    }
    Ok(())
}
