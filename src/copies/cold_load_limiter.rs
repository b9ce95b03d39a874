//! Limits the rate of model loads from the weight store.

use {
    super::unanswered_orders::LATE_ORDER_MAX,
    crate::{discovery::RunnerKey, traffic::EngineSpec},
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// The loads that a leader which waited for its predecessor's term to end may start while the
/// predecessor's loads are still in the window.
const LOADS_AFTER_WAIT: usize = 3;

/// The share of the weight store that may be in use when a model without demand is loaded.
const IDLE_LOADS_SHARE: f64 = 0.25;

/// Limits the loads from the weight store over a sliding window.
#[derive(Debug, Clone)]
pub struct ColdLoadLimiter {
    window: Duration,
    /// When the loads in the window started, in order.
    starts: VecDeque<Instant>,
    /// Runners that may still start a load whose order has no reply, and until when the load
    /// counts.
    late: Vec<(RunnerKey, Instant)>,
}

impl ColdLoadLimiter {
    /// Creates a limiter that counts loads over a window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            starts: VecDeque::new(),
            late: Vec::new(),
        }
    }

    /// Begins a term, with the window counted as full: earlier leaders may just have started as
    /// many loads as it allows.
    ///
    /// A leader that had to wait for its predecessor may still start a few loads, as no third
    /// leader can follow within the window. One that continues after a restart of its own VM may
    /// not, as restarts can follow each other at once.
    pub fn begin_term(&mut self, engine: &EngineSpec, waited: bool, now: Instant) {
        self.expire(now);
        let allowed_loads = if waited { LOADS_AFTER_WAIT } else { 0 };
        let used = self.window_max(engine).saturating_sub(allowed_loads);
        self.starts.resize(used.max(self.starts.len()), now);
    }

    /// Changes the length of the window.
    ///
    /// The loads that a longer window should include are no longer known, so it counts as full.
    pub fn set_window(&mut self, engine: &EngineSpec, window: Duration, now: Instant) {
        let longer = window.saturating_sub(self.window);
        self.window = window;
        if !longer.is_zero() {
            for (_, until) in &mut self.late {
                *until += longer;
            }
            self.begin_term(engine, false, now);
        }
    }

    /// Records a load that may start now.
    pub fn record_start(&mut self, now: Instant) {
        self.starts.push_back(now);
    }

    /// Records that the order for a load has no reply, so that the runner may start it late.
    pub fn record_unanswered(&mut self, runner: &RunnerKey, now: Instant) {
        self.clear_unanswered(runner);
        let until = now + LATE_ORDER_MAX + self.window;
        self.late.push((runner.clone(), until));
    }

    /// Records that a runner accepted a later order, so that it rejects the unanswered one.
    pub fn clear_unanswered(&mut self, runner: &RunnerKey) {
        self.late.retain(|(late, _)| late != runner);
    }

    /// Returns how many loads may start now, while `in_progress` are in progress.
    ///
    /// The number in progress is limited to what the weight store can serve at full speed: its
    /// rate times the duration of one load.
    pub fn available(&mut self, engine: &EngineSpec, in_progress: usize, now: Instant) -> usize {
        self.expire(now);
        let used = self.starts.len() + self.late.len();
        let left_in_window = self.window_max(engine).saturating_sub(used);
        let left_at_once = self.at_once_max(engine).saturating_sub(in_progress);
        left_in_window.min(left_at_once)
    }

    /// Returns how many loads of models without demand may start now, while `in_progress` loads
    /// are in progress.
    ///
    /// They may take up a share of the weight store only, so that a model that is asked for finds
    /// the store and a runner free.
    pub fn available_for_idle(
        &mut self,
        engine: &EngineSpec,
        in_progress: usize,
        now: Instant,
    ) -> usize {
        self.expire(now);
        let used = self.starts.len() + self.late.len();
        let share = |max: usize| (max as f64 * IDLE_LOADS_SHARE).ceil() as usize;
        let left_in_window = share(self.window_max(engine)).saturating_sub(used);
        let left_at_once = share(self.at_once_max(engine)).saturating_sub(in_progress);
        left_in_window.min(left_at_once)
    }

    /// Removes the loads that have left the window.
    fn expire(&mut self, now: Instant) {
        let window = self.window;
        let is_old = |start: &Instant| now.duration_since(*start) >= window;
        while self.starts.front().is_some_and(is_old) {
            self.starts.pop_front();
        }
        self.late.retain(|(_, until)| now < *until);
    }

    /// Returns the maximum number of loads in the window.
    fn window_max(&self, engine: &EngineSpec) -> usize {
        (engine.store_loads_per_s * self.window.as_secs_f64()) as usize
    }

    /// Returns the maximum number of loads in progress, at least one.
    fn at_once_max(&self, engine: &EngineSpec) -> usize {
        let load_s = engine.models.iter().map(|spec| spec.load_from_store_s);
        let longest_s = load_s.fold(0.0, f64::max);
        ((engine.store_loads_per_s * longest_s + 0.001) as usize).max(1)
    }
}
