//! Probes runners whose reach is in doubt, and takes a node that is cut off out of rotation.

use {
    crate::{discovery::RunnerEntry, dispatch::RunnerRegistry, http::Readiness, relay::Relay},
    futures::future::join_all,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// The interval at which the reach is examined.
const EXAMINE_INTERVAL: Duration = Duration::from_millis(100);

/// The longest wait for a connection to a probed runner.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Watches which runners this node reaches.
#[derive(Debug)]
pub(super) struct ReachTask {
    pub(super) registry: Arc<RunnerRegistry>,
    pub(super) relay: Arc<Relay>,
    pub(super) readiness: Readiness,
}

impl ReachTask {
    /// Examines the reach at intervals; never returns.
    pub(super) async fn run(self) {
        let mut was_cut_off = false;
        loop {
            sleep(EXAMINE_INTERVAL).await;
            let probes = self.registry.take_probes();
            join_all(probes.iter().map(|runner| self.probe(runner))).await;
            for service in self.registry.services_out_of_reach() {
                self.relay.close_idle_connections(&service);
            }
            let is_cut_off = self.registry.is_cut_off();
            if is_cut_off != was_cut_off {
                log::warn!(cut_off = is_cut_off; "node: the reach of runners changed.");
                was_cut_off = is_cut_off;
            }
            self.readiness.set_cut_off(is_cut_off);
            self.relay.set_cut_off(is_cut_off);
        }
    }

    async fn probe(&self, runner: &Arc<RunnerEntry>) {
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(runner.address)).await;
        let is_reached = matches!(connected, Ok(Ok(_)));
        self.registry.record_probe(runner, is_reached);
    }
}
