//! Counters of sent and received datagrams.

use std::sync::atomic::{AtomicU64, Ordering};

/// Datagrams and bytes of a node, without IP and UDP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub heard: u64,
    /// Bytes received.
    pub heard_bytes: u64,
}

/// The atomic counters behind [`Traffic`].
#[derive(Debug, Default)]
pub(super) struct GossipCounters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    heard: AtomicU64,
    heard_bytes: AtomicU64,
}

impl GossipCounters {
    pub(super) fn record_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn record_received(&self, bytes: usize) {
        self.heard.fetch_add(1, Ordering::Relaxed);
        self.heard_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn counts(&self) -> Traffic {
        Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            heard: self.heard.load(Ordering::Relaxed),
            heard_bytes: self.heard_bytes.load(Ordering::Relaxed),
        }
    }
}
