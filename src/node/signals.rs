//! Handles the signals that begin a planned stop or reload the settings file.

use {
    std::{io, sync::Arc},
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::Notify,
    },
    tokio_util::sync::CancellationToken,
};

/// The events that signals to the process cause.
#[derive(Debug, Clone)]
pub(super) struct Signals {
    /// Cancelled by SIGTERM or SIGINT.
    pub(super) stop: CancellationToken,
    /// Notified by each SIGHUP.
    pub(super) reload_settings: Arc<Notify>,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if a signal handler cannot be installed.
    pub(super) fn install() -> io::Result<Self> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let signals = Self {
            stop: CancellationToken::new(),
            reload_settings: Arc::default(),
        };
        let handler = signals.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => break,
                    _ = interrupt.recv() => break,
                    _ = hangup.recv() => handler.reload_settings.notify_one(),
                }
            }
            handler.stop.cancel();
        });
        Ok(signals)
    }
}
