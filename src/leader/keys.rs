//! The keys of nodes and of the leader.

/// The keys below the system's own prefix.
#[derive(Debug, Clone)]
pub(super) struct Keys {
    /// The prefix of all of them.
    pub prefix: String,
    /// The prefix of the nodes.
    pub nodes: String,
    /// The node that leads; bound to its lease.
    pub leader: String,
    /// The node that led last; outlasts every lease.
    pub last_leader: String,
}

impl Keys {
    pub fn new(own_prefix: &str) -> Self {
        Self {
            prefix: own_prefix.to_owned(),
            nodes: format!("{own_prefix}nodes/"),
            leader: format!("{own_prefix}leader"),
            last_leader: format!("{own_prefix}last-leader"),
        }
    }
}
