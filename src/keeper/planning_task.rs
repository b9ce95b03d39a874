//! Decides placement for the data centres that this VM plans for.

use {
    super::{KeeperState, Proposal},
    crate::{
        fleet::{Move, owner_of},
        membership::{Member, jittered},
        peer::{PeerClient, SharedKey},
        placement::{DemandTracker, PlanInput, plan},
        routing::{rendezvous_weight, stable_hash},
        units::{DataCentreName, VmName},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::Instant,
    },
};

/// How long further losses are gathered before the plan.
const GATHER: Duration = Duration::from_millis(200);

/// Names the member that plans for a data centre; those in it come first.
pub fn planner_of<'a>(data_centre: &DataCentreName, members: &'a [Member]) -> Option<&'a Member> {
    let key = stable_hash(data_centre.as_str());
    let weight = |member: &&Member| {
        (
            rendezvous_weight(key, member.vm.as_str()),
            member.vm.clone(),
        )
    };
    let near = members
        .iter()
        .filter(|member| member.data_centre == *data_centre);
    near.max_by_key(weight)
        .or_else(|| members.iter().max_by_key(weight))
}

/// Decides placement for the data centres that this VM plans for.
pub struct PlanningTask {
    vm: VmName,
    key: SharedKey,
    state: KeeperState,
    tracker: Rc<RefCell<DemandTracker>>,
    own: mpsc::Sender<Proposal>,
}

impl PlanningTask {
    /// Prepares the task; moves for runners of this VM go to `own`.
    pub fn new(
        vm: VmName,
        key: SharedKey,
        state: KeeperState,
        tracker: Rc<RefCell<DemandTracker>>,
        own: mpsc::Sender<Proposal>,
    ) -> Self {
        Self {
            vm,
            key,
            state,
            tracker,
            own,
        }
    }

    /// Plans at an interval, and soon after a runner was lost or the configuration changed.
    pub async fn run(&self, interval: Duration) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(jittered(interval)) => {}
                () = self.state.plan_wanted() => tokio::time::sleep(GATHER).await,
            }
            let moves = self.plan_all();
            if !moves.is_empty() {
                propose_moves(moves, &self.vm, &self.key, &self.state, &self.own).await;
            }
        }
    }

    fn plan_all(&self) -> Vec<Move> {
        let Some(current) = self.state.in_force() else {
            return Vec::new();
        };
        let now = Instant::now();
        self.tracker.borrow_mut().forget(now);
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
            moves.extend(plan(&input).moves);
        }
        moves
    }
}

/// Proposes moves to the owners of their runners; those for runners of this VM go to `own`.
pub async fn propose_moves(
    moves: Vec<Move>,
    vm: &VmName,
    key: &SharedKey,
    state: &KeeperState,
    own: &mpsc::Sender<Proposal>,
) {
    for (owner, moves) in group_by_owner(moves, state) {
        if owner.vm == *vm {
            let (taken, _) = oneshot::channel();
            let _ = own.send(Proposal { moves, taken }).await;
            continue;
        }
        let sent = async {
            let peer = PeerClient::connect(owner.address, key).await?;
            peer.propose(&moves).await
        };
        if let Err(error) = sent.await {
            log::debug!("keeper: {} took no moves: {error}", owner.vm);
        }
    }
}

fn group_by_owner(moves: Vec<Move>, state: &KeeperState) -> Vec<(Member, Vec<Move>)> {
    let Some(current) = state.in_force() else {
        return Vec::new();
    };
    let members = state.members();
    let mut groups: Vec<(Member, Vec<Move>)> = Vec::new();
    for wanted in moves {
        let runner = current.catalog.runner(&wanted.runner);
        let owner = runner.and_then(|it| owner_of(&it.name, &it.data_centre, &members));
        let Some(owner) = owner else {
            continue;
        };
        match groups.binary_search_by(|(known, _)| known.vm.cmp(&owner.vm)) {
            Ok(position) => groups[position].1.push(wanted),
            Err(position) => groups.insert(position, (owner.clone(), vec![wanted])),
        }
    }
    groups
}
