//! Reloads the TLS files when they change.

use {super::Tls, std::time::Duration, tokio::time};

/// How often the files are checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Periodically reloads the TLS files; never ends.
///
/// A failure is logged once, and the files loaded before stay in use.
pub async fn reload_tls_on_change(tls: Tls) {
    let mut logged = None;
    loop {
        time::sleep(POLL_INTERVAL).await;
        let problem = match tls.reload() {
            Ok(true) => {
                log::info!("tls: the replaced files are in use");
                None
            }
            Ok(false) => None,
            Err(error) => Some(error.to_string()),
        };
        if let Some(problem) = problem.as_ref().filter(|_| problem != logged) {
            log::warn!("{problem}; the files loaded before stay in use");
        }
        logged = problem;
    }
}
