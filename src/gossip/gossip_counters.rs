//! Counters of sent and received datagrams.

use std::sync::atomic::{AtomicU64, Ordering};

/// Datagrams and bytes of a node, without IP and UDP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

/// The atomic counters behind [`DatagramCounts`].
#[derive(Debug, Default)]
pub(super) struct GossipCounters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
}

impl GossipCounters {
    pub(super) fn record_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn record_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn counts(&self) -> DatagramCounts {
        DatagramCounts {
            sent: self.sent.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
        }
    }
}
