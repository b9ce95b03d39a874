//! Sends moves to the owners of their runners.

use {
    super::{KeeperState, Proposal},
    crate::{
        fleet::{Move, RunnerState, owner_of},
        membership::Member,
        peer::{Credentials, PeerClient, PeerError},
        units::VmName,
    },
    tokio::sync::{mpsc, oneshot},
};

/// Sends moves to the owners of their runners.
#[derive(Debug, Clone)]
pub struct Proposer {
    vm: VmName,
    credentials: Credentials,
    state: KeeperState,
    own_proposals: mpsc::Sender<Proposal>,
    reported_states: mpsc::Sender<Vec<RunnerState>>,
}

impl Proposer {
    /// Creates a proposer.
    ///
    /// Moves of runners that this VM owns are sent to `own_proposals`; states that other owners
    /// reply with are sent to `reported_states`.
    pub fn new(
        vm: VmName,
        credentials: Credentials,
        state: KeeperState,
        own_proposals: mpsc::Sender<Proposal>,
        reported_states: mpsc::Sender<Vec<RunnerState>>,
    ) -> Self {
        Self {
            vm,
            credentials,
            state,
            own_proposals,
            reported_states,
        }
    }

    /// Proposes moves to the owners of their runners; moves of runners without an owner are
    /// dropped.
    pub async fn propose(&self, moves: Vec<Move>) {
        for (owner, moves) in group_by_owner(moves, &self.state) {
            log::debug!("keeper: proposing {} moves to {}.", moves.len(), owner.vm);
            if owner.vm == self.vm {
                self.propose_locally(moves).await;
            } else if let Err(error) = self.propose_to(&owner, &moves).await {
                log::debug!("keeper: proposing moves to {} failed: {error}", owner.vm);
            }
        }
    }

    async fn propose_locally(&self, moves: Vec<Move>) {
        let (reply, _) = oneshot::channel();
        let proposal = Proposal {
            sender: self.vm.clone(),
            moves,
            reply,
        };
        let _ = self.own_proposals.send(proposal).await;
    }

    async fn propose_to(&self, owner: &Member, moves: &[Move]) -> Result<(), PeerError> {
        let peer = PeerClient::connect(owner.address, &self.credentials).await?;
        let reported_states = peer.propose(&self.vm, moves).await?;
        let _ = self.reported_states.send(reported_states).await;
        Ok(())
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
