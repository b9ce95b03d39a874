//! The order of requests by the priorities of their workspaces and routes.

use {super::Workspace, std::collections::BTreeSet};

/// The number of priorities that runners tell apart.
const RUNNER_PRIORITIES: usize = 10;

/// The place of a request among all requests of a configuration; 0 goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PriorityRank {
    /// The place in the queues of nodes.
    pub queue: u8,
    /// The place that a runner is told, from 0 to 9.
    pub runner: u8,
    /// Whether the route is of the most urgent ones and the request within its fair share.
    pub is_urgent: bool,
}

impl PriorityRank {
    /// The rank of what goes before everything else.
    pub const FIRST: Self = Self {
        queue: 0,
        runner: 0,
        is_urgent: true,
    };
}

/// Whether a request is within its workspace's fair share of what all may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FairShare {
    /// Within the fair share.
    Within,
    /// Beyond it.
    Beyond,
}

/// What requests are sorted by: the priority of the workspace, the fair share, the priority of the
/// route.
type Place = (u8, FairShare, u8);

/// The places that occur in a configuration.
///
/// Load: callers of several workspaces on routes of several priorities, of which one sends many
/// times its usual. Nodes and runners get one number, in which the priority of the workspace goes
/// first. Of the same priority, what is beyond a fair share goes behind the rest, urgent or not, as
/// the urgent requests of one workspace would else take the places of all others.
#[derive(Debug, Default)]
pub struct PriorityRanks {
    /// Sorted; empty if no workspace has a priority or a quota.
    places: Vec<Place>,
    /// Whether a workspace has a priority; otherwise all have the same.
    has_priorities: bool,
}

impl PriorityRanks {
    /// Creates the ranks of a configuration from its workspaces and the priorities of its routes.
    pub fn new<'a>(
        workspaces: impl IntoIterator<Item = &'a Workspace>,
        routes: impl IntoIterator<Item = u8>,
    ) -> Self {
        let mut priorities = BTreeSet::new();
        let (mut has_priorities, mut has_quotas) = (false, false);
        for workspace in workspaces {
            priorities.insert(workspace.priority);
            has_priorities |= workspace.priority.is_some();
            has_quotas |= workspace.quota.is_some();
        }
        if !has_priorities && !has_quotas {
            return Self::default();
        }
        // Requests without a workspace are ranked by their route.
        priorities.insert(None);
        let mut ranks = Self {
            places: Vec::new(),
            has_priorities,
        };
        let mut places = BTreeSet::new();
        for route in routes {
            for workspace in &priorities {
                places.insert(ranks.place(*workspace, route, FairShare::Within));
                if has_quotas {
                    places.insert(ranks.place(*workspace, route, FairShare::Beyond));
                }
            }
        }
        ranks.places = places.into_iter().collect();
        ranks
    }

    /// Returns the rank of a request of a workspace, or of none, on a route.
    pub fn rank(&self, workspace: Option<u8>, route: u8, share: FairShare) -> PriorityRank {
        let is_urgent = route == 0 && share == FairShare::Within;
        if self.places.is_empty() {
            return PriorityRank {
                queue: route,
                runner: route.min(RUNNER_PRIORITIES as u8 - 1),
                is_urgent,
            };
        }
        let place = self.place(workspace, route, share);
        let position = self.places.partition_point(|known| *known < place);
        let count = self.places.len();
        let runner = match count <= RUNNER_PRIORITIES {
            true => position,
            false => position * RUNNER_PRIORITIES / count,
        };
        PriorityRank {
            queue: u8::try_from(position).unwrap_or(u8::MAX),
            runner: u8::try_from(runner.min(RUNNER_PRIORITIES - 1)).unwrap_or(u8::MAX),
            is_urgent,
        }
    }

    /// Returns where a request is sorted; one without a priority of its workspace by its route.
    fn place(&self, workspace: Option<u8>, route: u8, share: FairShare) -> Place {
        let without = if self.has_priorities { route } else { 0 };
        (workspace.unwrap_or(without), share, route)
    }
}
