//! Permits to run a request, and the wait for them.

use {
    super::{AdmissionController, ClassTargets, Refusal},
    crate::units::ModelName,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, timeout_at},
    },
};

/// The permit to run one request; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    admission: Arc<AdmissionController>,
    model: ModelName,
    started_at: Instant,
}

impl Permit {
    pub(super) fn new(
        admission: &Arc<AdmissionController>,
        model: &ModelName,
        started_at: Instant,
    ) -> Self {
        Self {
            admission: Arc::clone(admission),
            model: model.clone(),
            started_at,
        }
    }

    /// Records the time of the first token, which adjusts the concurrency limit.
    pub fn record_first_token(&self, class: &ClassTargets, now: Instant) {
        let engine_time = now.saturating_duration_since(self.started_at);
        self.admission.with_model(&self.model, |state| {
            state.record_first_token(class, engine_time, now)
        });
    }

    /// Records the mean time between two tokens, which adjusts the concurrency limit.
    pub fn record_token_gap(&self, class: &ClassTargets, gap: Duration, now: Instant) {
        self.admission.with_model(&self.model, |state| {
            state.record_token_gap(class, gap, now);
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let held = Instant::now().saturating_duration_since(self.started_at);
        self.admission
            .with_model(&self.model, |state| state.finish(held));
        self.admission.start_next(&self.model);
    }
}

/// A queued request; dropping it withdraws the request.
#[derive(Debug)]
pub struct QueuedRequest {
    admission: Arc<AdmissionController>,
    model: ModelName,
    queue_id: u64,
    latest_start: Instant,
    receiver: oneshot::Receiver<Permit>,
}

impl QueuedRequest {
    pub(super) fn new(
        admission: &Arc<AdmissionController>,
        model: &ModelName,
        queue_id: u64,
        latest_start: Instant,
        receiver: oneshot::Receiver<Permit>,
    ) -> Self {
        Self {
            admission: Arc::clone(admission),
            model: model.clone(),
            queue_id,
            latest_start,
            receiver,
        }
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// Fails once the request can no longer meet its target; the request has not run then.
    pub async fn wait(mut self) -> Result<Permit, Refusal> {
        if let Ok(Ok(permit)) = timeout_at(self.latest_start, &mut self.receiver).await {
            return Ok(permit);
        }
        let refusal = self.admission.withdraw(&self.model, self.queue_id);
        match self.receiver.try_recv() {
            Ok(permit) => Ok(permit),
            Err(_) => Err(refusal),
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.admission
            .with_model(&self.model, |state| state.withdraw(self.queue_id));
    }
}
