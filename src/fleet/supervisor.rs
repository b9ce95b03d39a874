//! Acquires one runner while this VM should own it, and releases it otherwise.

use {
    super::{
        Move, QueuedMove, RecordError, TaskContext,
        runner_task::{RunnerTask, release_runner_record},
    },
    crate::{
        config::{Fencing, Runner},
        units::RunnerName,
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Notify, mpsc, watch},
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

/// The delay before this VM tries to acquire a runner again that it lost to another owner.
const LOST_RUNNER_DELAY_MS: u64 = 3000;
/// The delay after a failed attempt to acquire or release a runner.
const RETRY_DELAY_MS: u64 = 1000;
/// The capacity of the channel of moves for one runner.
const QUEUED_MOVES_MAX: usize = 64;

/// Controls the task that owns one runner while this VM should.
pub(super) struct Supervisor {
    runner: RunnerName,
    owned: watch::Sender<bool>,
    release: Arc<Notify>,
    moves: mpsc::Sender<QueuedMove>,
    task: JoinHandle<()>,
}

impl Supervisor {
    /// Starts the task that supervises a runner.
    pub(super) fn start(context: Arc<TaskContext>, runner: RunnerName, owned: bool) -> Self {
        let (owned, owned_receiver) = watch::channel(owned);
        let release = Arc::new(Notify::new());
        let (moves, moves_receiver) = mpsc::channel(QUEUED_MOVES_MAX);
        let supervisor_task = SupervisorTask {
            context,
            name: runner.clone(),
            owned: owned_receiver,
            release: Arc::clone(&release),
            moves: moves_receiver,
        };
        Self {
            runner,
            owned,
            release,
            moves,
            task: tokio::spawn(supervisor_task.run()),
        }
    }

    /// Returns the runner's name.
    pub(super) fn runner(&self) -> &RunnerName {
        &self.runner
    }

    /// Sets whether this VM should own the runner.
    pub(super) fn set_owned(&self, owned: bool) {
        self.owned.send_if_modified(|known| {
            let changed = *known != owned;
            *known = owned;
            changed
        });
    }

    /// Has the task release the runner in its record, unless this VM should own the runner.
    pub(super) fn request_release(&self) {
        if !*self.owned.borrow() {
            self.release.notify_one();
        }
    }

    /// Queues a move if this VM should own the runner; returns whether the move was queued.
    pub(super) fn enqueue(&self, requested: Move, decision: &str) -> bool {
        let queued = QueuedMove::new(requested, decision.to_owned());
        *self.owned.borrow() && self.moves.try_send(queued).is_ok()
    }

    /// Stops the task, and waits until the runner is released.
    pub(super) async fn stop(self) {
        let Self {
            owned, moves, task, ..
        } = self;
        owned.send_replace(false);
        drop((owned, moves));
        let _ = task.await;
    }
}

/// The task of a supervisor.
struct SupervisorTask {
    context: Arc<TaskContext>,
    name: RunnerName,
    owned: watch::Receiver<bool>,
    release: Arc<Notify>,
    moves: mpsc::Receiver<QueuedMove>,
}

impl SupervisorTask {
    /// Runs until the supervisor is stopped or dropped.
    async fn run(mut self) {
        while self.wait_until_owned().await {
            let delay_ms = match self.runner_config() {
                Some(runner) => self.own_runner(runner).await,
                None => RETRY_DELAY_MS,
            };
            sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Waits until this VM should own the runner, and releases the runner on request meanwhile;
    /// returns false when the task should stop.
    async fn wait_until_owned(&mut self) -> bool {
        while !self.is_closed() {
            tokio::select! {
                biased;
                owned = self.owned.wait_for(|owned| *owned) => return owned.is_ok(),
                () = self.release.notified() => {}
            }
            if let Some(runner) = self.runner_config() {
                self.release_runner(&runner.name, runner.fencing).await;
            }
        }
        false
    }

    /// Returns whether the supervisor was stopped or dropped.
    fn is_closed(&self) -> bool {
        self.owned.has_changed().is_err()
    }

    /// Returns the runner's configuration, if it has one.
    fn runner_config(&self) -> Option<Runner> {
        let view = self.context.view.borrow();
        view.catalog.runner(&self.name).cloned()
    }

    /// Acquires the runner and owns it until it is lost or should be released; returns the delay in
    /// milliseconds before the next attempt.
    async fn own_runner(&mut self, runner: Runner) -> u64 {
        let engine = (self.context.engine_factory)(&runner);
        let context = Arc::clone(&self.context);
        let (name, fencing) = (runner.name.clone(), runner.fencing);
        let mut task = match RunnerTask::take_over(context, runner, engine).await {
            Ok(task) => task,
            Err(error) => {
                log::debug!(
                    "fleet: {} failed to acquire {name}: {error}",
                    self.context.me.vm
                );
                return RETRY_DELAY_MS;
            }
        };
        let lost = self.run_until_released(&mut task).await;
        if !lost && let Err(error) = task.withdraw_before_release().await {
            log::debug!("fleet: failed to remove unsent orders from the record of {name}: {error}");
        }
        self.release_runner(&name, fencing).await;
        if lost { LOST_RUNNER_DELAY_MS } else { 0 }
    }

    /// Releases the runner in its record, retrying for as long as the store is unavailable.
    async fn release_runner(&mut self, name: &RunnerName, fencing: Fencing) {
        loop {
            match release_runner_record(&self.context, name, fencing).await {
                Ok(()) => return log::info!("fleet: {} gave up {name}", self.context.me.vm),
                Err(error) => log::warn!("fleet: failed to release {name}, retrying: {error}"),
            }
            if self.is_closed() {
                return;
            }
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    /// Polls the runner and executes its moves until the runner is lost or should be released;
    /// returns whether it was lost to another owner.
    async fn run_until_released(&mut self, task: &mut RunnerTask) -> bool {
        loop {
            match self.run_once(task).await {
                Err(RecordError::OwnershipLost) => return true,
                Err(error) => log::debug!(
                    "fleet: {} failed to poll or change {}: {error}",
                    self.context.me.vm,
                    self.name
                ),
                Ok(()) => {}
            }
            if !*self.owned.borrow() {
                return false;
            }
            if !self.wait_for_work(task).await {
                return false;
            }
        }
    }

    /// Polls the engine and executes the queued moves, once.
    async fn run_once(&self, task: &mut RunnerTask) -> Result<(), RecordError> {
        task.poll().await?;
        if task.execute_moves().await? {
            task.poll().await?;
        }
        Ok(())
    }

    /// Waits for the next poll or a move; returns whether this VM should still own the runner.
    async fn wait_for_work(&mut self, task: &mut RunnerTask) -> bool {
        let next_poll = Instant::now() + task.next_poll_delay();
        tokio::select! {
            biased;
            _ = self.owned.wait_for(|owned| !owned) => return false,
            Some(queued) = self.moves.recv() => task.enqueue(queued),
            () = sleep_until(next_poll) => {}
        }
        while let Ok(queued) = self.moves.try_recv() {
            task.enqueue(queued);
        }
        true
    }
}
