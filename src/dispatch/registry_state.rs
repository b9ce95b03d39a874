//! A node's state about runners, demand and waiting requests.

use {
    super::{
        LimitCounters, LoadSum, ModelDemand, NodeList, RunnerHash, RunnerUsage, Variant,
        peer_demand::PeerDemands, registry_sums::aggregate_node_name,
        service_runners::ServiceRunners, tracked_runner::TrackedRunner,
    },
    crate::{
        discovery::{RunnerEntry, RunnerKey},
        quarantine::{Quarantine, QuarantineMessage},
        traffic::{NodeName, ServiceId},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a runner that leaves is reported to peers.
const LEAVING_REPORT_MS: u64 = 3_000;

/// How long peers report demand to this node after it was last queried.
const PLANNING_INTEREST_MS: u64 = 5_000;

/// A runner that is reported to peers as leaving, until an instant.
#[derive(Debug)]
struct LeavingRunner {
    runner: RunnerKey,
    until: Instant,
}

/// The services with their runners and queues, and what is due in the next report.
#[derive(Debug, Default)]
pub(super) struct RegistryState {
    pub(super) services: Vec<ServiceRunners>,
    pub(super) peer_demand: PeerDemands,
    leaving: Vec<LeavingRunner>,
    /// The runners that said that they leave, for the reports to peers.
    stated: Vec<LeavingRunner>,
    unreachable: Vec<RunnerKey>,
    pub(super) reported_waiting: Vec<ModelDemand>,
    last_id: u64,
    pub(super) limit_counters: LimitCounters,
    /// The nodes that share the limits of runners.
    pub(super) nodes: NodeList,
    pub(super) quarantine: Quarantine,
    /// The quarantine messages that are sent directly to all peers, with the rounds left.
    pub(super) repeated_messages: Vec<(QuarantineMessage, u8)>,
    planning_until: Option<Instant>,
}

impl RegistryState {
    /// Returns a new id for a queued request.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn services(&mut self) -> &mut [ServiceRunners] {
        &mut self.services
    }

    /// Returns a service's runners and queue; creates an empty entry for an unknown service.
    pub(super) fn service(&mut self, name: &ServiceId) -> &mut ServiceRunners {
        let found = self.services.binary_search_by(|known| known.name.cmp(name));
        let position = found.unwrap_or_else(|position| {
            let service = ServiceRunners::new(name.clone());
            self.services.insert(position, service);
            position
        });
        &mut self.services[position]
    }

    pub(super) fn runner_mut(&mut self, key: &RunnerKey) -> Option<&mut TrackedRunner> {
        let mut services = self.services.iter_mut();
        services.find_map(|service| service.runner_mut(key))
    }

    pub(super) fn runners_mut(&mut self) -> impl Iterator<Item = &mut TrackedRunner> {
        let services = self.services.iter_mut();
        services.flat_map(|service| &mut service.runners)
    }

    /// Replaces the list of runners; returns whether a runner began to leave or disappeared.
    pub(super) fn set_runners(&mut self, runners: Vec<RunnerEntry>, now: Instant) -> bool {
        let mut departed = Vec::new();
        for runner in self.runners_mut() {
            runner.in_new_list = false;
        }
        for entry in runners {
            let key = entry.key.clone();
            let service = self.service(&entry.service);
            match service.position(&key) {
                Ok(position) => {
                    if service.runners[position].update(entry, now) {
                        departed.push(key);
                    }
                }
                Err(position) => service
                    .runners
                    .insert(position, TrackedRunner::new(entry, now)),
            }
        }
        for runner in self.runners_mut() {
            if runner.gate.departure.is_listed && !runner.in_new_list {
                runner.record_delisted();
                departed.push(runner.entry.key.clone());
            }
        }
        for service in &mut self.services {
            service
                .runners
                .retain(|runner| runner.is_current() || runner.gate.must_be_kept(now));
        }
        for key in &departed {
            if self
                .runner_mut(key)
                .is_none_or(|runner| !runner.gate.departure.is_listed)
            {
                self.quarantine.record_runner_end(key, now);
            }
        }
        let any_departed = !departed.is_empty();
        let until = now + Duration::from_millis(LEAVING_REPORT_MS);
        let leaving = departed
            .into_iter()
            .map(|runner| LeavingRunner { runner, until });
        self.leaving.extend(leaving);
        any_departed
    }

    /// Applies a load or drop of a model to its runner.
    pub(super) fn apply_residency_change(
        &mut self,
        key: &RunnerKey,
        variant: &Variant,
        held: bool,
        now: Instant,
    ) {
        if let Some(runner) = self.runner_mut(key) {
            runner.apply_residency_change(variant, held, now);
        }
    }

    /// Records a peer's report that a runner is leaving.
    pub(super) fn record_leaving(&mut self, key: &RunnerKey, now: Instant) {
        if let Some(runner) = self.runner_mut(key) {
            runner.gate.departure.reported_at = Some(now);
        }
    }

    /// Records that a response says that its runner leaves; returns whether it is the first one.
    pub(super) fn record_statement(&mut self, key: &RunnerKey, now: Instant) -> bool {
        let runner = self.runner_mut(key);
        let is_first = runner.is_some_and(|runner| runner.record_statement(now));
        if is_first {
            self.stated.push(LeavingRunner {
                runner: key.clone(),
                until: now + Duration::from_millis(LEAVING_REPORT_MS),
            });
        }
        is_first
    }

    /// Records a peer's report that a runner said that it leaves.
    pub(super) fn record_peer_statement(&mut self, key: &RunnerKey, now: Instant) {
        if let Some(runner) = self.runner_mut(key) {
            runner.record_statement(now);
        }
    }

    /// Returns the runners that said lately that they leave.
    pub(super) fn stated(&mut self, now: Instant) -> Vec<RunnerKey> {
        self.stated.retain(|leaving| now < leaving.until);
        let runners = self.stated.iter().map(|leaving| leaving.runner.clone());
        runners.collect()
    }

    /// Records a peer's report that a runner cannot be reached.
    pub(super) fn record_peer_failure(&mut self, key: &RunnerKey, now: Instant) {
        self.quarantine.record_runner_end(key, now);
        if let Some(runner) = self.runner_mut(key) {
            runner.gate.health.record_peer_failure(now);
            runner.record_unreachable(now);
        }
    }

    /// Removes and returns the runners that could not be reached since the last round.
    pub(super) fn take_unreachable(&mut self) -> Vec<RunnerKey> {
        std::mem::take(&mut self.unreachable)
    }

    /// Records a failed connection to a runner; returns whether it is still to be reported.
    pub(super) fn record_connect_failure(&mut self, key: &RunnerKey, now: Instant) -> bool {
        let mut services = self.services.iter_mut();
        let service = services.find(|service| service.position(key).is_ok());
        if let Some(service) = service {
            let runners_count = service.runners.len();
            if service.reach.record_failure(key, runners_count, now) {
                log::info!(service:% = service.name, runners = runners_count; "dispatch: a service is out of reach.");
            }
            if let Some(runner) = service.runner_mut(key) {
                runner.record_unreachable(now);
            }
            // A node that is cut off knows nothing of the runners.
            if service.reach.is_probably_cut() {
                return false;
            }
        }
        self.quarantine.record_runner_end(key, now);
        let is_new = !self.unreachable.contains(key);
        if is_new {
            self.unreachable.push(key.clone());
        }
        is_new
    }

    /// Returns the leaving runners that are still reported to peers.
    pub(super) fn leaving(&mut self, now: Instant) -> Vec<RunnerKey> {
        self.leaving.retain(|leaving| now < leaving.until);
        let runners = self.leaving.iter().map(|leaving| leaving.runner.clone());
        runners.collect()
    }

    /// Drops peer reports, residency changes and rates that are too old.
    pub(super) fn expire(&mut self, now: Instant) {
        self.peer_demand.expire(now);
        self.quarantine.expire(now);
        for service in &mut self.services {
            service.demand.remove_decayed(now);
            for runner in &mut service.runners {
                runner.expire(now);
            }
        }
    }

    /// Returns this node's load on the runners for which a report is due.
    pub(super) fn due_loads(
        &mut self,
        full: bool,
        now: Instant,
    ) -> Vec<(RunnerKey, super::NodeLoad)> {
        let runners = self
            .services
            .iter_mut()
            .flat_map(|service| &mut service.runners);
        let loads = runners.filter_map(|runner| {
            let load = runner.due_load(full, now)?;
            Some((runner.entry.key.clone(), load))
        });
        loads.collect()
    }

    /// Records that this node needs the demand of all nodes.
    pub(super) fn request_planning_data(&mut self, now: Instant) {
        self.planning_until = Some(now + Duration::from_millis(PLANNING_INTEREST_MS));
    }

    pub(super) fn needs_planning_data(&self, now: Instant) -> bool {
        self.planning_until.is_some_and(|until| now < until)
    }

    /// Records the summed load of all other nodes, sorted by runner; with `replace`, runners
    /// without a sum count as idle.
    pub(super) fn record_load_sums(
        &mut self,
        sums: &[(RunnerHash, LoadSum)],
        replace: bool,
        now: Instant,
    ) {
        let others = aggregate_node_name();
        for runner in self.runners_mut() {
            let found = sums.binary_search_by_key(&runner.hash, |(hash, _)| *hash);
            let sum = found.ok().map(|position| sums[position].1);
            if let Some(sum) = sum.or(replace.then(LoadSum::default)) {
                runner.record_peer_load(&others, sum.into(), now);
            }
        }
    }

    /// Extends the validity of the sums that were received within `received_within`.
    pub(super) fn renew_load_sums(&mut self, received_within: Duration, now: Instant) {
        let others = aggregate_node_name();
        self.runners_mut()
            .for_each(|runner| runner.renew_load(&others, received_within, now));
    }

    /// Records the requests of all other nodes at a runner by variant.
    pub(super) fn record_usage(&mut self, usage: RunnerUsage, now: Instant) {
        for runner in self
            .runners_mut()
            .filter(|runner| runner.hash == usage.runner)
        {
            runner.record_summed_usage(usage.in_use.clone(), now);
        }
    }

    /// Records a peer's load on a runner.
    pub(super) fn record_peer_load(
        &mut self,
        node: &NodeName,
        key: &RunnerKey,
        load: super::NodeLoad,
        now: Instant,
    ) {
        if let Some(runner) = self.runner_mut(key) {
            runner.record_peer_load(node, load, now);
        }
    }
}
