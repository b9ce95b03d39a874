//! Manages the runners that this VM owns.

use {
    super::{
        AdapterPermits, AuditLog, EngineFactory, FleetTiming, FleetView, LoadLimiter, Move, Owner,
        RunnerRecord, RunnerState, RunnerStates, TaskContext, adapter_share, owner_of,
        supervisor::Supervisor,
    },
    crate::{
        membership::Member,
        store::{SharedStore, StoreError},
        units::{DataCentreName, RunnerName, VmName},
    },
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::watch,
};

/// Manages the runners that this VM owns; must be used within a tokio runtime.
pub struct FleetKeeper {
    context: Arc<TaskContext>,
    data_centre: DataCentreName,
    /// The supervisors of all runners that this VM owned or had to release, sorted by runner.
    supervisors: Mutex<Vec<Supervisor>>,
}

impl FleetKeeper {
    /// Creates a keeper that owns no runner until its first update.
    pub fn new(
        store: SharedStore,
        engines: Box<EngineFactory>,
        me: Owner,
        data_centre: DataCentreName,
        timing: FleetTiming,
    ) -> Self {
        let context = TaskContext {
            load_limiter: Arc::new(LoadLimiter::new(Arc::clone(&store))),
            audit: AuditLog::new(Arc::clone(&store), data_centre.clone()),
            store,
            engine_factory: engines,
            me,
            timing,
            adapter_permits: Arc::default(),
            runner_states: RunnerStates::default(),
            view: watch::Sender::new(Arc::default()),
        };
        Self {
            context: Arc::new(context),
            data_centre,
            supervisors: Mutex::default(),
        }
    }

    /// Applies a new view of the fleet, and acquires or releases runners accordingly.
    pub fn update(&self, view: FleetView) {
        let view = Arc::new(view);
        let former = self.context.view.send_replace(Arc::clone(&view));
        let owners: Vec<VmName> = view
            .members
            .iter()
            .map(|member| member.vm.clone())
            .collect();
        let limit = view.catalog.deployment.adapter_loads_at_once_max;
        let share = adapter_share(limit, &owners, &self.context.me.vm);
        self.context.adapter_permits.set_share(share);
        self.remove_unconfigured(&former, &view);
        let mut supervisors = self.supervisors();
        for supervisor in supervisors.iter() {
            supervisor.set_owned(self.should_own(supervisor.runner(), &view));
        }
        for runner in &view.catalog.runners {
            if self.should_own(&runner.name, &view) {
                self.supervise(&mut supervisors, &runner.name, true);
            }
        }
    }

    /// Returns the supervisor of a runner, which is started if there is none.
    fn supervise<'a>(
        &self,
        supervisors: &'a mut Vec<Supervisor>,
        runner: &RunnerName,
        owned: bool,
    ) -> &'a Supervisor {
        let known = supervisors.binary_search_by(|known| known.runner().cmp(runner));
        let position = known.unwrap_or_else(|position| {
            let context = Arc::clone(&self.context);
            supervisors.insert(position, Supervisor::start(context, runner.clone(), owned));
            position
        });
        &supervisors[position]
    }

    /// Removes the states of runners that the new configuration dropped. Runners that neither
    /// configuration knows stay, since the next one may add them.
    fn remove_unconfigured(&self, former: &FleetView, view: &FleetView) {
        let is_kept = |name: &RunnerName| {
            view.catalog.runner(name).is_some() || former.catalog.runner(name).is_none()
        };
        self.context.runner_states.retain(is_kept);
    }

    /// Returns whether this process should own a runner.
    fn should_own(&self, name: &RunnerName, view: &FleetView) -> bool {
        let me = &self.context.me;
        let is_me = |owner: &Member| owner.vm == me.vm && owner.incarnation == me.incarnation;
        view.may_own(&me.vm)
            && view
                .catalog
                .runner(name)
                .and_then(|runner| owner_of(name, &runner.data_centre, &view.members))
                .is_some_and(is_me)
    }

    /// Queues the moves on runners that this VM owns, and returns the number queued.
    ///
    /// `decision` names the planning decision in the audit log.
    pub fn queue_moves(&self, moves: Vec<Move>, decision: &str) -> usize {
        let supervisors = self.supervisors();
        let queue = |requested: &Move| {
            let found = supervisors.binary_search_by(|known| known.runner().cmp(&requested.runner));
            found.is_ok_and(|at| supervisors[at].enqueue(requested.clone(), decision))
        };
        moves.iter().filter(|requested| queue(requested)).count()
    }

    /// Applies a runner record from a watch or a full read of the store.
    ///
    /// If the record still awaits a release by this process, which does not own the runner, the
    /// release is written to the record.
    pub fn apply_record(&self, record: &RunnerRecord) {
        self.context.runner_states.apply_record(record);
        if record.awaits_release_by(&self.context.me) {
            let mut supervisors = self.supervisors();
            self.supervise(&mut supervisors, &record.name, false)
                .request_release();
        }
    }

    /// Applies a runner state that the runner's owner reported.
    pub fn apply_state(&self, state: RunnerState) {
        self.context.runner_states.update(state);
    }

    /// Returns a receiver of the newest known state of every runner.
    pub fn states(&self) -> watch::Receiver<Arc<Vec<RunnerState>>> {
        self.context.runner_states.subscribe()
    }

    /// Returns this VM's permits for adapter loads.
    pub fn adapter_permits(&self) -> &Arc<AdapterPermits> {
        &self.context.adapter_permits
    }

    /// Returns the data centre of this VM.
    pub fn data_centre(&self) -> &DataCentreName {
        &self.data_centre
    }

    /// Writes the next batch of queued audit records.
    ///
    /// # Errors
    ///
    /// Fails when the store does; the records stay queued for the next call.
    pub async fn flush_audit(&self) -> Result<(), StoreError> {
        self.context.audit.flush().await
    }

    /// Releases all runners, for a planned stop.
    pub async fn release_all(&self) {
        let supervisors = std::mem::take(&mut *self.supervisors());
        for supervisor in &supervisors {
            supervisor.set_owned(false);
        }
        for supervisor in supervisors {
            supervisor.stop().await;
        }
        let _ = self.flush_audit().await;
    }

    fn supervisors(&self) -> MutexGuard<'_, Vec<Supervisor>> {
        self.supervisors
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
