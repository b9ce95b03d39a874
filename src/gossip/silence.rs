//! Detects nodes that do not respond.

use {crate::traffic::NodeName, std::time::Duration, tokio::time::Instant};

/// The response timeout of a node that responded recently.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// The response timeout of a node that did not respond recently.
const PATIENCE_AT_FIRST: Duration = Duration::from_millis(400);

/// How long before a request without a response an earlier response counts as recent.
const OF_LATE: Duration = Duration::from_secs(3);

/// The interval between two probes of a node that does not respond.
const AGAIN: Duration = Duration::from_secs(2);

/// How long a node is kept after the last request to it.
const KEPT: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Asked {
    node: NodeName,
    heard_at: Option<Instant>,
    /// The first request since the last response.
    unanswered_since: Option<Instant>,
    asked_at: Instant,
}

/// The nodes that requests were sent to, sorted by name.
#[derive(Debug, Default)]
pub struct Silence(Vec<Asked>);

impl Silence {
    /// Records a datagram to a node that requires a response.
    pub fn asked(&mut self, node: &NodeName, now: Instant) {
        match self.0.binary_search_by(|asked| asked.node.cmp(node)) {
            Ok(position) => {
                let asked = &mut self.0[position];
                asked.asked_at = now;
                asked.unanswered_since.get_or_insert(now);
            }
            Err(position) => {
                let asked = Asked {
                    node: node.clone(),
                    heard_at: None,
                    unanswered_since: Some(now),
                    asked_at: now,
                };
                self.0.insert(position, asked);
            }
        }
    }

    /// Records a datagram from a node; any datagram counts as a response.
    pub fn heard(&mut self, node: &NodeName, now: Instant) {
        if let Ok(position) = self.0.binary_search_by(|asked| asked.node.cmp(node)) {
            self.0[position].heard_at = Some(now);
            self.0[position].unanswered_since = None;
        }
    }

    /// Returns whether a node's response is overdue.
    pub fn is_silent(&self, node: &NodeName, now: Instant) -> bool {
        let Some(asked) = self.get(node) else {
            return false;
        };
        let Some(since) = asked.unanswered_since else {
            return false;
        };
        let answered = asked.heard_at.is_some_and(|at| since < at + OF_LATE);
        now >= since
            + if answered {
                PATIENCE
            } else {
                PATIENCE_AT_FIRST
            }
    }

    /// Returns whether the next probe of a node that does not respond is due.
    pub fn is_due_again(&self, node: &NodeName, now: Instant) -> bool {
        self.get(node)
            .is_some_and(|asked| now >= asked.asked_at + AGAIN)
    }

    /// Removes nodes that no requests are sent to any more.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|asked| now < asked.asked_at + KEPT);
    }

    fn get(&self, node: &NodeName) -> Option<&Asked> {
        let position = self.0.binary_search_by(|asked| asked.node.cmp(node));
        position.ok().map(|position| &self.0[position])
    }
}
