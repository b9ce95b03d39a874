//! Runs on a paused clock.

use tokio::runtime::{Builder, Runtime};

/// Makes a runtime on one thread whose clock only goes on when all wait for it.
pub fn paused_runtime() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap()
}
