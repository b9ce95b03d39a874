//! Paces the loads from the weight store.

use {
    super::doubts::LATE_MAX,
    crate::{discovery::RunnerKey, traffic::EngineSpec},
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Loads that a holder may start before the loads of one that it waited out are out of the window.
const FIRST_LOADS: usize = 3;

/// Counts the loads from the weight store over a sliding window.
#[derive(Debug, Clone)]
pub struct LoadPacer {
    window: Duration,
    starts: VecDeque<Instant>,
    /// Runners that may yet begin a load whose order was not answered, and until when that counts.
    late: Vec<(RunnerKey, Instant)>,
}

impl LoadPacer {
    /// Counts loads over a window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            starts: VecDeque::new(),
            late: Vec::new(),
        }
    }

    /// Begins a term: former holders may just have started all that the window allows.
    ///
    /// A holder that has to wait for its predecessor may start a few loads all the same, as no
    /// third one can follow within the window; one that goes on from an earlier start of its own
    /// VM may not, as restarts follow each other at once.
    pub fn begin_term(&mut self, engine: &EngineSpec, waits: bool, now: Instant) {
        self.expire(now);
        let first_loads = if waits { FIRST_LOADS } else { 0 };
        let used = self.window_max(engine).saturating_sub(first_loads);
        self.starts.resize(used.max(self.starts.len()), now);
    }

    /// Counts over another window from now on.
    ///
    /// What a longer one has to count of the past is not known, so that it begins full.
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

    /// Notes that a load may start now.
    pub fn started(&mut self, now: Instant) {
        self.starts.push_back(now);
    }

    /// Notes that the order of a load was not answered, so that the runner may begin it late.
    pub fn unanswered(&mut self, runner: &RunnerKey, now: Instant) {
        self.settled(runner);
        let until = now + LATE_MAX + self.window;
        self.late.push((runner.clone(), until));
    }

    /// Notes that a runner took an order, so that it refuses those before.
    pub fn settled(&mut self, runner: &RunnerKey) {
        self.late.retain(|(late, _)| late != runner);
    }

    /// Returns how many loads may start now, while `under_way` are under way.
    ///
    /// So many at once keep their full speed as the weight store's rate and the time of one load
    /// allow.
    pub fn left(&mut self, engine: &EngineSpec, under_way: usize, now: Instant) -> usize {
        self.expire(now);
        let used = self.starts.len() + self.late.len();
        let in_window = self.window_max(engine).saturating_sub(used);
        let at_once = self.at_once_max(engine).saturating_sub(under_way);
        in_window.min(at_once)
    }

    fn expire(&mut self, now: Instant) {
        let window = self.window;
        let is_old = |start: &Instant| now.duration_since(*start) >= window;
        while self.starts.front().is_some_and(is_old) {
            self.starts.pop_front();
        }
        self.late.retain(|(_, until)| now < *until);
    }

    fn window_max(&self, engine: &EngineSpec) -> usize {
        (engine.store_loads_per_s * self.window.as_secs_f64()) as usize
    }

    fn at_once_max(&self, engine: &EngineSpec) -> usize {
        let load_s = engine.models.iter().map(|spec| spec.load_from_store_s);
        let longest_s = load_s.fold(0.0, f64::max);
        ((engine.store_loads_per_s * longest_s + 0.001) as usize).max(1)
    }
}
