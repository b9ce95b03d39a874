//! Has an adapter loaded as soon as callers ask for one that no runner holds.

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

/// The interval before an adapter that no runner holds is requested once more.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The interval before the owner of a runner in another data centre is asked once more for the
/// changes of its adapters.
const SUBSCRIPTION_RENEWAL_INTERVAL: Duration = Duration::from_secs(60);

/// Has an adapter loaded as soon as callers ask for one that no runner holds.
pub struct AdapterLoader {
    data_centre: DataCentreName,
    state: KeeperState,
    proposer: Proposer,
    /// When each adapter was last requested, sorted by adapter.
    requested: RefCell<Vec<(AdapterName, Instant)>>,
}

impl AdapterLoader {
    /// Prepares the adapter_loader.
    pub fn new(data_centre: DataCentreName, state: KeeperState, proposer: Proposer) -> Self {
        Self {
            data_centre,
            state,
            proposer,
            requested: RefCell::default(),
        }
    }

    /// Proposes loads for the adapters that are asked for and not held in this data centre.
    ///
    /// Those held elsewhere are proposed rarely, so that their owners go on telling this VM of
    /// them.
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
        let wanted = demand.iter().filter_map(|count| count.adapter.as_ref());
        let moves: Vec<Move> = wanted.filter_map(request).collect();
        if !moves.is_empty() {
            self.proposer.propose(moves).await;
        }
    }

    /// Returns how often an adapter is to be requested; never when this data centre holds it.
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

/// Picks the runner that all keepers of the data centre would pick_runner, among those that serve the
/// adapter's model; the data centre's own come first.
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
