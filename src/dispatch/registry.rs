//! The state that a node shares about runners: listed entries, load, and demand for models.

use {
    super::{
        AttemptCounters, LimitCounters, LimitReport, ModelDemand, NodeList, NodeLoad,
        ResidencyChange, RunnerView, SendCounters, Variant, registry_shared::RegistryShared,
    },
    crate::{
        discovery::{RunnerEntry, RunnerKey},
        quarantine::{EndedAttempts, QuarantineMessage, Verdict},
        streams::StreamVersions,
        traffic::{ActiveConfig, NodeName, ServiceId, ZoneId},
    },
    std::sync::Arc,
    tokio::{
        sync::{futures::Notified, watch},
        time::Instant,
    },
};

/// The shared state of a node about runners, their load and the demand for their models.
#[derive(Debug)]
pub struct RunnerRegistry {
    /// The data centre that this node is in.
    pub zone: ZoneId,
    /// The traffic configuration in force.
    pub traffic: Arc<ActiveConfig>,
    /// The software versions of runners and streams.
    pub streams: Arc<StreamVersions>,
    pub(super) shared: Arc<RegistryShared>,
}

/// The report that a node sends to its peers in a gossip round.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeReport {
    /// The load from the node's own requests on each runner.
    pub loads: Vec<(RunnerKey, NodeLoad)>,
    /// The demand that arrives at the node.
    pub demand: Vec<ModelDemand>,
    /// Runners that are draining or no longer listed.
    pub leaving: Vec<RunnerKey>,
    /// Runners whose responses said lately that they leave.
    pub stated_leaving: Vec<RunnerKey>,
    /// Runners that the node failed to connect to since the last round.
    pub unreachable: Vec<RunnerKey>,
    /// Models and adapters that runners loaded or dropped.
    pub residency_changes: Vec<ResidencyChange>,
    /// Crashed runners, and contents that are harmless or quarantined.
    pub quarantine: Vec<QuarantineMessage>,
    /// Limits that runners name.
    pub limits: Vec<LimitReport>,
}

impl RunnerRegistry {
    /// Creates the state without any runners.
    pub fn new(zone: ZoneId, traffic: Arc<ActiveConfig>) -> Self {
        let shared = RegistryShared::new(zone.clone(), traffic.clone());
        Self {
            zone,
            traffic,
            streams: Arc::default(),
            shared: Arc::new(shared),
        }
    }

    /// Replaces the list of runners with the platform's, which is sorted by key.
    pub fn set_runners(&self, runners: Vec<RunnerEntry>) {
        let now = Instant::now();
        self.streams.set_listed(&runners);
        let mut any_departed = false;
        self.shared
            .update(now, |state| any_departed = state.set_runners(runners, now));
        if any_departed {
            self.shared.urgent_report_pending.notify_one();
        }
    }

    /// Applies a load or drop of a model before the runner's entry shows it.
    pub fn apply_residency_change(&self, change: &ResidencyChange) {
        let now = Instant::now();
        self.shared.update(now, |state| {
            let (key, variant) = key_and_variant(change);
            state.apply_residency_change(&key, &variant, change.held, now);
        });
    }

    /// Returns all listed runners with their load from all nodes.
    pub fn runners(&self) -> Vec<RunnerView> {
        self.shared.with_state(|state, _| {
            let services = state.services().iter();
            let runners = services.flat_map(|service| &service.runners);
            let mut views: Vec<_> = runners
                .filter(|runner| runner.gate.departure.is_listed)
                .map(|runner| runner.view())
                .collect();
            views.sort_by(|a, b| a.entry.key.cmp(&b.entry.key));
            views
        })
    }

    /// Returns the demand at all nodes, and requests it from the peers for the next seconds.
    pub fn demand(&self) -> Vec<ModelDemand> {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            state.request_planning_data(now);
            state.demand(now)
        })
    }

    /// Returns the number of requests that wait at this node, by service.
    pub fn waiting_requests(&self) -> Vec<(ServiceId, usize)> {
        self.shared.with_state(|state, _| {
            let services = state.services().iter();
            let waiting = services.map(|service| (service.name.clone(), service.queue.len()));
            waiting.collect()
        })
    }

    /// Returns the counters of finished attempts at runners.
    pub fn attempt_counters(&self) -> &AttemptCounters {
        &self.shared.attempt_counters
    }

    /// Returns the counters of assigned requests up to their first byte.
    pub fn send_counters(&self) -> &SendCounters {
        &self.shared.send_counters
    }

    /// Replaces the nodes that share the limits of runners.
    pub fn set_nodes(&self, nodes: NodeList) {
        self.shared.with_state(|state, _| state.set_nodes(nodes));
    }

    /// Returns the counters of limits that runners name.
    pub fn limit_counters(&self) -> LimitCounters {
        self.shared.with_state(|state, _| {
            let mut counters = state.limit_counters;
            for service in state.services() {
                let (first, further) = service.limited_attempts;
                counters.first_attempts += first;
                counters.retries += further;
            }
            counters
        })
    }

    /// Returns the verdicts that hold.
    pub fn verdicts(&self) -> Vec<Verdict> {
        let now = Instant::now();
        self.shared
            .with_state(|state, _| state.quarantine.verdicts(now))
    }

    /// Applies verdicts that were stored.
    pub fn apply_verdicts(&self, verdicts: Vec<Verdict>) {
        let now = Instant::now();
        self.shared.update(now, |state| {
            for verdict in verdicts {
                let message = QuarantineMessage::Verdict(verdict);
                state.quarantine.apply(message, now);
            }
        });
    }

    /// Returns the number of attempts that ended with their runner.
    pub fn ended_attempts(&self) -> EndedAttempts {
        self.shared
            .with_state(|state, _| state.quarantine.ended_attempts())
    }

    /// Returns a receiver that is notified when requests begin to wait for a copy at any node.
    pub fn subscribe_waiting_demand(&self) -> watch::Receiver<u64> {
        self.shared.waiting_demand.subscribe()
    }

    /// Applies a peer's report.
    pub fn apply_peer_report(&self, node: &NodeName, report: NodeReport) {
        let now = Instant::now();
        let mut more_waiting = false;
        self.shared.update(now, |state| {
            for (key, load) in report.loads {
                state.record_peer_load(node, &key, load, now);
            }
            for demand in report.demand {
                more_waiting |= state.record_peer_demand(node, demand, now);
            }
            for key in &report.leaving {
                state.record_leaving(key, now);
            }
            for key in &report.stated_leaving {
                state.record_peer_statement(key, now);
            }
            for key in &report.unreachable {
                state.record_peer_failure(key, now);
            }
            for change in &report.residency_changes {
                let (key, variant) = key_and_variant(change);
                state.apply_residency_change(&key, &variant, change.held, now);
            }
            for message in report.quarantine {
                state.quarantine.apply(message, now);
            }
            for report in &report.limits {
                state.apply_limit(&report.runner, report.limit, report.observed_at(now));
            }
        });
        if more_waiting {
            self.shared.waiting_demand.send_modify(|count| *count += 1);
        }
    }

    /// Returns the report for the peers: the full state, or only the changes.
    pub fn collect_report(&self, full: bool) -> NodeReport {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            let report = NodeReport {
                loads: state.due_loads(full, now),
                demand: state.due_demand(full, now),
                leaving: state.leaving(now),
                stated_leaving: state.stated(now),
                unreachable: state.take_unreachable(),
                residency_changes: Vec::new(),
                quarantine: state.next_direct_messages(full, now),
                limits: state.due_limits(full, now),
            };
            if state.has_direct_messages() {
                self.shared.report_pending.notify_one();
            }
            report
        })
    }

    /// Drops peer reports, residency changes and rates that are too old.
    pub fn expire(&self) {
        let now = Instant::now();
        self.shared.update(now, |state| state.expire(now));
    }

    /// Requests a gossip round at once.
    pub fn request_urgent_round(&self) {
        self.shared.urgent_report_pending.notify_one();
    }

    /// Waits until there is something to report in the next gossip round.
    pub fn report_pending(&self) -> Notified<'_> {
        self.shared.report_pending.notified()
    }

    /// Waits until there is something to report at once.
    pub fn urgent_report_pending(&self) -> Notified<'_> {
        self.shared.urgent_report_pending.notified()
    }
}

fn key_and_variant(change: &ResidencyChange) -> (RunnerKey, Variant) {
    let key = RunnerKey {
        id: change.runner.clone(),
        born_unix_ms: change.born_unix_ms,
    };
    let variant = Variant {
        model: change.model.clone(),
        adapter: change.adapter.clone(),
    };
    (key, variant)
}
