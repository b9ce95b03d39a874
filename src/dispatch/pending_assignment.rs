//! The wait of a queued request for its assignment.

use {
    super::{DispatchRefusal, registry_shared::RegistryShared, wait_queue::AssignmentResult},
    crate::traffic::ServiceId,
    std::sync::Arc,
    tokio::{
        sync::oneshot,
        time::{Instant, sleep_until},
    },
};

/// A queued request that awaits its result; dropping it withdraws the request.
#[derive(Debug)]
pub(super) struct PendingAssignment {
    pub(super) service: ServiceId,
    pub(super) id: u64,
    pub(super) recheck_at: Instant,
    pub(super) receiver: oneshot::Receiver<AssignmentResult>,
    pub(super) registry: Arc<RegistryShared>,
}

/// The result of a new decision on a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecheckOutcome {
    /// The result was already sent.
    Resolved,
    /// The request waits until the next decision.
    Wait(Instant),
    /// The request is refused.
    Refuse(DispatchRefusal),
}

impl PendingAssignment {
    /// Waits for the assignment or the refusal.
    pub(super) async fn wait(mut self) -> AssignmentResult {
        loop {
            tokio::select! {
                biased;
                result = &mut self.receiver => {
                    return result.unwrap_or(Err(DispatchRefusal::DEFAULT_RETRY));
                }
                () = sleep_until(self.recheck_at) => {}
            }
            match self
                .registry
                .recheck(&self.service, self.id, Instant::now())
            {
                RecheckOutcome::Resolved => {
                    return (&mut self.receiver)
                        .await
                        .unwrap_or(Err(DispatchRefusal::DEFAULT_RETRY));
                }
                RecheckOutcome::Wait(until) => self.recheck_at = until,
                RecheckOutcome::Refuse(refusal) => return Err(refusal),
            }
        }
    }
}

impl Drop for PendingAssignment {
    fn drop(&mut self) {
        self.registry.withdraw(&self.service, self.id);
    }
}
