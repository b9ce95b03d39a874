//! A node's state about runners, demand and waiting requests.

use {
    super::{
        LoadSum, ModelDemand, RunnerHash, RunnerUse, Variant, board_sums::sum_name,
        demand_sum::DemandSum, peer_demand::PeerDemands, runner_slot::RunnerSlot,
        service_runners::ServiceRunners,
    },
    crate::{
        discovery::{RunnerEntry, RunnerKey},
        traffic::{NodeName, ServiceId},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a runner that leaves is reported to peers.
const LEAVING_MS: u64 = 3_000;

/// How long a request waits for a free slot before it counts as demand for a further copy.
const ROOM_WAIT_MS: u64 = 250;

/// How long a request waits for a free slot before less urgent ones at other nodes yield.
const URGENT_WAIT_MS: u64 = 50;

/// How long peers report demand to this node after it was last queried.
const PLAN_WANTED_MS: u64 = 5_000;

#[derive(Debug)]
struct Leaving {
    runner: RunnerKey,
    until: Instant,
}

/// The services with their runners and queues, and what is due in the next report.
#[derive(Debug, Default)]
pub(super) struct BoardState {
    services: Vec<ServiceRunners>,
    pub(super) peers: PeerDemands,
    leaving: Vec<Leaving>,
    unreachable: Vec<RunnerKey>,
    waiting_told: Vec<ModelDemand>,
    last_id: u64,
    plan_wanted_until: Option<Instant>,
}

impl BoardState {
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

    pub(super) fn slot(&mut self, key: &RunnerKey) -> Option<&mut RunnerSlot> {
        let mut services = self.services.iter_mut();
        services.find_map(|service| service.slot(key))
    }

    fn slots(&mut self) -> impl Iterator<Item = &mut RunnerSlot> {
        let services = self.services.iter_mut();
        services.flat_map(|service| &mut service.slots)
    }

    /// Replaces the list of runners; returns whether a runner began to leave or disappeared.
    pub(super) fn set_runners(&mut self, runners: Vec<RunnerEntry>, now: Instant) -> bool {
        let mut left = Vec::new();
        for slot in self.slots() {
            slot.seen = false;
        }
        for entry in runners {
            let key = entry.key.clone();
            let service = self.service(&entry.service);
            match service.position(&key) {
                Ok(position) => {
                    if service.slots[position].update(entry, now) {
                        left.push(key);
                    }
                }
                Err(position) => service.slots.insert(position, RunnerSlot::new(entry, now)),
            }
        }
        for slot in self.slots() {
            if slot.listed && !slot.seen {
                slot.listed = false;
                left.push(slot.entry.key.clone());
            }
        }
        for service in &mut self.services {
            service
                .slots
                .retain(|slot| slot.listed || slot.own.requests > 0);
        }
        let any = !left.is_empty();
        let until = now + Duration::from_millis(LEAVING_MS);
        let leaving = left.into_iter().map(|runner| Leaving { runner, until });
        self.leaving.extend(leaving);
        any
    }

    pub(super) fn note(&mut self, key: &RunnerKey, variant: &Variant, held: bool, now: Instant) {
        if let Some(slot) = self.slot(key) {
            slot.note(variant, held, now);
        }
    }

    /// Records a peer's report that a runner is leaving.
    pub(super) fn leaves(&mut self, key: &RunnerKey, now: Instant) {
        if let Some(slot) = self.slot(key) {
            slot.leaves(now);
        }
    }

    /// Records a peer's report that a runner cannot be reached.
    pub(super) fn suspect(&mut self, key: &RunnerKey, now: Instant) {
        if let Some(slot) = self.slot(key) {
            slot.health.suspect(now);
        }
    }

    /// Takes the runners that could not be reached since the last round.
    pub(super) fn unreachable(&mut self) -> Vec<RunnerKey> {
        std::mem::take(&mut self.unreachable)
    }

    /// Records a failed connection to a runner; returns whether it is still to be reported.
    pub(super) fn failed_to_reach(&mut self, key: &RunnerKey) -> bool {
        let news = !self.unreachable.contains(key);
        if news {
            self.unreachable.push(key.clone());
        }
        news
    }

    /// Returns the leaving runners that are still reported to peers.
    pub(super) fn leaving(&mut self, now: Instant) -> Vec<RunnerKey> {
        self.leaving.retain(|leaving| now < leaving.until);
        let runners = self.leaving.iter().map(|leaving| leaving.runner.clone());
        runners.collect()
    }

    /// Drops peer reports, residency changes and rates that are too old.
    pub(super) fn expire(&mut self, now: Instant) {
        self.peers.expire(now);
        for service in &mut self.services {
            service.demand.forget_old(now);
            for slot in &mut service.slots {
                slot.expire(now);
            }
        }
    }

    /// Returns the demand that arrives at this node.
    pub(super) fn own_demand(&self, now: Instant) -> Vec<ModelDemand> {
        let mut all = DemandSum::default();
        for service in &self.services {
            for (variant, per_s) in service.demand.variants(now) {
                all.add(&service.name, variant, per_s, 0);
            }
            let room_wait = Duration::from_millis(ROOM_WAIT_MS);
            for waiter in service.queue.iter() {
                let counts = waiter.no_copy || now >= waiter.since + room_wait;
                let Some(variant) = &waiter.ask.variant else {
                    continue;
                };
                if counts {
                    all.add(&service.name, variant, 0.0, 1);
                }
                let urgent_wait = Duration::from_millis(URGENT_WAIT_MS);
                let urges = !waiter.no_copy && now >= waiter.since + urgent_wait;
                if urges && now < waiter.ask.target_at {
                    all.waits_for_room(&service.name, variant, waiter.ask.priority);
                }
            }
        }
        all.0
    }

    /// Returns the demand at all nodes.
    pub(super) fn demand(&self, now: Instant) -> Vec<ModelDemand> {
        let mut all = DemandSum(self.own_demand(now));
        for demand in self.peers.iter() {
            let variant = Variant {
                model: demand.model.clone(),
                adapter: demand.adapter.clone(),
            };
            let (per_s, waiting) = (demand.requests_per_s, demand.waiting);
            all.add(&demand.service, &variant, per_s, waiting);
        }
        all.0
    }

    /// Returns this node's demand that is due for a report: all, or where the waiting requests
    /// changed since the last report.
    pub(super) fn untold_demand(&mut self, all: bool, now: Instant) -> Vec<ModelDemand> {
        let demand = self.own_demand(now);
        let told = std::mem::take(&mut self.waiting_told);
        let changed = |demand: &ModelDemand| {
            let found = told.binary_search_by(|known| known.key().cmp(&demand.key()));
            let known = found.ok().map(|position| &told[position]);
            demand.room_priority.is_some()
                || known.is_some_and(|known| known.room_priority.is_some())
                || known.map_or(0, |known| known.waiting) != demand.waiting
        };
        let due = demand.iter().filter(|demand| all || changed(demand));
        let due = due.cloned().collect();
        let waits = |demand: &ModelDemand| demand.waiting > 0 || demand.room_priority.is_some();
        self.waiting_told = demand.into_iter().filter(waits).collect();
        due
    }

    /// Returns this node's load on the runners for which a report is due.
    pub(super) fn untold_loads(
        &mut self,
        all: bool,
        now: Instant,
    ) -> Vec<(RunnerKey, super::NodeLoad)> {
        let slots = self
            .services
            .iter_mut()
            .flat_map(|service| &mut service.slots);
        let loads = slots.filter_map(|slot| {
            let load = slot.untold_load(all, now)?;
            Some((slot.entry.key.clone(), load))
        });
        loads.collect()
    }

    /// Records a peer's demand; returns whether more requests wait there than before.
    pub(super) fn peer_demand(
        &mut self,
        node: &NodeName,
        demand: ModelDemand,
        now: Instant,
    ) -> bool {
        let service = self.service(&demand.service);
        service.urgent_waits.hear(node, &demand, now);
        self.peers.hear(node, demand, now)
    }

    /// Records that this node needs the demand of all nodes.
    pub(super) fn want_plan(&mut self, now: Instant) {
        self.plan_wanted_until = Some(now + Duration::from_millis(PLAN_WANTED_MS));
    }

    pub(super) fn is_plan_wanted(&self, now: Instant) -> bool {
        self.plan_wanted_until.is_some_and(|until| now < until)
    }

    /// Records the summed load of all other nodes, sorted by runner; with `replace`, runners
    /// without a sum count as idle.
    pub(super) fn hear_sums(
        &mut self,
        sums: &[(RunnerHash, LoadSum)],
        replace: bool,
        now: Instant,
    ) {
        let others = sum_name();
        for slot in self.slots() {
            let found = sums.binary_search_by_key(&slot.short, |(runner, _)| *runner);
            let sum = found.ok().map(|position| sums[position].1);
            if let Some(sum) = sum.or(replace.then(LoadSum::default)) {
                slot.peer_load(&others, sum.into(), now);
            }
        }
    }

    pub(super) fn renew_sums(&mut self, told_within: Duration, now: Instant) {
        let others = sum_name();
        self.slots()
            .for_each(|slot| slot.renew(&others, told_within, now));
    }

    pub(super) fn hear_use(&mut self, used: RunnerUse, now: Instant) {
        for slot in self.slots().filter(|slot| slot.short == used.runner) {
            slot.hear_use(used.in_use.clone(), now);
        }
    }

    /// Records a peer's load on a runner.
    pub(super) fn peer_load(
        &mut self,
        node: &NodeName,
        key: &RunnerKey,
        load: super::NodeLoad,
        now: Instant,
    ) {
        if let Some(slot) = self.slot(key) {
            slot.peer_load(node, load, now);
        }
    }
}
