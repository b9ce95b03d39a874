//! Checks that nodes heed what runners ask for: no new requests as they leave, or a pause.

use thiserror::Error;

/// What happened between a node and a runner, with times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WishEvent {
    /// The node received a response that says that the runner leaves.
    Leaving {
        /// The node.
        node: usize,
        /// The incarnation of the runner.
        runner: usize,
        /// When the response arrived.
        at_ms: u64,
    },
    /// The runner refused a request of the node and asked for a pause.
    Paused {
        /// The node.
        node: usize,
        /// The incarnation of the runner.
        runner: usize,
        /// When the response arrived.
        at_ms: u64,
        /// The end of the pause.
        until_ms: u64,
    },
    /// A request reached the runner from the node.
    Reached {
        /// The node.
        node: usize,
        /// The incarnation of the runner.
        runner: usize,
        /// When the caller sent the request.
        sent_ms: u64,
        /// When the request reached the runner.
        at_ms: u64,
    },
}

/// The bounds on requests against a runner's wish.
#[derive(Debug, Clone, Copy)]
pub struct WishBounds {
    /// How long after a runner said that it leaves callers' requests may still be sent to it.
    pub drain_ms: u64,
    /// How long after the begin of a pause requests don't count.
    pub pause_grace_ms: u64,
    /// The most requests that may reach a runner in a pause.
    pub pause_requests_max: usize,
}

/// Requests that a runner did not want.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WishViolation {
    /// A request that was sent later than the bound reached a runner that leaves.
    #[error(
        "at {at_ms} ms a request reached runner {runner} from node {node}, which knew that it leaves"
    )]
    Leaving {
        /// The node.
        node: usize,
        /// The incarnation of the runner.
        runner: usize,
        /// When the request reached the runner.
        at_ms: u64,
    },
    /// More requests than allowed reached a runner in a pause.
    #[error(
        "{requests} requests reached runner {runner} from node {node} in a pause until {until_ms} ms"
    )]
    Paused {
        /// The node.
        node: usize,
        /// The incarnation of the runner.
        runner: usize,
        /// The end of the pause.
        until_ms: u64,
        /// The requests in the pause.
        requests: usize,
    },
}

/// Checks the events of a run.
///
/// # Errors
///
/// Returns the first violation, in the order of the wishes.
pub fn check_wishes(events: &[WishEvent], bounds: &WishBounds) -> Result<(), WishViolation> {
    for event in events {
        match *event {
            WishEvent::Leaving {
                node,
                runner,
                at_ms,
            } => {
                let late = reached(events, node, runner)
                    .find(|(sent_ms, _)| *sent_ms > at_ms + bounds.drain_ms);
                if let Some((_, at_ms)) = late {
                    return Err(WishViolation::Leaving {
                        node,
                        runner,
                        at_ms,
                    });
                }
            }
            WishEvent::Paused {
                node,
                runner,
                at_ms,
                until_ms,
            } => {
                let paused = at_ms + bounds.pause_grace_ms..until_ms;
                let within = reached(events, node, runner).filter(|(_, at)| paused.contains(at));
                let requests = within.count();
                if requests > bounds.pause_requests_max {
                    return Err(WishViolation::Paused {
                        node,
                        runner,
                        until_ms,
                        requests,
                    });
                }
            }
            WishEvent::Reached { .. } => {}
        }
    }
    Ok(())
}

/// Returns when requests of a node for a runner were sent by callers and reached the runner.
fn reached(
    events: &[WishEvent],
    node: usize,
    runner: usize,
) -> impl Iterator<Item = (u64, u64)> + '_ {
    events.iter().filter_map(move |event| match *event {
        WishEvent::Reached {
            node: from,
            runner: to,
            sent_ms,
            at_ms,
        } if from == node && to == runner => Some((sent_ms, at_ms)),
        _ => None,
    })
}
