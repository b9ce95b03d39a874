//! Sends the demand that entries report to the planners of all data centres.

use {
    super::{AdapterLoader, KeeperState, planner_of},
    crate::{
        entry::EntryReport,
        fleet::Demand,
        membership::{Member, with_jitter},
        peer::{Credentials, PeerClient, PeerConnectionCache, PeerError},
        placement::DemandTracker,
        units::{DataCentreName, VmName},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// How often a keeper reports the demand of its entry to the planner of the data centre.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// How often a planner reports the demand of its data centre to the planners of the others.
const SHARE_INTERVAL: Duration = Duration::from_secs(30);

/// The largest number of counts that a planner sends to another one; models with less demand
/// need no further copies.
const SHARED_COUNTS_MAX: usize = 100;

/// Sends the demand that entries report to the planners of all data centres.
pub struct DemandTask {
    vm: VmName,
    data_centre: DataCentreName,
    credentials: Credentials,
    state: KeeperState,
    tracker: Rc<RefCell<DemandTracker>>,
    adapter_loader: AdapterLoader,
    connections: RefCell<PeerConnectionCache>,
    /// Demand of this VM's entry that was not yet sent to the planner.
    unreported: RefCell<Vec<Demand>>,
    /// Demand of this data centre that was not yet sent to the other planners.
    unshared: RefCell<Vec<Demand>>,
}

impl DemandTask {
    /// Creates the task; `tracker` receives the demand that this VM plans with.
    pub fn new(
        vm: VmName,
        data_centre: DataCentreName,
        credentials: Credentials,
        state: KeeperState,
        tracker: Rc<RefCell<DemandTracker>>,
        adapter_loader: AdapterLoader,
    ) -> Self {
        Self {
            vm,
            data_centre,
            credentials,
            state,
            tracker,
            adapter_loader,
            connections: RefCell::default(),
            unreported: RefCell::default(),
            unshared: RefCell::default(),
        }
    }

    /// Processes the reports of the entry of this VM until their channel closes.
    pub async fn receive_entry_reports(&self, mut reports: mpsc::Receiver<EntryReport>) {
        while let Some(report) = reports.recv().await {
            for runner in &report.suspects {
                log::info!("keeper: the entry suspects that {runner} has failed.");
            }
            self.adapter_loader.request_missing(&report.demand).await;
            add_counts(&mut self.unreported.borrow_mut(), report.demand);
        }
    }

    /// Processes the reports of other keepers until their channel closes.
    pub async fn receive_peer_reports(&self, mut reports: mpsc::Receiver<DemandReport>) {
        while let Some(report) = reports.recv().await {
            self.tracker
                .borrow_mut()
                .record(&report.demand, Instant::now());
            let members = self.state.members();
            let sender = members.iter().find(|member| member.vm == report.sender);
            if sender.is_some_and(|sender| sender.data_centre == self.data_centre) {
                add_counts(&mut self.unshared.borrow_mut(), report.demand);
            }
        }
    }

    /// Periodically sends the demand of this VM's entry to the planner of the data centre.
    pub async fn report_to_planner(&self) {
        loop {
            tokio::time::sleep(with_jitter(REPORT_INTERVAL)).await;
            let demand = self.unreported.take();
            if demand.is_empty() {
                continue;
            }
            match planner_of(&self.data_centre, &self.state.members()) {
                Some(planner) if planner.vm != self.vm => self.send(planner, &demand).await,
                _ => {
                    self.tracker.borrow_mut().record(&demand, Instant::now());
                    add_counts(&mut self.unshared.borrow_mut(), demand);
                }
            }
        }
    }

    /// Periodically sends the demand of this data centre to the planners of the others.
    pub async fn share_with_planners(&self) {
        loop {
            tokio::time::sleep(with_jitter(SHARE_INTERVAL)).await;
            let demand = select_shared(self.unshared.take());
            if demand.is_empty() {
                continue;
            }
            for planner in self.other_planners() {
                self.send(&planner, &demand).await;
            }
        }
    }

    fn other_planners(&self) -> Vec<Member> {
        let members = self.state.members();
        let Some(current) = self.state.in_force() else {
            return Vec::new();
        };
        let names = current
            .catalog
            .data_centres
            .iter()
            .map(|object| &object.name);
        let planners = names.filter_map(|name| planner_of(name, &members));
        let mut planners: Vec<Member> = planners.filter(|it| it.vm != self.vm).cloned().collect();
        planners.sort_by(|a, b| a.vm.cmp(&b.vm));
        planners.dedup_by(|a, b| a.vm == b.vm);
        planners
    }

    /// Sends demand to a planner, over the cached connection if there is one.
    async fn send(&self, planner: &Member, demand: &[Demand]) {
        let known = self.connections.borrow_mut().remove(planner.address);
        let sent = async {
            let peer = match known {
                Some(peer) => peer,
                None => PeerClient::connect(planner.address, &self.credentials).await?,
            };
            peer.report_demand(&self.vm, demand).await?;
            Ok::<_, PeerError>(peer)
        };
        match sent.await {
            Ok(peer) => self.connections.borrow_mut().insert(planner.address, peer),
            Err(error) => log::debug!("keeper: {} took no demand report: {error}", planner.vm),
        }
    }
}

/// Demand reported by another keeper.
#[derive(Debug)]
pub struct DemandReport {
    /// The reporting VM.
    pub sender: VmName,
    /// The demand counts.
    pub demand: Vec<Demand>,
}

/// Selects the counts to share: those with the most late and refused requests, then those with
/// the most tokens.
fn select_shared(mut demand: Vec<Demand>) -> Vec<Demand> {
    let weight = |count: &Demand| (count.late.saturating_add(count.refused), count.tokens);
    demand.sort_by_key(|count| std::cmp::Reverse(weight(count)));
    demand.truncate(SHARED_COUNTS_MAX);
    demand.sort_by(|a, b| (&a.model, &a.adapter).cmp(&(&b.model, &b.adapter)));
    demand
}

/// Adds counts to a list that is sorted by model and adapter.
fn add_counts(sums: &mut Vec<Demand>, counts: Vec<Demand>) {
    for count in counts {
        let key = (&count.model, &count.adapter);
        match sums.binary_search_by(|sum| (&sum.model, &sum.adapter).cmp(&key)) {
            Ok(position) => add_count(&mut sums[position], &count),
            Err(position) => sums.insert(position, count),
        }
    }
}

fn add_count(sum: &mut Demand, count: &Demand) {
    sum.requests = sum.requests.saturating_add(count.requests);
    sum.tokens = sum.tokens.saturating_add(count.tokens);
    sum.late = sum.late.saturating_add(count.late);
    sum.refused = sum.refused.saturating_add(count.refused);
}
