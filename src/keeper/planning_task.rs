//! Plans placement for the data centres that this VM is the planner of.

use {
    super::{KeeperState, Proposer},
    crate::{
        fleet::Move,
        membership::{Member, with_jitter},
        placement::{DemandTracker, PlanInput, plan},
        routing::{rendezvous_weight, stable_hash},
        telemetry::{CONTROL_CPU_S, PLANNING_S, UNPLACED_MODELS, cpu_time},
        units::{DataCentreName, ModelName, VmName},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// How long a requested plan waits for further losses of runners.
const LOSS_BATCH_WINDOW: Duration = Duration::from_millis(200);

/// Returns the member that plans for a data centre.
///
/// The choice is a rendezvous hash over the members in the data centre, or over all members when
/// none is in it, so all keepers with the same members agree on it.
pub fn planner_of<'a>(data_centre: &DataCentreName, members: &'a [Member]) -> Option<&'a Member> {
    let key = stable_hash(data_centre.as_str());
    let weight = |member: &&Member| {
        (
            rendezvous_weight(key, member.vm.as_str()),
            member.vm.clone(),
        )
    };
    let local = members
        .iter()
        .filter(|member| member.data_centre == *data_centre);
    local
        .max_by_key(weight)
        .or_else(|| members.iter().max_by_key(weight))
}

/// Plans placement for the data centres that this VM is the planner of.
pub struct PlanningTask {
    vm: VmName,
    state: KeeperState,
    tracker: Rc<RefCell<DemandTracker>>,
    proposer: Proposer,
}

impl PlanningTask {
    /// Creates the task; decided moves are sent through `proposer`.
    pub fn new(
        vm: VmName,
        state: KeeperState,
        tracker: Rc<RefCell<DemandTracker>>,
        proposer: Proposer,
    ) -> Self {
        Self {
            vm,
            state,
            tracker,
            proposer,
        }
    }

    /// Plans at an interval, and soon after a runner was lost or another configuration came into
    /// force.
    pub async fn run(&self, interval: Duration) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(with_jitter(interval)) => {}
                () = self.state.plan_requested() => tokio::time::sleep(LOSS_BATCH_WINDOW).await,
            }
            let start = Instant::now();
            let moves = self.plan_all();
            metrics::histogram!(PLANNING_S).record(start.elapsed());
            record_cpu_time();
            if !moves.is_empty() {
                self.proposer.propose(moves).await;
            }
        }
    }

    fn plan_all(&self) -> Vec<Move> {
        let Some(current) = self.state.in_force() else {
            return Vec::new();
        };
        let now = Instant::now();
        self.tracker.borrow_mut().prune(now);
        let demand = self.tracker.borrow().rates(now);
        let members = self.state.members();
        let runners = self.state.runners();
        let mut moves = Vec::new();
        for data_centre in &current.catalog.data_centres {
            let planner = planner_of(&data_centre.name, &members);
            if planner.is_none_or(|planner| planner.vm != self.vm) {
                continue;
            }
            let input = PlanInput {
                demand: &demand,
                ..PlanInput::new(&current.catalog, &data_centre.name, &runners)
            };
            let decided = plan(&input);
            self.record_unplaced(&data_centre.name, &decided.unplaced);
            moves.extend(decided.moves);
        }
        moves
    }

    fn record_unplaced(&self, data_centre: &DataCentreName, unplaced: &[ModelName]) {
        let gauge = metrics::gauge!(UNPLACED_MODELS, "data_centre" => data_centre.to_string());
        gauge.set(unplaced.len() as f64);
        for model in unplaced {
            log::warn!("keeper: no runner of {data_centre} has memory left for {model}.");
        }
    }
}

fn record_cpu_time() {
    if let Some(spent) = cpu_time(std::process::id()) {
        metrics::gauge!(CONTROL_CPU_S).set(spent.as_secs_f64());
    }
}
