//! Passes inputs to the fleet and publishes its runner states to other keepers.

use {
    super::{KeeperGossip, KeeperState, ListedVm, Proposal, RunnerSubscriptions, VmState},
    crate::{
        config::Catalog,
        fleet::{FleetKeeper, FleetView, RunnerState, owner_of},
        units::{DataCentreName, VmName},
    },
    std::{borrow::Cow, cell::RefCell, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::Instant,
    },
};

/// How long changes of runners are batched between two publications.
const STATE_BATCH_WINDOW: Duration = Duration::from_millis(100);
/// How often queued audit records are written.
const AUDIT_INTERVAL: Duration = Duration::from_secs(2);
/// The decision that audit records name for a planner's move.
const AUDIT_DECISION: &str = "placement";

/// Passes inputs to the fleet and publishes its runner states to other keepers.
pub struct FleetTask {
    vm: VmName,
    data_centre: DataCentreName,
    state: KeeperState,
    fleet: Rc<FleetKeeper>,
    gossip: Rc<KeeperGossip>,
    subscriptions: RefCell<RunnerSubscriptions>,
}

impl FleetTask {
    /// Creates the task; its methods run until their inputs close.
    pub fn new(
        vm: VmName,
        data_centre: DataCentreName,
        state: KeeperState,
        fleet: Rc<FleetKeeper>,
        gossip: Rc<KeeperGossip>,
    ) -> Self {
        Self {
            vm,
            data_centre,
            state,
            fleet,
            gossip,
            subscriptions: RefCell::default(),
        }
    }

    /// Updates the fleet's view whenever the configuration, the members or the VM list change.
    pub async fn update_fleet_view(&self, mut listed: watch::Receiver<Option<Vec<ListedVm>>>) {
        let mut revisions = self.state.watch_revision();
        let mut members = self.state.watch_members();
        loop {
            self.update_leaving_backends(&listed);
            if !self.state.draining() {
                self.fleet.update(self.view(&mut listed));
            }
            let changed = tokio::select! {
                changed = revisions.changed() => changed.is_ok(),
                changed = members.changed() => changed.is_ok(),
                changed = listed.changed() => changed.is_ok(),
            };
            if !changed {
                return;
            }
        }
    }

    fn update_leaving_backends(&self, listed: &watch::Receiver<Option<Vec<ListedVm>>>) {
        let listed = listed.borrow();
        let vms = listed.iter().flatten();
        let leaving = vms.filter(|vm| vm.state == VmState::Leaving);
        self.state
            .set_leaving_backends(leaving.map(|vm| vm.address).collect());
    }

    fn view(&self, listed: &mut watch::Receiver<Option<Vec<ListedVm>>>) -> FleetView {
        let names = |vms: &Vec<ListedVm>| vms.iter().map(|listed| listed.vm.clone()).collect();
        FleetView {
            catalog: self.catalog(),
            members: self.state.members(),
            listed_vms: listed.borrow_and_update().as_ref().map(names),
        }
    }

    fn catalog(&self) -> Arc<Catalog> {
        self.state
            .in_force()
            .map(|current| current.catalog)
            .unwrap_or_default()
    }

    /// Publishes changed states of owned runners to the data centre and to subscribers.
    ///
    /// Must run in a `LocalSet`.
    pub async fn publish_states(&self) {
        let mut states = self.fleet.states();
        let mut versions = self.state.watch_version();
        loop {
            let newest = states.borrow_and_update().clone();
            let changed_states = self.state.update_runners(&self.with_leaving(&newest));
            versions.mark_unchanged();
            let owned = self.owned(changed_states);
            if !owned.is_empty() {
                self.report_to_subscribers(&owned);
                self.gossip.report_to_data_centre(owned, &self.data_centre);
            }
            let changed = tokio::select! {
                changed = states.changed() => changed.is_ok(),
                changed = versions.changed() => changed.is_ok(),
            };
            if !changed {
                return;
            }
            tokio::time::sleep(STATE_BATCH_WINDOW).await;
        }
    }

    /// Marks the states of runners that the platform lists as leaving.
    fn with_leaving<'a>(&self, states: &'a [RunnerState]) -> Cow<'a, [RunnerState]> {
        let leaving = self.state.leaving_backends();
        if leaving.is_empty() {
            return Cow::Borrowed(states);
        }
        let mut states = states.to_vec();
        let catalog = self.catalog();
        for state in &mut states {
            let runner = catalog.runner(&state.name);
            state.leaving |= runner.is_some_and(|it| leaving.binary_search(&it.address).is_ok());
        }
        Cow::Owned(states)
    }

    fn report_to_subscribers(&self, changed: &[RunnerState]) {
        let subscribed = self
            .subscriptions
            .borrow_mut()
            .changes_by_vm(changed, Instant::now());
        for (vm, states) in subscribed {
            self.gossip.report_to_vm(states, &vm);
        }
    }

    /// Keeps only the states of runners that this VM owns.
    fn owned(&self, mut states: Vec<RunnerState>) -> Vec<RunnerState> {
        let catalog = self.catalog();
        let members = self.state.members();
        states.retain(|state| {
            let runner = catalog.runner(&state.name);
            let owner = runner.and_then(|it| owner_of(&it.name, &it.data_centre, &members));
            owner.is_some_and(|owner| owner.vm == self.vm)
        });
        states
    }

    /// Applies the states that owners of other runners report.
    pub async fn receive_reports(&self, mut reports: mpsc::Receiver<Vec<RunnerState>>) {
        while let Some(states) = reports.recv().await {
            for state in states {
                self.fleet.apply_state(state);
            }
        }
    }

    /// Queues the moves that planners propose, and replies with the states of their runners.
    pub async fn receive_proposals(&self, mut proposals: mpsc::Receiver<Proposal>) {
        while let Some(proposal) = proposals.recv().await {
            let wanted = proposal.moves.iter();
            let runners: Vec<_> = wanted.map(|wanted| wanted.runner.clone()).collect();
            self.fleet.queue_moves(proposal.moves, AUDIT_DECISION);
            self.subscriptions
                .borrow_mut()
                .renew(&runners, &proposal.sender, Instant::now());
            let states = runners
                .iter()
                .filter_map(|runner| self.state.runner(runner));
            let _ = proposal.reply.send(states.collect());
        }
    }

    /// Periodically writes queued audit records.
    pub async fn flush_audit_periodically(&self) {
        loop {
            tokio::time::sleep(AUDIT_INTERVAL).await;
            if let Err(error) = self.fleet.flush_audit().await {
                log::debug!("keeper: writing audit records failed: {error}");
            }
        }
    }
}
