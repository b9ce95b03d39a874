//! What a node last read of the nodes and of the leader.

use {
    super::{PeerNode, StoredSeat, keys::Keys},
    crate::{
        store::{Change, Entry, StoreVersion},
        traffic::NodeName,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a node stays listed after its key went; a store that loses its leases in an outage
/// takes all keys away at once.
const REMOVAL_GRACE: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
struct ListedNode {
    node: PeerNode,
    created: StoreVersion,
    gone_at: Option<Instant>,
}

/// What a node last read of the nodes and of the leader.
#[derive(Debug)]
pub(super) struct ClusterView {
    keys: Keys,
    /// Sorted by name.
    nodes: Vec<ListedNode>,
    /// Whether a full read came.
    pub is_read: bool,
    /// The version up to which it is known.
    pub version: StoreVersion,
    /// The leader key.
    pub seat: Option<StoredSeat>,
    /// The key that tells who led last.
    pub last: Option<StoredSeat>,
    /// Since when the leader key and the last leader are known as they stand.
    pub since: Instant,
}

impl ClusterView {
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

    /// Takes over a full read.
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

    /// Works in a change that a watch reported.
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

    /// Notes that the seat of this version is gone, before the watch tells.
    pub fn forget_seat(&mut self, version: u64, now: Instant) {
        let is_it = |stored: &StoredSeat| stored.version.0.unsigned_abs() <= version;
        if self.seat.as_ref().is_some_and(is_it) {
            (self.seat, self.since) = (None, now);
        }
    }

    /// Returns whether the seat that a write of this version took is gone or another's, as last read.
    pub fn shows_lost(&self, token: u64) -> bool {
        let taken_at = match &self.seat {
            Some(stored) => stored.version.0.unsigned_abs(),
            None => self.version.0.unsigned_abs() + 1,
        };
        self.is_read && taken_at > token
    }

    /// Returns the nodes but `me`, without those that are gone for good.
    pub fn peers(&mut self, me: &NodeName, now: Instant) -> Vec<PeerNode> {
        let is_over = |gone_at: Instant| now.duration_since(gone_at) >= REMOVAL_GRACE;
        self.nodes
            .retain(|listed| !listed.gone_at.is_some_and(is_over));
        let others = self.nodes.iter().filter(|listed| listed.node.name != *me);
        others.map(|listed| listed.node.clone()).collect()
    }

    /// Returns how many nodes are listed.
    pub fn count_listed(&self) -> u32 {
        self.nodes.len() as u32
    }

    /// Returns how many live nodes registered after `me`; they are the least likely to be
    /// stopped next when nodes are restarted in turn.
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
            log::warn!("leader: the key {} cannot be read.", entry.key);
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
