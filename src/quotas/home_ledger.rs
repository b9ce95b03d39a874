//! The buckets of the workspaces whose home a node is.

use {
    super::{AllowanceBucket, HomeAnswer, HomeList, HomeShare},
    crate::workspaces::WorkspaceName,
    tokio::time::Instant,
};

/// The buckets of a home node, which answer the nodes that ask for allowance.
///
/// Load: a few large workspaces and many small ones over 70 nodes, so that an equal share of a small
/// quota for each node is less than one request in a window. Each of a workspace's homes has an
/// equal part of the quota, and other nodes ask for the amounts of their requests.
#[derive(Debug)]
pub struct HomeLedger {
    list: HomeList,
    /// Since when the list is the same and the node may grant; buckets that are not used yet were empty then.
    listed_at: Instant,
    /// Sorted by workspace.
    buckets: Vec<(WorkspaceName, AllowanceBucket)>,
}

impl HomeLedger {
    /// Creates the ledger of a process that started now.
    pub fn new(list: HomeList, now: Instant) -> Self {
        Self {
            list,
            listed_at: now,
            buckets: Vec::new(),
        }
    }

    /// Returns the list of nodes.
    pub fn list(&self) -> &HomeList {
        &self.list
    }

    /// Replaces the list of nodes; buckets stay where the node is still a home.
    pub fn set_list(&mut self, list: HomeList, now: Instant) {
        self.buckets
            .retain(|(workspace, _)| list.is_home(workspace));
        self.list = list;
        self.listed_at = now;
    }

    /// Empties all buckets, as other nodes may have been homes in place of this one.
    pub fn forget(&mut self, now: Instant) {
        self.buckets.clear();
        self.listed_at = now;
    }

    /// Answers a node that asks for allowance; `None` if this node is no home of the workspace.
    pub fn take(
        &mut self,
        workspace: &WorkspaceName,
        least: u64,
        most: u64,
        share: &HomeShare,
        now: Instant,
    ) -> Option<HomeAnswer> {
        let found = self
            .buckets
            .binary_search_by(|(name, _)| name.cmp(workspace));
        let position = match found {
            Ok(position) => position,
            Err(_) if !self.list.is_home(workspace) => return None,
            Err(position) => {
                let bucket = AllowanceBucket::new(self.listed_at);
                self.buckets.insert(position, (workspace.clone(), bucket));
                position
            }
        };
        Some(self.buckets[position].1.take(least, most, share, now))
    }
}
