//! Requests loads of adapters that callers ask for and no runner of the data centre holds.

use {
    super::{KeeperState, Proposer},
    crate::{
        config::Catalog,
        fleet::{Demand, Move, MoveChange, RunnerState},
        routing::{rendezvous_weight, stable_hash},
        units::{AdapterName, DataCentreName, RunnerName},
    },
    std::{cell::RefCell, time::Duration},
    tokio::time::Instant,
};

/// The shortest interval between two requests to load an adapter that no runner holds.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which the subscription to a runner in another data centre is renewed: the
/// runner's owner reports changes only to VMs that have proposed moves recently.
const SUBSCRIPTION_RENEWAL_INTERVAL: Duration = Duration::from_secs(60);

/// Requests loads of adapters that callers ask for and no runner of the data centre holds.
pub struct AdapterLoader {
    data_centre: DataCentreName,
    state: KeeperState,
    proposer: Proposer,
    /// The time of the last request for each adapter, sorted by adapter.
    requested: RefCell<Vec<(AdapterName, Instant)>>,
}

impl AdapterLoader {
    /// Creates a loader that sends its moves through `proposer`.
    pub fn new(data_centre: DataCentreName, state: KeeperState, proposer: Proposer) -> Self {
        Self {
            data_centre,
            state,
            proposer,
            requested: RefCell::default(),
        }
    }

    /// Proposes loads of the adapters in `demand` that no runner of this data centre holds.
    ///
    /// Adapters that only runners of other data centres hold are proposed rarely: the proposal
    /// renews this VM's subscription, so that the owners keep reporting changes of these runners.
    pub async fn request_missing(&self, demand: &[Demand]) {
        let Some(current) = self.state.in_force() else {
            return;
        };
        let runners = self.state.runners();
        let request = |adapter: &AdapterName| {
            let interval = self.request_interval(adapter, &current.catalog, &runners)?;
            if !self.is_due(adapter, interval) {
                return None;
            }
            let runner = pick_runner(adapter, &current.catalog, &runners, &self.data_centre)?;
            Some(Move {
                runner,
                change: MoveChange::LoadAdapter(adapter.clone()),
                urgent: true,
            })
        };
        let adapters = demand.iter().filter_map(|count| count.adapter.as_ref());
        let moves: Vec<Move> = adapters.filter_map(request).collect();
        if !moves.is_empty() {
            self.proposer.propose(moves).await;
        }
    }

    /// Returns the interval between requests for an adapter; `None` when a runner of this data
    /// centre holds the adapter.
    fn request_interval(
        &self,
        adapter: &AdapterName,
        catalog: &Catalog,
        runners: &[RunnerState],
    ) -> Option<Duration> {
        let holders = runners.iter().filter(|runner| holds(runner, adapter));
        let mut interval = RETRY_INTERVAL;
        for holder in holders {
            let object = catalog.runner(&holder.name)?;
            if object.data_centre == self.data_centre {
                return None;
            }
            interval = SUBSCRIPTION_RENEWAL_INTERVAL;
        }
        Some(interval)
    }

    /// Returns whether `interval` has passed since the last request, and records a new one if so.
    fn is_due(&self, adapter: &AdapterName, interval: Duration) -> bool {
        let now = Instant::now();
        let mut requested = self.requested.borrow_mut();
        requested.retain(|(_, requested_at)| {
            now.duration_since(*requested_at) < SUBSCRIPTION_RENEWAL_INTERVAL
        });
        match requested.binary_search_by(|(known, _)| known.cmp(adapter)) {
            Ok(position) if now.duration_since(requested[position].1) < interval => false,
            Ok(position) => {
                requested[position].1 = now;
                true
            }
            Err(position) => {
                requested.insert(position, (adapter.clone(), now));
                true
            }
        }
    }
}

fn holds(runner: &RunnerState, adapter: &AdapterName) -> bool {
    runner.reachable && !runner.leaving && runner.adapters.binary_search(adapter).is_ok()
}

/// Picks a runner for the adapter among those that serve its model.
///
/// Runners of the own data centre are preferred. The choice is a rendezvous hash, so all keepers
/// of a data centre pick the same runner.
fn pick_runner(
    adapter: &AdapterName,
    catalog: &Catalog,
    runners: &[RunnerState],
    own_data_centre: &DataCentreName,
) -> Option<RunnerName> {
    let model = &catalog.adapter(adapter)?.model;
    let serves = |runner: &&RunnerState| {
        let ready = runner
            .models
            .iter()
            .any(|held| held.ready && held.model == *model);
        ready && runner.reachable && !runner.leaving
    };
    let key = stable_hash(adapter.as_str());
    let rank = |runner: &&RunnerState| {
        let object = catalog.runner(&runner.name);
        let is_local = object.is_some_and(|object| object.data_centre == *own_data_centre);
        (is_local, rendezvous_weight(key, runner.name.as_str()))
    };
    let best = runners.iter().filter(serves).max_by_key(rank)?;
    Some(best.name.clone())
}
