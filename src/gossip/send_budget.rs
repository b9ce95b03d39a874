//! The share of a node's link that traffic between nodes may use.

use {std::time::Duration, tokio::time::Instant};

/// The share of the link's rate at which rounds of one kind of traffic are spaced.
///
/// Requests need three quarters; a round may be larger than what is left of the rest.
const LINK_SHARE: f64 = 0.23;

/// The link's rate if the settings name none, in Mbit/s.
pub const DEFAULT_LINK_MBPS: f64 = 1_000.0;

/// The smallest rate for which budgets are made, in Mbit/s.
const LINK_MBPS_MIN: f64 = 0.1;

/// The span whose bytes a single round may send at once, so that it keeps the link busy only
/// briefly.
const ROUND_SPAN: Duration = Duration::from_millis(250);

/// The bytes of headers of the lower layers in a message.
const HEADER_BYTES: usize = 28;

/// Spaces rounds of messages by the bytes that they send, so that these do not queue on the node's
/// link.
///
/// Rounds hold the newest state, so a delayed round replaces the ones before and nothing queues
/// here either.
#[derive(Debug)]
pub struct SendBudget {
    bytes_per_s: f64,
    /// When the bytes sent so far are within the budget.
    free_at: Instant,
}

impl SendBudget {
    /// Creates the budget of a node whose link has the given rate.
    pub fn new(link_mbps: f64, now: Instant) -> Self {
        let bytes_per_s = link_mbps.max(LINK_MBPS_MIN) * 1e6 / 8.0 * LINK_SHARE;
        Self {
            bytes_per_s,
            free_at: now,
        }
    }

    /// Records messages by their sizes.
    pub fn spend(&mut self, sizes: impl IntoIterator<Item = usize>, now: Instant) {
        let bytes: usize = sizes.into_iter().map(|size| size + HEADER_BYTES).sum();
        let span = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.free_at = self.free_at.max(now) + span;
    }

    /// Returns whether the next round may be sent.
    pub fn is_free(&self, now: Instant) -> bool {
        now >= self.free_at
    }

    /// Returns how many bytes a single round may have, headers included.
    pub fn round_bytes(&self) -> usize {
        (self.bytes_per_s * ROUND_SPAN.as_secs_f64()) as usize
    }

    /// Returns how long a share of the budget takes for a number of bytes.
    pub fn span(&self, bytes: usize, share: f64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / (self.bytes_per_s * share))
    }

    /// Returns when the next round may be sent.
    pub fn free_at(&self) -> Instant {
        self.free_at
    }
}
