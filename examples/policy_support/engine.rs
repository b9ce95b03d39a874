//! A queueing model of one engine: continuous batching, a prefix cache, priorities.

use std::collections::VecDeque;

/// The length of one step of the replay.
pub const STEP_MS: f64 = 20.0;
/// Requests in the batch of one accelerator.
pub const BATCH_MAX: usize = 24;
/// The time for one token of each request of a batch, with none and per other request.
const TOKEN_BASE_MS: f64 = 15.0;
const TOKEN_SLOPE_MS: f64 = 1.0;
/// What a prompt costs, in tokens, without and with its prefix in the cache.
const PROMPT_COST_MISS: f64 = 24.0;
const PROMPT_COST_HIT: f64 = 4.0;
/// Prefixes that the cache of an engine holds.
const PREFIXES_MAX: usize = 24;

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub model: usize,
    pub priority: u8,
    pub prefix: u64,
    pub tokens: f64,
    pub arrived_ms: f64,
    pub target_ms: f64,
}

/// A request in the batch.
#[derive(Debug, Clone, Copy)]
pub struct Running {
    pub job: Job,
    pub prompt_left: f64,
    tokens_left: f64,
}

/// What a step brought.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    FirstToken { job: Job, wait_ms: f64, hit: bool },
    Finished { job: Job },
    Dropped { job: Job },
}

/// A queueing model of one engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    pub waiting: Vec<Job>,
    /// The batch, with whether each prompt's prefix was in the cache.
    pub running: Vec<(Running, bool)>,
    prefixes: VecDeque<u64>,
    /// How many times slower than it should be it is; 0 means healthy, infinite means silent.
    pub slowdown: f64,
}

impl Engine {
    pub fn push(&mut self, job: Job) {
        let rank = |other: &Job| (other.priority, other.arrived_ms);
        let position = self
            .waiting
            .partition_point(|other| rank(other) <= rank(&job));
        self.waiting.insert(position, job);
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Takes one step; with `drop_late`, requests that wait past their target are dropped.
    pub fn step(&mut self, now_ms: f64, drop_late: bool, events: &mut Vec<Event>) {
        if self.slowdown.is_infinite() {
            return;
        }
        if drop_late {
            self.waiting.retain(|job| {
                let in_time = now_ms - job.arrived_ms <= job.target_ms;
                if !in_time {
                    events.push(Event::Dropped { job: *job });
                }
                in_time
            });
        }
        while self.running.len() < BATCH_MAX && !self.waiting.is_empty() {
            let job = self.waiting.remove(0);
            self.start(job);
        }
        let others = self.running.len().saturating_sub(1) as f64;
        let token_ms = (TOKEN_BASE_MS + TOKEN_SLOPE_MS * others) * (1.0 + self.slowdown);
        for (running, hit) in &mut self.running {
            let prompt_before = running.prompt_left;
            let mut work = STEP_MS / token_ms;
            let prompt = work.min(running.prompt_left);
            running.prompt_left -= prompt;
            work -= prompt;
            running.tokens_left -= work;
            if prompt_before > 0.0 && running.prompt_left <= 0.0 {
                let wait_ms = now_ms + STEP_MS - running.job.arrived_ms;
                let (job, hit) = (running.job, *hit);
                events.push(Event::FirstToken { job, wait_ms, hit });
            }
        }
        self.running.retain(|(running, _)| {
            let done = running.tokens_left <= 0.0;
            if done {
                events.push(Event::Finished { job: running.job });
            }
            !done
        });
    }

    fn start(&mut self, job: Job) {
        let known = self
            .prefixes
            .iter()
            .position(|&prefix| prefix == job.prefix);
        if let Some(position) = known {
            self.prefixes.remove(position);
        }
        self.prefixes.push_front(job.prefix);
        self.prefixes.truncate(PREFIXES_MAX);
        let hit = known.is_some();
        let running = Running {
            job,
            prompt_left: if hit {
                PROMPT_COST_HIT
            } else {
                PROMPT_COST_MISS
            },
            tokens_left: job.tokens,
        };
        self.running.push((running, hit));
    }
}
