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
    pub(super) settings_changed: Arc<Notify>,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if a signal handler cannot be installed.
    pub(super) fn listen() -> io::Result<Self> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let signals = Self {
            stop: CancellationToken::new(),
            settings_changed: Arc::default(),
        };
        let told = signals.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => break,
                    _ = interrupt.recv() => break,
                    _ = hangup.recv() => told.settings_changed.notify_one(),
                }
            }
            told.stop.cancel();
        });
        Ok(signals)
    }
}
