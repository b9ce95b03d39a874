//! Ownership of runners by rendezvous hashing, and the shares of adapter load permits.

use {
    greengagetrail::{
        fleet::{AdapterPermits, adapter_share, owner_of},
        membership::Member,
        units::{DataCentreName, Incarnation, RunnerName, VmName},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, advance},
};

const DATA_CENTRES: usize = 11;
const VMS: usize = 350;
const RUNNERS: usize = 630;

fn data_centre(index: usize) -> DataCentreName {
    format!("dc-{}", index % DATA_CENTRES).parse().unwrap()
}

fn members() -> Vec<Member> {
    let member = |index| Member {
        vm: format!("vm-{index}").parse().unwrap(),
        data_centre: data_centre(index),
        address: "127.0.0.1:1".parse().unwrap(),
        entry_address: "127.0.0.1:2".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    (0..VMS).map(member).collect()
}

fn owners(members: &[Member]) -> Vec<VmName> {
    let owner = |index: usize| {
        let runner: RunnerName = format!("runner-{index}").parse().unwrap();
        let found = owner_of(&runner, &data_centre(index), members).unwrap();
        found.vm.clone()
    };
    (0..RUNNERS).map(owner).collect()
}

#[test]
fn every_runner_is_owned_in_its_data_centre_and_no_vm_owns_many() {
    let members = members();
    let owners = owners(&members);
    for (index, owner) in owners.iter().enumerate() {
        let member = members.iter().find(|member| member.vm == *owner).unwrap();
        assert_eq!(member.data_centre, data_centre(index));
    }
    let most = members
        .iter()
        .map(|member| owners.iter().filter(|owner| **owner == member.vm).count())
        .max();
    let mean = RUNNERS.div_ceil(VMS);
    assert!(most <= Some(5 * mean), "one VM owns {most:?} runners");
}

#[test]
fn only_the_runners_of_a_lost_vm_change_their_owner() {
    let all = members();
    let before = owners(&all);
    for lost in [0, 17, 349] {
        let mut rest = all.clone();
        let lost = rest.remove(lost).vm;
        for (old, new) in before.iter().zip(owners(&rest)) {
            assert!(*old == new || *old == lost, "{old} lost a runner to {new}");
        }
    }
}

#[test]
fn a_data_centre_without_vms_is_served_from_others() {
    let far: Vec<_> = members()
        .into_iter()
        .filter(|member| member.data_centre != data_centre(0))
        .collect();
    let runner = "runner-0".parse().unwrap();
    assert!(owner_of(&runner, &data_centre(0), &far).is_some());
    assert!(owner_of(&runner, &data_centre(0), &[]).is_none());
}

#[test]
fn adapter_shares_add_up_to_the_limit() {
    for count in 1..60 {
        let vms: Vec<VmName> = (0..count)
            .map(|index| format!("vm-{index}").parse().unwrap())
            .collect();
        for limit in [1, 24, 56] {
            let shares: Vec<u32> = vms
                .iter()
                .map(|vm| adapter_share(limit, &vms, vm))
                .collect();
            assert_eq!(shares.iter().sum::<u32>(), limit);
            assert!(limit < count || shares.iter().all(|share| *share >= 1));
        }
    }
    assert_eq!(adapter_share(24, &[], &"vm-0".parse().unwrap()), 0);
}

#[tokio::test(start_paused = true)]
async fn lent_permits_are_never_used_twice() {
    let (lender, borrower) = (Arc::new(AdapterPermits::default()), Arc::default());
    let borrower: Arc<AdapterPermits> = borrower;
    lender.set_share(2);
    let requested_at = Instant::now();
    let granted = lender.lend(5, Duration::from_millis(100));
    borrower.borrow_until(granted, requested_at + Duration::from_millis(100));
    assert_eq!(granted, 2);
    assert!(lender.try_acquire().is_none());
    let held = [borrower.try_acquire(), borrower.try_acquire()];
    assert!(held.iter().all(Option::is_some));
    assert!(borrower.try_acquire().is_none());
    advance(Duration::from_millis(101)).await;
    drop(held);
    assert!(borrower.try_acquire().is_none());
    assert!(lender.try_acquire().is_some());
}
