//! Starts an entry process and runs it until its planned stop.

use {
    super::{Entry, EntryParts, EntrySettings, forward_link, spawn_forward_link},
    crate::{
        http::{Readiness, serve_operations},
        peer::{Credentials, SharedKey, spawn_entry_link},
        security::{Tls, TlsError, reload_tls_on_change},
        store::{EtcdStore, StoreTimeouts},
        telemetry::{init_logs, init_metrics, run_metrics_upkeep},
    },
    std::{io, sync::Arc},
    thiserror::Error,
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
    },
    tokio_util::sync::CancellationToken,
};

/// The timeouts of calls to the key-value service.
const STORE_TIMEOUTS: StoreTimeouts = StoreTimeouts {
    call_ms: 400,
    watch_silence_ms: 10_000,
};

/// The reason why an entry cannot start, or did not stop cleanly.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address, a thread or another resource is not available.
    #[error("{resource}: {cause}")]
    Io {
        /// The name of the resource.
        resource: String,
        /// The cause of the failure.
        cause: io::Error,
    },
    /// The TLS files are unusable.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The metrics recorder cannot be installed.
    #[error("metrics: {0}")]
    Metrics(String),
    /// The planned stop ended before all requests were finished.
    #[error("the planned stop timed out; open requests were aborted")]
    CutOff,
}

impl RunError {
    /// Wraps the error of a runtime that could not be created.
    pub fn runtime(cause: io::Error) -> Self {
        let resource = "the runtime".to_owned();
        Self::Io { resource, cause }
    }
}

/// Runs an entry until the planned stop.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, a resource is not available, or the planned
/// stop aborted requests.
pub async fn run(settings: EntrySettings) -> Result<(), RunError> {
    init_logs(settings.log_level, settings.log_format);
    let metrics = init_metrics().map_err(|cause| RunError::Metrics(cause.to_string()))?;
    tokio::spawn(run_metrics_upkeep(metrics.clone()));
    let callers = bind("callers_address", settings.callers_address).await?;
    let operations = bind("operations_address", settings.operations_address).await?;
    let peers =
        std::net::TcpListener::bind(settings.peer_address).map_err(io_error("peer_address"))?;
    let tls = Tls::load_if_configured(settings.tls.as_ref())?;
    if let Some(tls) = tls.clone() {
        tokio::spawn(reload_tls_on_change(tls));
    }
    let key = SharedKey::new(settings.peer_key.as_bytes());
    let credentials = Credentials { key, tls };
    let keeper = spawn_entry_link(settings.keeper_address, credentials.clone())
        .map_err(io_error("the link to the keeper"))?;
    let (forwarder, calls) = forward_link();
    let store = EtcdStore::new(settings.store_addresses.clone(), STORE_TIMEOUTS);
    let parts = EntryParts {
        views: keeper.views,
        store: Arc::new(store),
        forwarder: Arc::new(forwarder),
    };
    let entry = Entry::new(settings, parts);
    spawn_forward_link(entry.clone(), peers, credentials, calls)
        .map_err(io_error("the links to other entries"))?;
    let reports = keeper.reports;
    tokio::spawn(entry.clone().report_periodically(move |report| {
        let _ = reports.try_send(report);
    }));
    let readiness = Readiness::default();
    let stopped = CancellationToken::new();
    let operated = tokio::spawn(serve_operations(
        operations,
        readiness.clone(),
        move || metrics.render(),
        stopped.clone(),
    ));
    let stop = stop_on_signal()?;
    log::info!("entry: accepting requests of callers");
    let finished = entry.serve(callers, readiness, stop).await;
    stopped.cancel();
    let _ = operated.await;
    if finished {
        Ok(())
    } else {
        Err(RunError::CutOff)
    }
}

async fn bind(field: &str, address: std::net::SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(io_error(field))
}

fn io_error(resource: &str) -> impl FnOnce(io::Error) -> RunError {
    let resource = resource.to_owned();
    |cause| RunError::Io { resource, cause }
}

fn stop_on_signal() -> Result<CancellationToken, RunError> {
    let stop = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate()).map_err(io_error("signals"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(io_error("signals"))?;
    let token = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        token.cancel();
    });
    Ok(stop)
}
