//! The status of a keeper that `ggt status` prints.

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

/// The status of a keeper that `ggt status` prints.
#[derive(Debug, Serialize)]
pub struct KeeperStatus {
    /// The name of the VM.
    pub vm: VmName,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The head in force.
    pub head: Option<Head>,
    /// Whether the VM is draining.
    pub draining: bool,
    /// The live members.
    pub members: Vec<Member>,
    /// The states of all runners.
    pub runners: Vec<RunnerState>,
    /// The faults found in the history of revisions.
    pub faults: Vec<String>,
}

impl KeeperStatus {
    /// Collects the status from the state of a keeper.
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
