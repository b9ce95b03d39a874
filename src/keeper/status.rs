//! What `ggt status` shows of a keeper.

use {
    super::KeeperState,
    crate::{
        config::{Head, HistoryFault},
        fleet::RunnerState,
        membership::Member,
        units::{Incarnation, VmName},
    },
    serde::Serialize,
};

/// What `ggt status` shows of a keeper.
#[derive(Debug, Serialize)]
pub struct KeeperStatus {
    /// The VM.
    pub vm: VmName,
    /// The number of this start.
    pub incarnation: Incarnation,
    /// The revision in force.
    pub head: Option<Head>,
    /// Whether the VM drains.
    pub draining: bool,
    /// The live members.
    pub members: Vec<Member>,
    /// The states of all runners.
    pub runners: Vec<RunnerState>,
    /// What is wrong with the history of revisions.
    pub faults: Vec<String>,
}

impl KeeperStatus {
    /// Collects the status.
    pub fn collect(vm: &VmName, incarnation: Incarnation, state: &KeeperState) -> Self {
        Self {
            vm: vm.clone(),
            incarnation,
            head: state.head(),
            draining: state.draining(),
            members: state.members(),
            runners: state.runners(),
            faults: state.history_faults().iter().map(describe).collect(),
        }
    }
}

fn describe(fault: &HistoryFault) -> String {
    match fault {
        HistoryFault::StoreBehind(head) => {
            format!(
                "the key-value service went back to revision {}",
                head.revision
            )
        }
        HistoryFault::Diverged(head) => {
            format!(
                "two configurations call themselves revision {}",
                head.revision
            )
        }
    }
}
