//! The assignment of runners to owners by rendezvous hashing.

use crate::{
    membership::Member,
    routing::{rendezvous_weight, stable_hash},
    units::{DataCentreName, RunnerName, VmName},
};

/// Returns the member that should own a runner.
///
/// Members in the runner's data centre take precedence; others are considered only when the data
/// centre has no member.
pub fn owner_of<'a>(
    runner: &RunnerName,
    data_centre: &DataCentreName,
    members: &'a [Member],
) -> Option<&'a Member> {
    let local = members
        .iter()
        .filter(|member| member.data_centre == *data_centre);
    highest_weight(runner, local).or_else(|| highest_weight(runner, members.iter()))
}

fn highest_weight<'a>(
    runner: &RunnerName,
    members: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.max_by_key(|member| (weight(runner, &member.vm), &member.vm))
}

fn weight(runner: &RunnerName, vm: &VmName) -> u64 {
    rendezvous_weight(stable_hash(runner.as_str()), vm.as_str())
}
