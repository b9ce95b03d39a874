//! Detects nodes that do not respond.

use {crate::traffic::NodeName, std::time::Duration, tokio::time::Instant};

/// The response timeout of a node that responded recently.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The response timeout of a node that did not respond recently.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long before a request without a response an earlier response counts as recent.
const RECENT_RESPONSE_SPAN: Duration = Duration::from_secs(3);

/// The interval between two probes of a node that does not respond.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a node is kept after the last request to it.
const NODE_TTL: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct NodeStatus {
    node: NodeName,
    responded_at: Option<Instant>,
    /// The first request since the last response.
    unanswered_since: Option<Instant>,
    requested_at: Instant,
}

/// The nodes that requests were sent to, sorted by name.
#[derive(Debug, Default)]
pub struct FailureDetector(Vec<NodeStatus>);

impl FailureDetector {
    /// Records a datagram to a node that requires a response.
    pub fn record_request(&mut self, node: &NodeName, now: Instant) {
        match self.0.binary_search_by(|status| status.node.cmp(node)) {
            Ok(position) => {
                let status = &mut self.0[position];
                status.requested_at = now;
                status.unanswered_since.get_or_insert(now);
            }
            Err(position) => {
                let status = NodeStatus {
                    node: node.clone(),
                    responded_at: None,
                    unanswered_since: Some(now),
                    requested_at: now,
                };
                self.0.insert(position, status);
            }
        }
    }

    /// Records a datagram from a node; any datagram counts as a response.
    pub fn record_response(&mut self, node: &NodeName, now: Instant) {
        if let Ok(position) = self.0.binary_search_by(|status| status.node.cmp(node)) {
            self.0[position].responded_at = Some(now);
            self.0[position].unanswered_since = None;
        }
    }

    /// Returns whether a node's response is overdue.
    pub fn is_suspected(&self, node: &NodeName, now: Instant) -> bool {
        let Some(status) = self.get(node) else {
            return false;
        };
        let Some(since) = status.unanswered_since else {
            return false;
        };
        let answered = status
            .responded_at
            .is_some_and(|at| since < at + RECENT_RESPONSE_SPAN);
        now >= since
            + if answered {
                RESPONSE_TIMEOUT
            } else {
                FIRST_RESPONSE_TIMEOUT
            }
    }

    /// Returns whether the next probe of a node that does not respond is due.
    pub fn is_probe_due(&self, node: &NodeName, now: Instant) -> bool {
        self.get(node)
            .is_some_and(|status| now >= status.requested_at + PROBE_INTERVAL)
    }

    /// Removes nodes that no requests are sent to any more.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|status| now < status.requested_at + NODE_TTL);
    }

    fn get(&self, node: &NodeName) -> Option<&NodeStatus> {
        let position = self.0.binary_search_by(|status| status.node.cmp(node));
        position.ok().map(|position| &self.0[position])
    }
}
