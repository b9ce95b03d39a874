//! Closed-loop load: a fixed number of workers send requests without a pause.

use {
    super::{LoadSettings, ReasonCounts, RequestOutcome, Schedule, call, new_client},
    crate::telemetry::cpu_time,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::Instant},
};

/// The throughput of a saturated system.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Throughput {
    /// The length of the run, in seconds.
    pub elapsed_s: f64,
    /// Requests with a complete and valid response.
    pub answered: u64,
    /// Tokens of these responses.
    pub tokens: u64,
    /// Valid responses per second.
    pub requests_per_s: f64,
    /// Tokens per second.
    pub tokens_per_s: f64,
    /// The CPU time of the measured processes, in seconds.
    pub cpu_s: f64,
    /// The mean number of cores that the measured processes kept busy.
    pub cores: f64,
    /// Requests per second and busy core.
    pub requests_per_core_s: f64,
    /// Tokens per second and busy core.
    pub tokens_per_core_s: f64,
    /// Requests without a valid response, by reason.
    pub failures: ReasonCounts,
}

impl fmt::Display for Throughput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:.1} s: {:.0} requests/s, {:.0} tokens/s, not answered {}",
            self.elapsed_s,
            self.requests_per_s,
            self.tokens_per_s,
            self.failures.total()
        )?;
        for count in &self.failures.0 {
            writeln!(f, "  {} {}", count.reason, count.count)?;
        }
        writeln!(
            f,
            "measured processes: {:.2} cores busy; per core {:.0} requests/s, {:.0} tokens/s",
            self.cores, self.requests_per_core_s, self.tokens_per_core_s
        )
    }
}

/// Saturates the entries for the configured duration.
pub async fn run_saturate(settings: Arc<LoadSettings>) -> Throughput {
    let start = Instant::now();
    let cpu_before = cpu_times(&settings.process_ids);
    let mut workers = JoinSet::new();
    for worker in 0..settings.workers {
        workers.spawn(run_worker(settings.clone(), worker));
    }
    let mut total = Throughput::default();
    while let Some(done) = workers.join_next().await {
        if let Ok(part) = done {
            total.answered += part.answered;
            total.tokens += part.tokens;
            for count in part.failures.0 {
                (0..count.count).for_each(|_| total.failures.add(&count.reason));
            }
        }
    }
    total.elapsed_s = start.elapsed().as_secs_f64();
    let cpu = cpu_times(&settings.process_ids).saturating_sub(cpu_before);
    total.cpu_s = cpu.as_secs_f64();
    total.requests_per_s = total.answered as f64 / total.elapsed_s;
    total.tokens_per_s = total.tokens as f64 / total.elapsed_s;
    total.cores = total.cpu_s / total.elapsed_s;
    total.requests_per_core_s = total.requests_per_s / total.cores;
    total.tokens_per_core_s = total.tokens_per_s / total.cores;
    total
}

async fn run_worker(settings: Arc<LoadSettings>, worker: usize) -> Throughput {
    let client = new_client();
    let address = settings.entries[worker % settings.entries.len()];
    let max_wait = Duration::from_millis(settings.answer_timeout_ms);
    let end = Instant::now() + Duration::from_secs_f64(settings.duration_s);
    let mut schedule = Schedule::new(&settings);
    let mut part = Throughput::default();
    while Instant::now() < end {
        let arrival = schedule.draw();
        let class = &settings.classes[arrival.class];
        let outcome = call(&client, address, &arrival, class, Instant::now(), max_wait).await;
        match outcome {
            RequestOutcome::Answered(times) => {
                part.answered += 1;
                part.tokens += u64::from(times.tokens);
            }
            RequestOutcome::Refused(reason) | RequestOutcome::Failed(reason) => {
                part.failures.add(&reason)
            }
            RequestOutcome::Wrong(wrong) => part.failures.add(&wrong.to_string()),
        }
    }
    part
}

fn cpu_times(process_ids: &[u32]) -> Duration {
    process_ids.iter().filter_map(|id| cpu_time(*id)).sum()
}
