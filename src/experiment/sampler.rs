//! Asks the stand-in engines what they hold and moved, again and again.

use {
    super::{HeldCopy, MovesMeter, MovesSample, ResidencyLog, http_call::get},
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

/// A runner that is asked.
#[derive(Debug, Clone)]
pub(super) struct SampledRunner {
    /// Its name.
    pub(super) name: String,
    /// Where its status is served.
    pub(super) address: SocketAddr,
    /// Where its record is served.
    pub(super) control: SocketAddr,
}

/// What was seen of the runners.
#[derive(Debug)]
pub(super) struct Sampler {
    runners: Vec<SampledRunner>,
    client: LoadClient,
    meters: Vec<MovesMeter>,
    before: MoveCounts,
    residency: ResidencyLog,
    moves: Vec<MovesSample>,
    start: Instant,
}

impl Sampler {
    /// Makes the sampler of runners and takes the first sample; times count from `start`.
    pub(super) async fn new(runners: Vec<SampledRunner>, start: Instant) -> Self {
        let mut sampler = Self {
            meters: vec![MovesMeter::default(); runners.len()],
            runners,
            client: new_client(),
            before: MoveCounts::default(),
            residency: ResidencyLog::default(),
            moves: Vec::new(),
            start,
        };
        sampler.read_all().await;
        sampler.before = sampler.total();
        sampler
    }

    /// Takes samples until it is dropped.
    pub(super) async fn run(&mut self, every: Duration) {
        let mut ticks = interval_at(self.start + every, every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            self.take().await;
            ticks.tick().await;
        }
    }

    /// Takes one sample.
    pub(super) async fn take(&mut self) {
        self.read_all().await;
        let moves = self.total() - self.before;
        self.moves.push(MovesSample {
            at_s: self.start.elapsed().as_secs_f64(),
            moves,
        });
    }

    /// Returns the copies and the moves.
    pub(super) fn finish(self) -> (Vec<HeldCopy>, Vec<MovesSample>) {
        (self.residency.finish(), self.moves)
    }

    async fn read_all(&mut self) {
        let client = &self.client;
        let reads = self.runners.iter().map(|runner| async move {
            let status: Option<EngineStatus> = read(client, runner.address, "/status").await;
            let record: Option<EngineRecord> = read(client, runner.control, "/record").await;
            (status, record)
        });
        let answers = join_all(reads).await;
        let at_s = self.start.elapsed().as_secs_f64();
        let known = self.runners.iter().zip(&mut self.meters).zip(answers);
        for ((runner, meter), (status, record)) in known {
            self.residency.take(at_s, &runner.name, status.as_ref());
            if let Some(record) = record {
                meter.take(&record);
            }
        }
    }

    fn total(&self) -> MoveCounts {
        let meters = self.meters.iter().map(MovesMeter::total);
        meters.fold(MoveCounts::default(), |sum, counts| sum + counts)
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
