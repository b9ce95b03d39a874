//! Turns signals into a planned stop.

use {
    std::io,
    tokio::signal::unix::{SignalKind, signal},
    tokio_util::sync::CancellationToken,
};

/// Returns a token that is cancelled by SIGTERM or SIGINT.
///
/// SIGHUP asks for the settings to be read again; none of them changes while a node runs, so it
/// is only logged.
pub(super) fn stop_on_signal() -> io::Result<CancellationToken> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let stop = CancellationToken::new();
    let token = stop.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => log::info!("node: the settings file has changed"),
            }
        }
        token.cancel();
    });
    Ok(stop)
}
