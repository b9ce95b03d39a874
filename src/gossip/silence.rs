//! Which nodes do not answer.

use {crate::traffic::NodeName, std::time::Duration, tokio::time::Instant};

/// How long a node that answered of late may be silent.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// How long a node may be silent that did not.
const PATIENCE_AT_FIRST: Duration = Duration::from_millis(400);

/// How recent an answer is of late.
const OF_LATE: Duration = Duration::from_secs(3);

/// The time between two tries at a silent node.
const AGAIN: Duration = Duration::from_secs(2);

/// How long a node is remembered that is not asked.
const KEPT: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Asked {
    node: NodeName,
    heard_at: Option<Instant>,
    /// When it was first asked since it was heard.
    unanswered_since: Option<Instant>,
    asked_at: Instant,
}

/// The nodes that were asked, sorted by name.
#[derive(Debug, Default)]
pub struct Silence(Vec<Asked>);

impl Silence {
    /// Notes that a node was sent something that it answers.
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

    /// Notes anything that came from a node.
    pub fn heard(&mut self, node: &NodeName, now: Instant) {
        if let Ok(position) = self.0.binary_search_by(|asked| asked.node.cmp(node)) {
            self.0[position].heard_at = Some(now);
            self.0[position].unanswered_since = None;
        }
    }

    /// Returns whether a node was asked in vain.
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

    /// Returns whether it is time to ask a silent node again.
    pub fn is_due_again(&self, node: &NodeName, now: Instant) -> bool {
        self.get(node)
            .is_some_and(|asked| now >= asked.asked_at + AGAIN)
    }

    /// Forgets nodes that are not asked any more.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|asked| now < asked.asked_at + KEPT);
    }

    fn get(&self, node: &NodeName) -> Option<&Asked> {
        let position = self.0.binary_search_by(|asked| asked.node.cmp(node));
        position.ok().map(|position| &self.0[position])
    }
}
