//! Periodic sampling of the status and move counts of the stand-in engines.

use {
    super::{CopyInterval, MoveCounter, MovesSample, ResidencyLog, http_call::get},
    crate::{
        engine::EngineStatus,
        load::{LoadClient, MoveCounts, new_client},
        standin::engine::EngineRecord,
    },
    futures::future::join_all,
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, MissedTickBehavior, interval_at},
};

/// A runner to sample.
#[derive(Debug, Clone)]
pub(super) struct SampledRunner {
    /// The name of the runner.
    pub(super) name: String,
    /// The address that serves the status.
    pub(super) address: SocketAddr,
    /// The control address, which serves the record of moves.
    pub(super) control: SocketAddr,
}

/// Samples runners and records their copies and moves.
#[derive(Debug)]
pub(super) struct Sampler {
    runners: Vec<SampledRunner>,
    client: LoadClient,
    counters: Vec<MoveCounter>,
    moves_at_start: MoveCounts,
    residency: ResidencyLog,
    moves: Vec<MovesSample>,
    start: Instant,
}

impl Sampler {
    /// Creates a sampler and reads the runners once, as the baseline of the move counts.
    ///
    /// Times count from `start`.
    pub(super) async fn new(runners: Vec<SampledRunner>, start: Instant) -> Self {
        let mut sampler = Self {
            counters: vec![MoveCounter::default(); runners.len()],
            runners,
            client: new_client(),
            moves_at_start: MoveCounts::default(),
            residency: ResidencyLog::default(),
            moves: Vec::new(),
            start,
        };
        sampler.read_runners().await;
        sampler.moves_at_start = sampler.total();
        sampler
    }

    /// Takes samples at this interval; never returns.
    pub(super) async fn run(&mut self, every: Duration) {
        let mut ticks = interval_at(self.start + every, every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            self.take_sample().await;
            ticks.tick().await;
        }
    }

    /// Takes one sample of all runners.
    pub(super) async fn take_sample(&mut self) {
        self.read_runners().await;
        let moves = self.total() - self.moves_at_start;
        self.moves.push(MovesSample {
            at_s: self.start.elapsed().as_secs_f64(),
            moves,
        });
    }

    /// Returns the recorded copies and move counts.
    pub(super) fn finish(self) -> (Vec<CopyInterval>, Vec<MovesSample>) {
        (self.residency.finish(), self.moves)
    }

    async fn read_runners(&mut self) {
        let client = &self.client;
        let reads = self.runners.iter().map(|runner| async move {
            let status: Option<EngineStatus> = read(client, runner.address, "/status").await;
            let record: Option<EngineRecord> = read(client, runner.control, "/record").await;
            (status, record)
        });
        let responses = join_all(reads).await;
        let at_s = self.start.elapsed().as_secs_f64();
        let known = self.runners.iter().zip(&mut self.counters).zip(responses);
        for ((runner, counter), (status, record)) in known {
            self.residency
                .record_status(at_s, &runner.name, status.as_ref());
            if let Some(record) = record {
                counter.add_record(&record);
            }
        }
    }

    fn total(&self) -> MoveCounts {
        let counters = self.counters.iter().map(MoveCounter::total);
        counters.fold(MoveCounts::default(), |sum, counts| sum + counts)
    }
}

async fn read<T: DeserializeOwned>(
    client: &LoadClient,
    address: SocketAddr,
    path: &str,
) -> Option<T> {
    let body = get(client, address, path).await?;
    serde_json::from_slice(&body).ok()
}
