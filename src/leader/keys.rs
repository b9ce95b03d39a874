//! The store keys of node registrations and of the leader.

/// The store keys of one cluster, all below one prefix.
#[derive(Debug, Clone)]
pub(super) struct Keys {
    /// The prefix of all keys of the cluster.
    pub prefix: String,
    /// The prefix of the node registrations.
    pub nodes: String,
    /// The key that names the present leader; bound to the leader's lease.
    pub leader: String,
    /// The key that names the most recent leader; bound to no lease.
    pub last_leader: String,
    /// The prefix of the quarantined requests and prompt parts; bound to no lease.
    pub quarantine: String,
    /// The key of the software versions in use; bound to no lease.
    pub versions: String,
}

impl Keys {
    /// Returns the keys below `own_prefix`.
    pub fn new(own_prefix: &str) -> Self {
        Self {
            prefix: own_prefix.to_owned(),
            nodes: format!("{own_prefix}nodes/"),
            leader: format!("{own_prefix}leader"),
            last_leader: format!("{own_prefix}last-leader"),
            quarantine: format!("{own_prefix}quarantine/"),
            versions: format!("{own_prefix}versions"),
        }
    }
}
