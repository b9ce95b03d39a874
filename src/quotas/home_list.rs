//! The home nodes of a workspace, which all nodes with the same list compute alike.

use crate::{
    routing::{rendezvous_weight_of_hash, stable_hash},
    traffic::NodeName,
    workspaces::WorkspaceName,
};

/// The number of homes of each workspace: the loss of one leaves two thirds of each quota.
pub const HOMES: usize = 3;

/// The nodes among which homes are chosen, this node included.
#[derive(Debug, Clone)]
pub struct HomeList {
    me: NodeName,
    /// The nodes with the hashes of their names, sorted by name.
    nodes: Vec<(NodeName, u64)>,
}

impl HomeList {
    /// Creates the list of a node and its peers.
    pub fn new<'a>(me: &'a NodeName, peers: impl IntoIterator<Item = &'a NodeName>) -> Self {
        let names = peers.into_iter().chain([me]);
        let mut nodes: Vec<_> = names
            .map(|name| (name.clone(), stable_hash(name.as_str())))
            .collect();
        nodes.sort();
        nodes.dedup();
        Self {
            me: me.clone(),
            nodes,
        }
    }

    /// Returns the number of homes of each workspace.
    pub fn home_count(&self) -> usize {
        self.nodes.len().min(HOMES)
    }

    /// Returns the homes of a workspace, in the same order at all nodes.
    pub fn homes(&self, workspace: &WorkspaceName) -> Vec<&NodeName> {
        let key = stable_hash(workspace.as_str());
        let weight = |hash: u64| rendezvous_weight_of_hash(key, hash);
        let mut ranked: Vec<_> = self
            .nodes
            .iter()
            .map(|(name, hash)| (weight(*hash), name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(self.home_count());
        ranked.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns whether this node is a home of a workspace.
    pub fn is_home(&self, workspace: &WorkspaceName) -> bool {
        self.homes(workspace).contains(&&self.me)
    }

    /// Returns the homes in the order in which this node asks them: itself, then from a place that
    /// differs between nodes.
    pub fn homes_to_ask(&self, workspace: &WorkspaceName) -> Vec<NodeName> {
        let mut homes = self.homes(workspace);
        let offset = stable_hash(self.me.as_str()) as usize % homes.len().max(1);
        homes.rotate_left(offset);
        homes.sort_by_key(|home| **home != self.me);
        homes.into_iter().cloned().collect()
    }
}
