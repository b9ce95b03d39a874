//! The order of requests by the priorities of their workspaces and routes.

use std::collections::BTreeSet;

/// The number of priorities that runners tell apart.
const RUNNER_PRIORITIES: usize = 10;

/// The place of a request among all requests of a configuration; 0 goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PriorityRank {
    /// The place in the queues of nodes.
    pub queue: u8,
    /// The place that a runner is told, from 0 to 9.
    pub runner: u8,
}

/// The priorities that occur in a configuration, of workspaces first and of routes second.
///
/// Load: callers of several workspaces on routes of several priorities. A runner gets one number,
/// in which the order of the workspaces goes first and that of the routes is kept.
#[derive(Debug, Default)]
pub struct PriorityRanks {
    /// The pairs that occur, sorted; empty if no workspace has a priority.
    pairs: Vec<(u8, u8)>,
}

impl PriorityRanks {
    /// Creates the ranks of a configuration from the priorities of its workspaces and routes.
    pub fn new(
        workspaces: impl IntoIterator<Item = Option<u8>>,
        routes: impl IntoIterator<Item = u8>,
    ) -> Self {
        let workspaces: BTreeSet<_> = workspaces.into_iter().collect();
        if workspaces.iter().all(Option::is_none) {
            return Self::default();
        }
        let routes: BTreeSet<_> = routes.into_iter().collect();
        // Requests without a workspace are ranked by their route.
        let workspaces = || workspaces.iter().copied().chain([None]);
        let pairs = routes
            .iter()
            .flat_map(|route| workspaces().map(|workspace| pair(workspace, *route)));
        let pairs: BTreeSet<_> = pairs.collect();
        Self {
            pairs: pairs.into_iter().collect(),
        }
    }

    /// Returns the rank of the requests of a workspace, or of none, on a route.
    pub fn rank(&self, workspace: Option<u8>, route: u8) -> PriorityRank {
        if self.pairs.is_empty() {
            return PriorityRank {
                queue: route,
                runner: route.min(RUNNER_PRIORITIES as u8 - 1),
            };
        }
        let pair = pair(workspace, route);
        let place = self.pairs.partition_point(|known| *known < pair);
        let count = self.pairs.len();
        let runner = match count <= RUNNER_PRIORITIES {
            true => place,
            false => place * RUNNER_PRIORITIES / count,
        };
        PriorityRank {
            queue: u8::try_from(place).unwrap_or(u8::MAX),
            runner: u8::try_from(runner.min(RUNNER_PRIORITIES - 1)).unwrap_or(u8::MAX),
        }
    }
}

/// Returns what a request is sorted by.
fn pair(workspace: Option<u8>, route: u8) -> (u8, u8) {
    (workspace.unwrap_or(route), route)
}
