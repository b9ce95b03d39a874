//! The VM list and its lag.

use {
    crate::{standin::Controlled, units::VmName},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to go.
    Leaving,
}

/// A VM as the list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedVm {
    /// Its name.
    pub vm: VmName,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: VmState,
}

/// The switches of the VM list, and the list itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmSwitches {
    /// Connections are refused.
    pub down: bool,
    /// Requests are taken but never answered.
    pub silent: bool,
    /// How late a changed list is shown, in milliseconds.
    pub lag_ms: u64,
    /// The VMs as they are.
    pub vms: Vec<ListedVm>,
}

#[derive(Debug)]
struct State {
    switches: VmSwitches,
    shown: Vec<ListedVm>,
    /// Lists not shown yet, with the times from which on they are.
    coming: Vec<(Instant, Vec<ListedVm>)>,
    reads: u64,
}

/// The VM list; clones share all state.
#[derive(Debug, Clone)]
pub struct VmList {
    state: Arc<Mutex<State>>,
}

impl VmList {
    /// Makes a list that shows these VMs.
    pub fn new(vms: Vec<ListedVm>) -> Self {
        let state = State {
            shown: vms.clone(),
            switches: VmSwitches {
                vms,
                ..VmSwitches::default()
            },
            coming: Vec::new(),
            reads: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the switches as they stand.
    pub fn switches(&self) -> VmSwitches {
        self.state().switches.clone()
    }

    /// Sets the switches; a changed list is shown after the lag.
    pub fn set_switches(&self, switches: VmSwitches) {
        let mut state = self.state();
        if state.switches.vms != switches.vms {
            let due = Instant::now() + Duration::from_millis(switches.lag_ms);
            state.coming.push((due, switches.vms.clone()));
        }
        state.switches = switches;
    }

    /// Returns the list as it is shown now.
    pub fn read(&self) -> Vec<ListedVm> {
        let now = Instant::now();
        let mut state = self.state();
        state.reads += 1;
        let due = state.coming.iter().rposition(|(due, _)| *due <= now);
        if let Some(at) = due {
            let shown = state.coming.drain(..=at).next_back();
            state.shown = shown.map(|(_, vms)| vms).unwrap_or_default();
        }
        state.shown.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Controlled for VmList {
    type Faults = VmSwitches;

    fn faults(&self) -> VmSwitches {
        self.switches()
    }

    fn set_faults(&self, faults: VmSwitches) {
        self.set_switches(faults);
    }

    fn record(&self) -> Value {
        serde_json::json!({ "reads": self.state().reads })
    }
}
