//! The nodes that share the runners.

use crate::{
    routing::{rendezvous_weight, stable_hash},
    traffic::NodeName,
};

/// The names of the nodes that share the runners; without names, this node alone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeList {
    /// This node.
    pub own: Option<NodeName>,
    /// The other nodes.
    pub others: Vec<NodeName>,
    /// Whether other nodes may exist that are not listed, as the list was not read yet.
    pub is_unread: bool,
}

impl NodeList {
    /// Returns the number of nodes, at least 1.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns this node's rank for a key, from 0; nodes with equal lists compute distinct ranks.
    ///
    /// Without a list that was read, the rank is the last one.
    pub fn rank_for(&self, key: &str) -> usize {
        if self.is_unread {
            return usize::MAX;
        }
        let Some(own) = &self.own else {
            return 0;
        };
        let key = stable_hash(key);
        let weight = |node: &NodeName| (rendezvous_weight(key, node.as_str()), node.clone());
        let own_weight = weight(own);
        let ahead = self.others.iter().filter(|node| weight(node) > own_weight);
        ahead.count()
    }
}
