//! How much the parts of an aggregator's round may hold.

use super::SendBudget;

/// The largest number of new events in a round.
const EVENTS_PER_ROUND_MAX: usize = 24;

/// The usual size of an event that shares a datagram with others, in bytes.
pub(super) const PACKED_EVENT_BYTES: usize = 100;

/// The limits of one round, each of which is a part of what the link's budget pays for in a round.
///
/// Load pattern: many events at once, or many nodes that are new to an aggregator because theirs
/// fell silent. A round without limits would silence this one too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RoundLimits {
    /// New events, for all receivers: half of a round.
    pub events_max: usize,
    /// Recent events that are repeated to each node whose turn it is: a quarter of a round.
    pub repeated_events_max: usize,
    /// Bytes for receivers that are new here: a quarter of a round. The others follow in the next
    /// rounds.
    pub new_receivers_bytes: usize,
    /// Bytes for events without an acknowledgement: half of a round.
    pub unacknowledged_bytes: usize,
}

impl RoundLimits {
    /// Returns the limits of a round for a number of receivers, of which `repeated_to` get recent
    /// events again.
    pub fn new(budget: &SendBudget, receivers: usize, repeated_to: usize) -> Self {
        let round_bytes = budget.round_bytes();
        let events = |bytes: usize, receivers: usize| {
            let event_bytes = PACKED_EVENT_BYTES * receivers.max(1);
            bytes / event_bytes
        };
        let events_max = events(round_bytes / 2, receivers).clamp(1, EVENTS_PER_ROUND_MAX);
        Self {
            events_max,
            repeated_events_max: events(round_bytes / 4, repeated_to).max(events_max),
            new_receivers_bytes: round_bytes / 4,
            unacknowledged_bytes: round_bytes / 2,
        }
    }
}
