//! Paces the loads from the weight store.

use {
    crate::traffic::EngineSpec,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Loads that a new holder may start before its predecessor's are out of the window.
const FIRST_LOADS: usize = 3;

/// Counts the loads from the weight store over a sliding window.
#[derive(Debug, Clone)]
pub struct LoadPacer {
    window: Duration,
    starts: VecDeque<Instant>,
}

impl LoadPacer {
    /// Counts loads over a window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            starts: VecDeque::new(),
        }
    }

    /// Begins a term: the former holder may just have started all that the window allows.
    pub fn begin_term(&mut self, engine: &EngineSpec, now: Instant) {
        self.expire(now);
        let used = self.window_max(engine).saturating_sub(FIRST_LOADS);
        while self.starts.len() < used {
            self.starts.push_back(now);
        }
    }

    /// Notes that a load may start now.
    pub fn started(&mut self, now: Instant) {
        self.starts.push_back(now);
    }

    /// Returns how many loads may start now, while `under_way` are under way.
    ///
    /// So many at once keep their full speed as the weight store's rate and the time of one load
    /// allow.
    pub fn left(&mut self, engine: &EngineSpec, under_way: usize, now: Instant) -> usize {
        self.expire(now);
        let in_window = self.window_max(engine).saturating_sub(self.starts.len());
        let at_once = self.at_once_max(engine).saturating_sub(under_way);
        in_window.min(at_once)
    }

    fn expire(&mut self, now: Instant) {
        let window = self.window;
        let is_old = |start: &Instant| now.duration_since(*start) >= window;
        while self.starts.front().is_some_and(is_old) {
            self.starts.pop_front();
        }
    }

    fn window_max(&self, engine: &EngineSpec) -> usize {
        (engine.loads_per_s * self.window.as_secs_f64()) as usize
    }

    fn at_once_max(&self, engine: &EngineSpec) -> usize {
        let load_s = engine.models.iter().map(|spec| spec.load_s);
        let longest_s = load_s.fold(0.0, f64::max);
        ((engine.loads_per_s * longest_s + 0.001) as usize).max(1)
    }
}
