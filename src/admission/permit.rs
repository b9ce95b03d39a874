//! Permits to run a request, and the wait for them.

use {
    super::{Admission, ClassTargets, Refusal},
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
    admission: Arc<Admission>,
    model: ModelName,
    started: Instant,
}

impl Permit {
    pub(super) fn new(admission: &Arc<Admission>, model: &ModelName, started: Instant) -> Self {
        Self {
            admission: Arc::clone(admission),
            model: model.clone(),
            started,
        }
    }

    /// Records the time of the first token, which adjusts the concurrency limit.
    pub fn record_first_token(&self, class: &ClassTargets, now: Instant) {
        let engine_time = now.saturating_duration_since(self.started);
        self.admission.with_gate(&self.model, |gate| {
            gate.record_first_token(class, engine_time, now)
        });
    }

    /// Records the mean time between two tokens, which adjusts the concurrency limit.
    pub fn record_token_gap(&self, class: &ClassTargets, gap: Duration, now: Instant) {
        self.admission.with_gate(&self.model, |gate| {
            gate.record_token_gap(class, gap, now);
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let held = Instant::now().saturating_duration_since(self.started);
        self.admission
            .with_gate(&self.model, |gate| gate.finish(held));
        self.admission.start_next(&self.model);
    }
}

/// A queued request; dropping it withdraws the request.
#[derive(Debug)]
pub struct Waiter {
    admission: Arc<Admission>,
    model: ModelName,
    ticket: u64,
    latest_start: Instant,
    granted: oneshot::Receiver<Permit>,
}

impl Waiter {
    pub(super) fn new(
        admission: &Arc<Admission>,
        model: &ModelName,
        ticket: u64,
        latest_start: Instant,
        granted: oneshot::Receiver<Permit>,
    ) -> Self {
        Self {
            admission: Arc::clone(admission),
            model: model.clone(),
            ticket,
            latest_start,
            granted,
        }
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// Fails once the request can no longer meet its target; the request has not run then.
    pub async fn wait(mut self) -> Result<Permit, Refusal> {
        if let Ok(Ok(permit)) = timeout_at(self.latest_start, &mut self.granted).await {
            return Ok(permit);
        }
        let refusal = self.admission.withdraw(&self.model, self.ticket);
        match self.granted.try_recv() {
            Ok(permit) => Ok(permit),
            Err(_) => Err(refusal),
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.admission
            .with_gate(&self.model, |gate| gate.withdraw(self.ticket));
    }
}
