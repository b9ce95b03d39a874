//! A node's local copy of the node registrations and the leader keys.

use {
    super::{
        PeerNode, StoredLeaderRecord,
        held_term::{HeldRegistration, HeldTerm},
        keys::Keys,
    },
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
    modified: StoreVersion,
    /// When the registration key was deleted, if it was.
    deleted_at: Option<Instant>,
}

/// A node's local copy of the node registrations and the leader keys, as last read from the store.
#[derive(Debug)]
pub(super) struct ClusterView {
    keys: Keys,
    /// The listed nodes, sorted by name.
    nodes: Vec<ListedNode>,
    /// Whether a full read has completed.
    pub is_loaded: bool,
    /// The store version that this view reflects.
    pub version: StoreVersion,
    /// The leader key, if present.
    pub leader: Option<StoredLeaderRecord>,
    /// The last-leader key, if present.
    pub last_leader: Option<StoredLeaderRecord>,
    /// The entries of quarantined requests and prompt parts, sorted by key.
    pub quarantine: Vec<Entry>,
    /// The entry of the software versions in use, if present.
    pub versions: Option<Entry>,
    /// When this node last saw the leader key or the last-leader key change, or read all keys.
    pub leader_changed_at: Instant,
    /// When the last read of all keys was sent.
    pub read_at: Instant,
    /// The latest leader that this process has seen; the store may have lost its record.
    pub newest_leader: Option<StoredLeaderRecord>,
    /// The highest fencing token that this process has seen; 0 if it has seen none.
    pub highest_token: u64,
    /// How often a full read showed that the store went back to an older copy of itself.
    pub rollbacks: u64,
}

impl ClusterView {
    /// Creates a view that reflects nothing until its first full read.
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            nodes: Vec::new(),
            is_loaded: false,
            version: StoreVersion::default(),
            leader: None,
            last_leader: None,
            quarantine: Vec::new(),
            versions: None,
            leader_changed_at: Instant::now(),
            read_at: Instant::now(),
            newest_leader: None,
            highest_token: 0,
            rollbacks: 0,
        }
    }

    /// Replaces the view's contents with a full read of the keys.
    pub fn replace(&mut self, entries: &[Entry], version: StoreVersion, now: Instant) {
        let find = |key: &str| entries.iter().find(|entry| entry.key == key);
        let leader = find(&self.keys.leader).map(decode_leader_record);
        let last_leader = find(&self.keys.last_leader).map(decode_leader_record);
        if self.has_gone_back(entries, version) {
            self.rollbacks += 1;
            log::warn!(
                version = version.0, known = self.version.0, rollbacks = self.rollbacks;
                "leader: the store went back to an older copy."
            );
        }
        self.version = version;
        // Another node may have led since the last read, in a history that the store has lost.
        (self.leader, self.last_leader, self.leader_changed_at) = (leader, last_leader, now);
        self.record_leaders();
        self.is_loaded = true;
        self.versions = find(&self.keys.versions).cloned();
        let quarantine = entries.iter();
        let quarantine = quarantine.filter(|entry| entry.key.starts_with(&self.keys.quarantine));
        self.quarantine = quarantine.cloned().collect();
        self.quarantine.sort_by(|a, b| a.key.cmp(&b.key));
        for listed in &mut self.nodes {
            let key = format!("{}{}", self.keys.nodes, listed.node.name);
            if !entries.iter().any(|entry| entry.key == key) {
                listed.deleted_at.get_or_insert(now);
            }
        }
        for entry in entries {
            self.insert_node(entry);
        }
    }

    /// Returns whether a full read shows an older state than the view: a lower version, an earlier
    /// write of a key, or no last-leader key, which is never deleted.
    fn has_gone_back(&self, entries: &[Entry], version: StoreVersion) -> bool {
        let find = |key: &str| entries.iter().find(|entry| entry.key == key);
        let is_older =
            |key: &str, known: StoreVersion| find(key).is_some_and(|entry| entry.modified < known);
        let leaders = [
            (&self.keys.leader, &self.leader),
            (&self.keys.last_leader, &self.last_leader),
        ];
        let mut leaders = leaders
            .into_iter()
            .filter_map(|(key, known)| Some((key, known.as_ref()?)));
        let mut nodes = self.nodes.iter();
        version < self.version
            || leaders.any(|(key, known)| is_older(key, known.version))
            || nodes.any(|listed| {
                let key = format!("{}{}", self.keys.nodes, listed.node.name);
                is_older(&key, listed.modified)
            })
            || self.last_leader.as_ref().is_some_and(|known| {
                find(&self.keys.last_leader).is_none_or(|entry| {
                    entry.modified == known.version && decode_leader_record(entry) != *known
                })
            })
    }

    /// Applies a change reported by a watch.
    pub fn apply(&mut self, change: &Change, now: Instant) {
        let entry = match change {
            Change::Put(entry) => Some(entry),
            Change::Delete { .. } => None,
        };
        self.version = change.version();
        if change.key() == self.keys.leader {
            self.leader = entry.map(decode_leader_record);
            self.leader_changed_at = now;
            self.record_leaders();
        } else if change.key() == self.keys.last_leader {
            self.last_leader = entry.map(decode_leader_record);
            self.leader_changed_at = now;
            self.record_leaders();
        } else if change.key() == self.keys.versions {
            self.versions = entry.cloned();
        } else if change.key().starts_with(&self.keys.quarantine) {
            self.apply_quarantine(change.key(), entry);
        } else if let Some(entry) = entry {
            self.insert_node(entry);
        } else if let Some(name) = change.key().strip_prefix(&self.keys.nodes)
            && let Ok(position) = self.position_of(&NodeName::from(name))
        {
            self.nodes[position].deleted_at.get_or_insert(now);
        }
    }

    fn apply_quarantine(&mut self, key: &str, entry: Option<&Entry>) {
        let found = self
            .quarantine
            .binary_search_by(|known| known.key.as_str().cmp(key));
        match (found, entry) {
            (Ok(position), Some(entry)) => self.quarantine[position] = entry.clone(),
            (Ok(position), None) => {
                self.quarantine.remove(position);
            }
            (Err(position), Some(entry)) => self.quarantine.insert(position, entry.clone()),
            (Err(_), None) => {}
        }
    }

    /// Removes the leader key written at or before `version`, ahead of the watch reporting it.
    pub fn remove_leader(&mut self, version: StoreVersion, now: Instant) {
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.version <= version)
        {
            (self.leader, self.leader_changed_at) = (None, now);
        }
    }

    /// Records a leader that this process has read or that the store has confirmed.
    pub fn record_leader(&mut self, stored: StoredLeaderRecord) {
        self.highest_token = self.highest_token.max(stored.token());
        let newest = self.newest_leader.as_ref();
        if newest.is_none_or(|newest| stored.covers(newest)) {
            self.newest_leader = Some(stored);
        }
    }

    /// Returns whether the last-leader key was written after the leader key, by a node that knows of
    /// a leader which the present one doesn't know.
    pub fn is_leader_challenged(&self) -> bool {
        let version = |stored: &Option<StoredLeaderRecord>| stored.as_ref().map(|s| s.version);
        version(&self.leader) != version(&self.last_leader)
    }

    /// Returns whether the last read shows that the leader key of a term was deleted, overwritten or
    /// challenged, or that the store went back to an older copy since it was written.
    pub fn has_lost(&self, term: &HeldTerm) -> bool {
        let is_reported = self.version >= term.version;
        let present = self.leader.as_ref().map(|leader| leader.version);
        let is_present = present == Some(term.version) && !self.is_leader_challenged();
        self.is_loaded && ((is_reported && !is_present) || self.rollbacks != term.rollbacks)
    }

    /// Returns whether the last read lacks the registration that the node `me` has written.
    pub fn has_lost_registration(&self, me: &NodeName, written: &HeldRegistration) -> bool {
        let is_kept = self.position_of(me).is_ok_and(|position| {
            let listed = &self.nodes[position];
            listed.deleted_at.is_none() && listed.modified >= written.version
        });
        let is_reported = self.version >= written.version || self.rollbacks != written.rollbacks;
        self.is_loaded && is_reported && !is_kept
    }

    /// Records the leaders that both keys name.
    fn record_leaders(&mut self) {
        let read = [self.last_leader.clone(), self.leader.clone()];
        read.into_iter()
            .flatten()
            .for_each(|stored| self.record_leader(stored));
    }

    /// Returns the nodes except `me`, after removing those whose grace is over.
    pub fn peers(&mut self, me: &NodeName, now: Instant) -> Vec<PeerNode> {
        let is_expired = |deleted_at: Instant| now.duration_since(deleted_at) >= REMOVAL_GRACE;
        self.nodes
            .retain(|listed| !listed.deleted_at.is_some_and(is_expired));
        let others = self.nodes.iter().filter(|listed| listed.node.name != *me);
        others.map(|listed| listed.node.clone()).collect()
    }

    /// Returns the number of listed nodes.
    pub fn listed_count(&self) -> u32 {
        self.nodes.len() as u32
    }

    /// Returns the number of live nodes that registered after `me`.
    ///
    /// In a rolling restart, the nodes that registered last are the least likely to stop next.
    pub fn count_registered_after(&self, me: &NodeName) -> u32 {
        let own_created = match self.position_of(me) {
            Ok(position) => self.nodes[position].created,
            Err(_) => return 0,
        };
        let live = self
            .nodes
            .iter()
            .filter(|listed| listed.deleted_at.is_none());
        live.filter(|listed| listed.created > own_created).count() as u32
    }

    /// Adds or replaces the node in an entry; ignores entries that hold no registration.
    fn insert_node(&mut self, entry: &Entry) {
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
        let position = self.position_of(&node.name);
        let listed = ListedNode {
            node,
            created: entry.created,
            modified: entry.modified,
            deleted_at: None,
        };
        match position {
            Ok(position) => self.nodes[position] = listed,
            Err(position) => self.nodes.insert(position, listed),
        }
    }

    fn position_of(&self, name: &NodeName) -> Result<usize, usize> {
        self.nodes
            .binary_search_by(|listed| listed.node.name.cmp(name))
    }
}

fn decode_leader_record(entry: &Entry) -> StoredLeaderRecord {
    StoredLeaderRecord {
        record: serde_json::from_slice(&entry.value).ok(),
        version: entry.modified,
    }
}
