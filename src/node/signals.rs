//! Turns signals into a planned stop, or a look at the settings file.

use {
    std::{io, sync::Arc},
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::Notify,
    },
    tokio_util::sync::CancellationToken,
};

/// What the signals of a process ask for.
#[derive(Debug, Clone)]
pub(super) struct Signals {
    /// Cancelled by SIGTERM or SIGINT.
    pub(super) stop: CancellationToken,
    /// Told of each SIGHUP.
    pub(super) settings_changed: Arc<Notify>,
}

impl Signals {
    /// Begins to listen.
    ///
    /// # Errors
    ///
    /// Fails when signals cannot be received.
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
