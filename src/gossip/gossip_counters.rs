//! Counters of sent and received datagrams.

use crate::telemetry::{Counter, MetricText};

/// Why a datagram is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramPurpose {
    /// A node's state for a peer, in small systems.
    Direct,
    /// A node's load for its aggregator.
    Report,
    /// The load of the whole system for a node that reports here.
    Digest,
    /// The load of the nodes that report here, for another aggregator.
    Sum,
    /// An urgent event for a node whose aggregator did not acknowledge it.
    Event,
    /// An urgent event for all nodes, since no aggregator acknowledged it.
    Broadcast,
    /// A probe or its response.
    Probe,
    /// How slow runners are now, for some peers.
    Speed,
}

/// The labels of the purposes, in their order.
const PURPOSE_LABELS: [&str; 8] = [
    "direct",
    "report",
    "digest",
    "sum",
    "event",
    "broadcast",
    "probe",
    "speed",
];

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

/// The counters behind [`DatagramCounts`], those of sent datagrams by purpose.
#[derive(Debug, Default)]
pub(super) struct GossipCounters {
    sent: [Counter; PURPOSE_LABELS.len()],
    sent_bytes: [Counter; PURPOSE_LABELS.len()],
    received: Counter,
    received_bytes: Counter,
}

impl GossipCounters {
    pub(super) fn record_sent(&self, purpose: DatagramPurpose, bytes: usize) {
        self.sent[purpose as usize].count();
        self.sent_bytes[purpose as usize].add(bytes as u64);
    }

    pub(super) fn record_received(&self, bytes: usize) {
        self.received.count();
        self.received_bytes.add(bytes as u64);
    }

    pub(super) fn counts(&self) -> DatagramCounts {
        DatagramCounts {
            sent: self.sent.iter().map(Counter::get).sum(),
            sent_bytes: self.sent_bytes.iter().map(Counter::get).sum(),
            received: self.received.get(),
            received_bytes: self.received_bytes.get(),
        }
    }

    /// Returns the bytes sent so far for each purpose that occurred.
    pub(super) fn sent_bytes(&self) -> Vec<(&'static str, u64)> {
        let counted = PURPOSE_LABELS.iter().zip(&self.sent_bytes);
        let counted = counted.map(|(label, counter)| (*label, counter.get()));
        counted.filter(|(_, bytes)| *bytes > 0).collect()
    }

    pub(super) fn render(&self, text: &mut MetricText) {
        for (name, help, counters) in [
            (
                "ggt_gossip_sent_total",
                "Datagrams sent to other nodes, by purpose.",
                &self.sent,
            ),
            (
                "ggt_gossip_sent_bytes_total",
                "Bytes of these datagrams, without IP and UDP headers.",
                &self.sent_bytes,
            ),
        ] {
            text.begin(name, "counter", help);
            for (label, counter) in PURPOSE_LABELS.iter().zip(counters) {
                text.value(name, &[("purpose", label)], counter.get() as f64);
            }
        }
        text.single(
            "ggt_gossip_received_bytes_total",
            "counter",
            "Bytes of datagrams received from other nodes.",
            self.received_bytes.get() as f64,
        );
    }
}
