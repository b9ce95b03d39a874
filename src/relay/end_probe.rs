//! Tells at once whether a runner ended after the connection of a request broke.

use {
    super::Relay,
    crate::discovery::{RunnerEntry, RunnerKey},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, timeout},
    },
};

/// How long the probe of a runner waits for a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The shortest interval between two probes of a runner.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The runners that were probed lately.
#[derive(Debug, Default)]
pub(super) struct ProbedRunners(Mutex<Vec<(RunnerKey, Instant)>>);

impl ProbedRunners {
    /// Records a probe of a runner; returns whether it is due.
    fn try_probe(&self, runner: &RunnerKey, now: Instant) -> bool {
        let mut probed = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        probed.retain(|(_, at)| now < *at + PROBE_INTERVAL);
        let is_due = !probed.iter().any(|(known, _)| known == runner);
        if is_due {
            probed.push((runner.clone(), now));
        }
        is_due
    }
}

impl Relay {
    /// Connects to a runner after a request broke there, and reports it if that fails.
    ///
    /// Without other requests for it, the end of a runner is known only once it is delisted.
    pub(super) fn probe_end(self: &Arc<Self>, runner: &Arc<RunnerEntry>) {
        if !self.probed_runners.try_probe(&runner.key, Instant::now()) {
            return;
        }
        let (relay, runner) = (self.clone(), runner.clone());
        tokio::spawn(async move {
            let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(runner.address)).await;
            if !matches!(connected, Ok(Ok(_))) {
                relay.dispatcher.record_unreachable(&runner.key);
            }
        });
    }
}
