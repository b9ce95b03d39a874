//! A node's local copy of the node registrations and the leader keys.

use {
    super::{PeerNode, StoredSeat, keys::Keys},
    crate::{
        store::{Change, Entry, StoreVersion},
        traffic::NodeName,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a node stays listed after its registration key was deleted. A store that loses its
/// leases in an outage deletes all registration keys at once.
const REMOVAL_GRACE: Duration = Duration::from_secs(5);

/// A registered node, or one whose registration key was deleted less than [`REMOVAL_GRACE`] ago.
#[derive(Debug, Clone)]
struct ListedNode {
    node: PeerNode,
    created: StoreVersion,
    gone_at: Option<Instant>,
}

/// A node's local copy of the node registrations and the leader keys, as last read from the store.
#[derive(Debug)]
pub(super) struct ClusterView {
    keys: Keys,
    /// The listed nodes, sorted by name.
    nodes: Vec<ListedNode>,
    /// Whether a full read has completed.
    pub is_read: bool,
    /// The store version that this view reflects.
    pub version: StoreVersion,
    /// The leader key, if present.
    pub seat: Option<StoredSeat>,
    /// The last-leader key, if present.
    pub last: Option<StoredSeat>,
    /// When this node last saw the leader key or the last-leader key change.
    pub since: Instant,
}

impl ClusterView {
    /// Creates a view that reflects nothing until its first full read.
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            nodes: Vec::new(),
            is_read: false,
            version: StoreVersion::default(),
            seat: None,
            last: None,
            since: Instant::now(),
        }
    }

    /// Replaces the view's contents with a full read of the keys.
    pub fn replace(&mut self, entries: &[Entry], version: StoreVersion, now: Instant) {
        self.version = version;
        let find = |key: &str| entries.iter().find(|entry| entry.key == key);
        let seat = find(&self.keys.leader).map(read_seat);
        let last = find(&self.keys.last_leader).map(read_seat);
        if !self.is_read || seat != self.seat || last != self.last {
            (self.seat, self.last, self.since) = (seat, last, now);
        }
        self.is_read = true;
        for listed in &mut self.nodes {
            let key = format!("{}{}", self.keys.nodes, listed.node.name);
            if !entries.iter().any(|entry| entry.key == key) {
                listed.gone_at.get_or_insert(now);
            }
        }
        for entry in entries {
            self.add_node(entry);
        }
    }

    /// Applies a change reported by a watch.
    pub fn apply(&mut self, change: &Change, now: Instant) {
        let written = match change {
            Change::Put(entry) => Some(entry),
            Change::Delete { .. } => None,
        };
        self.version = change.version();
        if change.key() == self.keys.leader {
            self.seat = written.map(read_seat);
            self.since = now;
        } else if change.key() == self.keys.last_leader {
            self.last = written.map(read_seat);
            self.since = now;
        } else if let Some(entry) = written {
            self.add_node(entry);
        } else if let Some(name) = change.key().strip_prefix(&self.keys.nodes)
            && let Ok(position) = self.find(&NodeName::from(name))
        {
            self.nodes[position].gone_at.get_or_insert(now);
        }
    }

    /// Removes the leader key written at or before `version`, ahead of the watch reporting it.
    pub fn forget_seat(&mut self, version: u64, now: Instant) {
        let is_it = |stored: &StoredSeat| stored.version.0.unsigned_abs() <= version;
        if self.seat.as_ref().is_some_and(is_it) {
            (self.seat, self.since) = (None, now);
        }
    }

    /// Returns whether the last read shows that the leader key written with the fencing token
    /// `token` was deleted or overwritten.
    pub fn shows_lost(&self, token: u64) -> bool {
        let taken_at = match &self.seat {
            Some(stored) => stored.version.0.unsigned_abs(),
            None => self.version.0.unsigned_abs() + 1,
        };
        self.is_read && taken_at > token
    }

    /// Returns the nodes except `me`, after removing those whose grace is over.
    pub fn peers(&mut self, me: &NodeName, now: Instant) -> Vec<PeerNode> {
        let is_over = |gone_at: Instant| now.duration_since(gone_at) >= REMOVAL_GRACE;
        self.nodes
            .retain(|listed| !listed.gone_at.is_some_and(is_over));
        let others = self.nodes.iter().filter(|listed| listed.node.name != *me);
        others.map(|listed| listed.node.clone()).collect()
    }

    /// Returns the number of listed nodes.
    pub fn count_listed(&self) -> u32 {
        self.nodes.len() as u32
    }

    /// Returns the number of live nodes that registered after `me`.
    ///
    /// In a rolling restart, the nodes that registered last are the least likely to stop next.
    pub fn count_younger(&self, me: &NodeName) -> u32 {
        let mine = match self.find(me) {
            Ok(position) => self.nodes[position].created,
            Err(_) => return 0,
        };
        let live = self.nodes.iter().filter(|listed| listed.gone_at.is_none());
        live.filter(|listed| listed.created > mine).count() as u32
    }

    fn add_node(&mut self, entry: &Entry) {
        if !entry.key.starts_with(&self.keys.nodes) {
            return;
        }
        let Ok(node) = serde_json::from_slice::<PeerNode>(&entry.value) else {
            log::warn!(
                "leader: ignored the malformed node registration {}.",
                entry.key
            );
            return;
        };
        let found = self.find(&node.name);
        let listed = ListedNode {
            node,
            created: entry.created,
            gone_at: None,
        };
        match found {
            Ok(position) => self.nodes[position] = listed,
            Err(position) => self.nodes.insert(position, listed),
        }
    }

    fn find(&self, name: &NodeName) -> Result<usize, usize> {
        self.nodes
            .binary_search_by(|listed| listed.node.name.cmp(name))
    }
}

fn read_seat(entry: &Entry) -> StoredSeat {
    StoredSeat {
        seat: serde_json::from_slice(&entry.value).ok(),
        version: entry.modified,
    }
}
