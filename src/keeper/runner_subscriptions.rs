//! The VMs that subscribe to changes of each runner.

use {
    crate::{
        fleet::RunnerState,
        units::{RunnerName, VmName},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a subscription lasts after the last proposal of the VM.
const INTEREST_MAX: Duration = Duration::from_secs(150);

/// The VMs that subscribe to changes of each runner, because they send work there.
#[derive(Debug, Default)]
pub struct RunnerSubscriptions {
    /// Sorted by VM and runner.
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    vm: VmName,
    runner: RunnerName,
    noted_at: Instant,
}

impl RunnerSubscriptions {
    /// Takes note that a VM proposed moves on some runners.
    pub fn note(&mut self, runners: &[RunnerName], vm: &VmName, now: Instant) {
        for runner in runners {
            let key = (vm, runner);
            let found = self
                .entries
                .binary_search_by(|entry| (&entry.vm, &entry.runner).cmp(&key));
            match found {
                Ok(position) => self.entries[position].noted_at = now,
                Err(position) => {
                    let entry = Entry {
                        vm: vm.clone(),
                        runner: runner.clone(),
                        noted_at: now,
                    };
                    self.entries.insert(position, entry);
                }
            }
        }
    }

    /// Returns the VMs to be told of changes, each with the changes that it wants.
    pub fn of(&mut self, changed: &[RunnerState], now: Instant) -> Vec<(VmName, Vec<RunnerState>)> {
        self.entries
            .retain(|entry| now.duration_since(entry.noted_at) < INTEREST_MAX);
        let mut wanted: Vec<(VmName, Vec<RunnerState>)> = Vec::new();
        for entry in &self.entries {
            let Some(state) = changed.iter().find(|state| state.name == entry.runner) else {
                continue;
            };
            match wanted.last_mut() {
                Some((last, states)) if *last == entry.vm => states.push(state.clone()),
                _ => wanted.push((entry.vm.clone(), vec![state.clone()])),
            }
        }
        wanted
    }
}
