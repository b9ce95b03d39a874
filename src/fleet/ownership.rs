//! Names the owner of each runner by rendezvous hashing.

use crate::{
    membership::Member,
    units::{DataCentreName, RunnerName, VmName},
};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Names the member that should own a runner.
///
/// The members in the runner's data centre come first; the others only count when it has none.
pub fn owner_of<'a>(
    runner: &RunnerName,
    data_centre: &DataCentreName,
    members: &'a [Member],
) -> Option<&'a Member> {
    let near = members
        .iter()
        .filter(|member| member.data_centre == *data_centre);
    highest(runner, near).or_else(|| highest(runner, members.iter()))
}

fn highest<'a>(
    runner: &RunnerName,
    members: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.max_by_key(|member| (weight(runner, &member.vm), &member.vm))
}

fn weight(runner: &RunnerName, vm: &VmName) -> u64 {
    let runner_hash = fnv1a(runner.as_str());
    let vm_hash = fnv1a(vm.as_str());
    mix(runner_hash ^ mix(vm_hash))
}

fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Spreads every bit of the input over the output (the finalizer of SplitMix64).
fn mix(input: u64) -> u64 {
    let once = (input ^ (input >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let twice = (once ^ (once >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    twice ^ (twice >> 31)
}
