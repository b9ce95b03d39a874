//! Serves callers until the planned stop, and reports to the keeper.

use {
    super::{Entry, EntrySettings},
    crate::{
        fleet::Demand,
        http::{ListenerLimits, Readiness, serve_http_within},
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        time::{self, MissedTickBehavior},
    },
    tokio_util::sync::CancellationToken,
};

/// The largest head of a caller's request, in bytes.
const REQUEST_HEAD_MAX_BYTES: usize = 32 * 1024;

/// The interval between checks of a planned stop whether all calls are finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Entry {
    /// Serves callers until `stop` is cancelled or the view requests a drain.
    ///
    /// On either, readiness fails first; after the drain delay the listener is closed and open
    /// requests are finished. Returns whether all of them finished in time.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        readiness: Readiness,
        stop: CancellationToken,
    ) -> bool {
        let closing = CancellationToken::new();
        let limits = limits(&self.settings);
        let entry = self.clone();
        let handle = move |request| entry.clone().handle(request);
        let memory = self.body_memory().clone();
        let stop_serving = closing.clone();
        let served = tokio::spawn(serve_http_within(
            listener,
            limits,
            memory,
            None,
            stop_serving,
            handle,
        ));
        self.wait_for_stop(&readiness, &stop).await;
        log::info!("entry: draining {} open requests", self.open_requests());
        readiness.set(false);
        time::sleep(Duration::from_millis(self.settings.drain_delay_ms)).await;
        closing.cancel();
        let finished = served.await.unwrap_or(false) && self.wait_for_detached_calls().await;
        log::info!("entry: stopped; all requests finished: {finished}");
        finished
    }

    /// Waits for calls without a caller's connection: those whose caller disconnected and those
    /// forwarded by other entries. Returns whether all of them finished in time.
    async fn wait_for_detached_calls(&self) -> bool {
        let finishing = async {
            while self.open_requests() > 0 {
                time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let limit = Duration::from_millis(self.settings.drain_max_ms);
        time::timeout(limit, finishing).await.is_ok()
    }

    async fn wait_for_stop(&self, readiness: &Readiness, stop: &CancellationToken) {
        let mut views = self.routes.receiver();
        let drain = async {
            let draining = views.wait_for(|view| {
                readiness.set(view.head.is_some() && !view.draining);
                view.draining
            });
            if draining.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = drain => {}
            () = stop.cancelled() => {}
        }
    }

    /// Passes reports with content to `send`, at the report interval and on request, without end.
    pub async fn report_periodically(self: Arc<Self>, send: impl Fn(super::EntryReport)) {
        let period = Duration::from_millis(self.settings.report_interval_ms);
        let mut ticks = time::interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.report_requested.notified() => {}
            }
            let report = self.collect_report();
            let demand = report.demand.iter().any(has_counts);
            if demand || !report.suspects.is_empty() {
                send(report);
            }
        }
    }
}

fn has_counts(demand: &Demand) -> bool {
    demand.requests + demand.tokens + demand.late + demand.refused > 0
}

fn limits(settings: &EntrySettings) -> ListenerLimits {
    ListenerLimits {
        head_max_bytes: REQUEST_HEAD_MAX_BYTES,
        head_timeout: Duration::from_millis(settings.read_timeout_ms),
        write_timeout: Duration::from_millis(settings.write_timeout_ms),
        connections_max: settings.connections_max,
        stop_max: Duration::from_millis(settings.drain_max_ms),
    }
}
