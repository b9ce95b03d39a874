//! What a node knows of all runners: their entries, their load, and the demand for their models.

use {
    super::{
        DispatchCounts, ModelDemand, NodeLoad, ResidencyNote, RunnerView, Variant,
        board_shared::BoardShared,
    },
    crate::{
        discovery::{RunnerEntry, RunnerKey},
        traffic::{ActiveConfig, NodeName, ServiceId, ZoneId},
    },
    std::sync::Arc,
    tokio::{
        sync::{futures::Notified, watch},
        time::Instant,
    },
};

/// The shared knowledge of a node about runners.
#[derive(Debug)]
pub struct RunnerBoard {
    /// The data centre of this node.
    pub zone: ZoneId,
    /// The configuration in force.
    pub traffic: Arc<ActiveConfig>,
    pub(super) shared: Arc<BoardShared>,
}

/// What a node tells its peers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeReport {
    /// Its load on runners.
    pub loads: Vec<(RunnerKey, NodeLoad)>,
    /// The demand that it sees.
    pub demand: Vec<ModelDemand>,
    /// Runners that are leaving or gone.
    pub leaving: Vec<RunnerKey>,
    /// Runners that it could not reach since the last round.
    pub unreachable: Vec<RunnerKey>,
    /// Changes of what runners hold.
    pub notes: Vec<ResidencyNote>,
}

impl RunnerBoard {
    /// Makes a board that knows no runners.
    pub fn new(zone: ZoneId, traffic: Arc<ActiveConfig>) -> Self {
        let shared = BoardShared::new(zone.clone(), traffic.clone());
        Self {
            zone,
            traffic,
            shared: Arc::new(shared),
        }
    }

    /// Takes over the platform's list of runners, sorted by key.
    pub fn set_runners(&self, runners: Vec<RunnerEntry>) {
        let now = Instant::now();
        let mut any_leaves = false;
        self.shared
            .change(now, |state| any_leaves = state.set_runners(runners, now));
        if any_leaves {
            self.shared.gossip_now.notify_one();
        }
    }

    /// Works in a change that is known before the runner's entry shows it.
    pub fn note_residency(&self, note: &ResidencyNote) {
        let now = Instant::now();
        self.shared.change(now, |state| {
            let (key, variant) = split(note);
            state.note(&key, &variant, note.held, now);
        });
    }

    /// Returns all listed runners with their load over all nodes.
    pub fn runners(&self) -> Vec<RunnerView> {
        self.shared.with_state(|state, _| {
            let services = state.services().iter();
            let slots = services.flat_map(|service| &service.slots);
            let mut views: Vec<_> = slots
                .filter(|slot| slot.listed)
                .map(|slot| slot.view())
                .collect();
            views.sort_by(|a, b| a.entry.key.cmp(&b.entry.key));
            views
        })
    }

    /// Returns the demand over all nodes.
    pub fn demand(&self) -> Vec<ModelDemand> {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            state.want_plan(now);
            state.demand(now)
        })
    }

    /// Returns how many requests wait at this node, by service.
    pub fn waiting(&self) -> Vec<(ServiceId, usize)> {
        self.shared.with_state(|state, _| {
            let services = state.services().iter();
            let waiting = services.map(|service| (service.name.clone(), service.queue.len()));
            waiting.collect()
        })
    }

    /// Returns how tries at runners ended.
    pub fn counts(&self) -> &DispatchCounts {
        &self.shared.counts
    }

    /// Returns a receiver that wakes when requests begin to wait for a copy, at any node.
    pub fn waiting_demand(&self) -> watch::Receiver<u64> {
        self.shared.waiting_demand.subscribe()
    }

    /// Takes over what a peer tells.
    pub fn hear(&self, node: &NodeName, report: NodeReport) {
        let now = Instant::now();
        let mut more_wait = false;
        self.shared.change(now, |state| {
            for (key, load) in report.loads {
                state.peer_load(node, &key, load, now);
            }
            for demand in report.demand {
                more_wait |= state.peer_demand(node, demand, now);
            }
            for key in &report.leaving {
                state.leaves(key, now);
            }
            for key in &report.unreachable {
                state.suspect(key, now);
            }
            for note in &report.notes {
                let (key, variant) = split(note);
                state.note(&key, &variant, note.held, now);
            }
        });
        if more_wait {
            self.shared.waiting_demand.send_modify(|count| *count += 1);
        }
    }

    /// Returns what has to be told to peers: all, or what changed.
    pub fn tell(&self, all: bool) -> NodeReport {
        let now = Instant::now();
        self.shared.with_state(|state, _| NodeReport {
            loads: state.untold_loads(all, now),
            demand: state.untold_demand(all, now),
            leaving: state.leaving(now),
            unreachable: state.unreachable(),
            notes: Vec::new(),
        })
    }

    /// Forgets what is too old.
    pub fn expire(&self) {
        let now = Instant::now();
        self.shared.change(now, |state| state.expire(now));
    }

    /// Asks for a round of gossip at once.
    pub fn tell_at_once(&self) {
        self.shared.gossip_now.notify_one();
    }

    /// Waits until there is something to tell peers in the next round.
    pub fn changed(&self) -> Notified<'_> {
        self.shared.gossip_soon.notified()
    }

    /// Waits until there is something to tell peers at once.
    pub fn changed_urgently(&self) -> Notified<'_> {
        self.shared.gossip_now.notified()
    }
}

fn split(note: &ResidencyNote) -> (RunnerKey, Variant) {
    let key = RunnerKey {
        id: note.runner.clone(),
        born_unix_ms: note.born_unix_ms,
    };
    let variant = Variant {
        model: note.model.clone(),
        adapter: note.adapter.clone(),
    };
    (key, variant)
}
