//! Compares the latency of calls through an entry with that of direct calls to an engine.

use {
    super::{
        Arrival, LatencyHistogram, LoadClient, LoadSettings, Percentiles, RequestOutcome, Schedule,
        call, new_client,
    },
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Pairs of calls made before the measurement starts.
const WARM_UP_PAIRS: usize = 100;

/// Latencies of calls through an entry and of direct calls to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Latencies of direct calls.
    pub direct: Percentiles,
    /// Latencies of calls through the entry.
    pub through_entry: Percentiles,
    /// The difference of the medians, in milliseconds.
    pub added_p50_ms: f64,
    /// The difference of the 99th percentiles, in milliseconds.
    pub added_p99_ms: f64,
    /// The median through the entry divided by the direct one.
    pub ratio_p50: f64,
    /// The 99th percentile through the entry divided by the direct one.
    pub ratio_p99: f64,
    /// Pairs with a failed call; the latencies leave them out.
    pub failed: u64,
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            direct,
            through_entry,
            ..
        } = self;
        writeln!(
            f,
            "median: direct {:.3} ms, through the entry {:.3} ms, added {:.3} ms, ratio {:.2}",
            direct.p50_ms, through_entry.p50_ms, self.added_p50_ms, self.ratio_p50
        )?;
        writeln!(
            f,
            "99th: direct {:.3} ms, through the entry {:.3} ms, added {:.3} ms, ratio {:.2}",
            direct.p99_ms, through_entry.p99_ms, self.added_p99_ms, self.ratio_p99
        )?;
        writeln!(f, "pairs {}, failed calls {}", direct.count, self.failed)
    }
}

/// Makes pairs of calls one after the other, each pair with the same request, and compares their
/// latencies.
///
/// # Panics
///
/// Panics if the settings name no entry.
pub async fn run_compare(settings: &LoadSettings, direct: SocketAddr) -> Comparison {
    let client = new_client();
    let entry = settings.entries[0];
    let mut schedule = Schedule::new(settings);
    let mut direct_times = LatencyHistogram::new();
    let mut entry_times = LatencyHistogram::new();
    let mut failed = 0;
    for pair in 0..WARM_UP_PAIRS + settings.pairs {
        let arrival = schedule.draw();
        let direct_time = time_call(&client, settings, direct, &arrival).await;
        let entry_time = time_call(&client, settings, entry, &arrival).await;
        if pair < WARM_UP_PAIRS {
            continue;
        }
        match (direct_time, entry_time) {
            (Some(direct_time), Some(entry_time)) => {
                direct_times.add(direct_time);
                entry_times.add(entry_time);
            }
            _ => failed += 1,
        }
    }
    let direct = direct_times.percentiles();
    let through_entry = entry_times.percentiles();
    Comparison {
        direct,
        through_entry,
        added_p50_ms: through_entry.p50_ms - direct.p50_ms,
        added_p99_ms: through_entry.p99_ms - direct.p99_ms,
        ratio_p50: through_entry.p50_ms / direct.p50_ms,
        ratio_p99: through_entry.p99_ms / direct.p99_ms,
        failed,
    }
}

async fn time_call(
    client: &LoadClient,
    settings: &LoadSettings,
    address: SocketAddr,
    arrival: &Arrival,
) -> Option<Duration> {
    let class = &settings.classes[arrival.class];
    let max_wait = Duration::from_millis(settings.answer_timeout_ms);
    match call(client, address, arrival, class, Instant::now(), max_wait).await {
        RequestOutcome::Answered(times) => Some(times.total),
        _ => None,
    }
}
