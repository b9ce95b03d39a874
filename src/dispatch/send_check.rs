//! The last check of an assigned request, right before its first byte is sent.

use {
    super::{SendDenial, registry_shared::RegistryShared},
    crate::{
        discovery::RunnerKey,
        traffic::{ServiceId, SoftwareVersion},
    },
    std::sync::Arc,
    tokio::time::Instant,
};

/// Decides again whether an assigned request may be sent, with what is known by then.
///
/// Between the assignment and the first byte a request waits for a connection and for the task
/// that writes to it; a runner may have left meanwhile.
#[derive(Debug, Clone)]
pub struct SendCheck {
    pub(super) registry: Arc<RegistryShared>,
    pub(super) service: ServiceId,
    pub(super) runner: RunnerKey,
    /// The only software version that may serve the request, if there is one.
    pub(super) software: Option<SoftwareVersion>,
    pub(super) assigned_at: Instant,
}

impl SendCheck {
    /// Decides whether the request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub fn check(&self, now: Instant) -> Result<(), SendDenial> {
        let service = &self.service;
        let checked =
            self.registry
                .check_assigned(service, &self.runner, self.software.as_ref(), now);
        checked.inspect_err(|denial| {
            self.registry.send_counters.record_withheld(*denial);
            log::debug!(
                runner:% = self.runner.id,
                born_unix_ms = self.runner.born_unix_ms,
                reason = denial.label();
                "dispatch: an assigned request is not sent."
            );
        })
    }

    /// Records that the first byte of the request is sent.
    pub fn record_sent(&self, now: Instant) {
        let delay = now.saturating_duration_since(self.assigned_at);
        self.registry.send_counters.record_sent(delay);
    }
}
