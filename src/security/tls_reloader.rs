//! Reads the files of TLS again when they change.

use {super::Tls, std::time::Duration, tokio::time};

/// The pause between two looks at the files.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Looks at the files of TLS from time to time; never ends.
///
/// Files that cannot be used are told once, and those before stay in use.
pub async fn reload_tls_on_change(tls: Tls) {
    let mut told = None;
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
        if let Some(problem) = problem.as_ref().filter(|_| problem != told) {
            log::warn!("{problem}; those before stay in use");
        }
        told = problem;
    }
}
