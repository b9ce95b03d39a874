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

/// The pause before an adapter that no runner holds is pulled once more.
const REPEAT_PAUSE: Duration = Duration::from_secs(1);
/// The pause before the owner of a runner in another data centre is asked once more for the
/// changes of its adapters.
const RENEWAL_PAUSE: Duration = Duration::from_secs(60);

/// Has an adapter loaded as soon as callers ask for one that no runner holds.
pub struct AdapterLoader {
    data_centre: DataCentreName,
    state: KeeperState,
    proposer: Proposer,
    /// When each adapter was last pulled, sorted by adapter.
    pulled: RefCell<Vec<(AdapterName, Instant)>>,
}

impl AdapterLoader {
    /// Prepares the pull.
    pub fn new(data_centre: DataCentreName, state: KeeperState, proposer: Proposer) -> Self {
        Self {
            data_centre,
            state,
            proposer,
            pulled: RefCell::default(),
        }
    }

    /// Proposes loads for the adapters that are asked for and not held in this data centre.
    ///
    /// Those held elsewhere are proposed rarely, so that their owners go on telling this VM of
    /// them.
    pub async fn pull_absent(&self, demand: &[Demand]) {
        let Some(current) = self.state.in_force() else {
            return;
        };
        let runners = self.state.runners();
        let pull = |adapter: &AdapterName| {
            let pause = self.pull_pause(adapter, &current.catalog, &runners)?;
            if !self.is_due(adapter, pause) {
                return None;
            }
            let runner = pick(adapter, &current.catalog, &runners, &self.data_centre)?;
            Some(Move {
                runner,
                change: MoveChange::LoadAdapter(adapter.clone()),
                urgent: true,
            })
        };
        let wanted = demand.iter().filter_map(|count| count.adapter.as_ref());
        let moves: Vec<Move> = wanted.filter_map(pull).collect();
        if !moves.is_empty() {
            self.proposer.propose(moves).await;
        }
    }

    /// Returns how often an adapter is to be pulled; never when this data centre holds it.
    fn pull_pause(
        &self,
        adapter: &AdapterName,
        catalog: &Catalog,
        runners: &[RunnerState],
    ) -> Option<Duration> {
        let holders = runners.iter().filter(|runner| holds(runner, adapter));
        let mut pause = REPEAT_PAUSE;
        for holder in holders {
            let object = catalog.runner(&holder.name)?;
            if object.data_centre == self.data_centre {
                return None;
            }
            pause = RENEWAL_PAUSE;
        }
        Some(pause)
    }

    fn is_due(&self, adapter: &AdapterName, pause: Duration) -> bool {
        let now = Instant::now();
        let mut pulled = self.pulled.borrow_mut();
        pulled.retain(|(_, pulled_at)| now.duration_since(*pulled_at) < RENEWAL_PAUSE);
        match pulled.binary_search_by(|(known, _)| known.cmp(adapter)) {
            Ok(position) if now.duration_since(pulled[position].1) < pause => false,
            Ok(position) => {
                pulled[position].1 = now;
                true
            }
            Err(position) => {
                pulled.insert(position, (adapter.clone(), now));
                true
            }
        }
    }
}

fn holds(runner: &RunnerState, adapter: &AdapterName) -> bool {
    runner.reachable && !runner.leaving && runner.adapters.binary_search(adapter).is_ok()
}

/// Picks the runner that all keepers of the data centre would pick, among those that serve the
/// adapter's model; the data centre's own come first.
fn pick(
    adapter: &AdapterName,
    catalog: &Catalog,
    runners: &[RunnerState],
    home: &DataCentreName,
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
        let near = object.is_some_and(|object| object.data_centre == *home);
        (near, rendezvous_weight(key, runner.name.as_str()))
    };
    let best = runners.iter().filter(serves).max_by_key(rank)?;
    Some(best.name.clone())
}
