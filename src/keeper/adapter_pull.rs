//! Has an adapter loaded as soon as callers ask for one that no runner holds.

use {
    super::{KeeperState, Proposal, propose_moves},
    crate::{
        config::Catalog,
        fleet::{Demand, Move, MoveChange, RunnerState},
        peer::SharedKey,
        routing::{rendezvous_weight, stable_hash},
        units::{AdapterName, DataCentreName, RunnerName, VmName},
    },
    std::{cell::RefCell, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// The pause before an adapter is pulled once more.
const REPEAT_PAUSE: Duration = Duration::from_secs(1);

/// Has an adapter loaded as soon as callers ask for one that no runner holds.
pub struct AdapterPull {
    vm: VmName,
    data_centre: DataCentreName,
    key: SharedKey,
    state: KeeperState,
    own: mpsc::Sender<Proposal>,
    recent: RefCell<Vec<(AdapterName, Instant)>>,
}

impl AdapterPull {
    /// Prepares the pull; moves for runners of this VM go to `own`.
    pub fn new(
        vm: VmName,
        data_centre: DataCentreName,
        key: SharedKey,
        state: KeeperState,
        own: mpsc::Sender<Proposal>,
    ) -> Self {
        Self {
            vm,
            data_centre,
            key,
            state,
            own,
            recent: RefCell::default(),
        }
    }

    /// Proposes loads for the adapters that are asked for and absent.
    pub async fn pull_absent(&self, demand: &[Demand]) {
        let Some(current) = self.state.in_force() else {
            return;
        };
        let runners = self.state.runners();
        let wanted = demand.iter().filter_map(|count| count.adapter.as_ref());
        let absent = wanted.filter(|adapter| !is_held(adapter, &runners));
        let due: Vec<_> = absent.filter(|adapter| self.is_due(adapter)).collect();
        let moves = due.into_iter().filter_map(|adapter| {
            let runner = pick(adapter, &current.catalog, &runners, &self.data_centre)?;
            Some(Move {
                runner,
                change: MoveChange::LoadAdapter(adapter.clone()),
                urgent: true,
            })
        });
        let moves: Vec<Move> = moves.collect();
        if !moves.is_empty() {
            propose_moves(moves, &self.vm, &self.key, &self.state, &self.own).await;
        }
    }

    fn is_due(&self, adapter: &AdapterName) -> bool {
        let now = Instant::now();
        let mut recent = self.recent.borrow_mut();
        recent.retain(|(_, pulled_at)| now.duration_since(*pulled_at) < REPEAT_PAUSE);
        if recent.iter().any(|(known, _)| known == adapter) {
            return false;
        }
        recent.push((adapter.clone(), now));
        true
    }
}

fn is_held(adapter: &AdapterName, runners: &[RunnerState]) -> bool {
    let holds = |runner: &RunnerState| {
        runner.reachable && !runner.leaving && runner.adapters.binary_search(adapter).is_ok()
    };
    runners.iter().any(holds)
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
