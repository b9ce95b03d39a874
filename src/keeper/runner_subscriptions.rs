//! Subscriptions of VMs to changes of runners.

use {
    crate::{
        fleet::RunnerState,
        units::{RunnerName, VmName},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a subscription lasts after the VM's last proposal.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(150);

/// Subscriptions of VMs to changes of runners; a VM subscribes by proposing moves.
#[derive(Debug, Default)]
pub struct RunnerSubscriptions {
    /// Sorted by VM and runner.
    subscriptions: Vec<Subscription>,
}

#[derive(Debug)]
struct Subscription {
    vm: VmName,
    runner: RunnerName,
    renewed_at: Instant,
}

impl RunnerSubscriptions {
    /// Adds or renews the subscriptions of a VM that proposed moves of runners.
    pub fn renew(&mut self, runners: &[RunnerName], vm: &VmName, now: Instant) {
        for runner in runners {
            let key = (vm, runner);
            let found = self.subscriptions.binary_search_by(|subscription| {
                (&subscription.vm, &subscription.runner).cmp(&key)
            });
            match found {
                Ok(position) => self.subscriptions[position].renewed_at = now,
                Err(position) => {
                    let subscription = Subscription {
                        vm: vm.clone(),
                        runner: runner.clone(),
                        renewed_at: now,
                    };
                    self.subscriptions.insert(position, subscription);
                }
            }
        }
    }

    /// Returns the subscribed VMs, each with the changed states of its runners; removes expired
    /// subscriptions.
    pub fn changes_by_vm(
        &mut self,
        changed: &[RunnerState],
        now: Instant,
    ) -> Vec<(VmName, Vec<RunnerState>)> {
        self.subscriptions
            .retain(|subscription| now.duration_since(subscription.renewed_at) < SUBSCRIPTION_TTL);
        let mut changes: Vec<(VmName, Vec<RunnerState>)> = Vec::new();
        for subscription in &self.subscriptions {
            let Some(state) = changed
                .iter()
                .find(|state| state.name == subscription.runner)
            else {
                continue;
            };
            match changes.last_mut() {
                Some((last, states)) if *last == subscription.vm => states.push(state.clone()),
                _ => changes.push((subscription.vm.clone(), vec![state.clone()])),
            }
        }
        changes
    }
}
