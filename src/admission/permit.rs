//! The right to run, and the wait for it.

use {
    super::{Admission, ClassTargets, Refusal},
    crate::units::ModelName,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, timeout_at},
    },
};

/// The right to run one request; its slot is free again when this is dropped.
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

    /// Records that the first token came, by which the limit adapts.
    pub fn record_first_token(&self, class: &ClassTargets, now: Instant) {
        let engine_time = now.saturating_duration_since(self.started);
        self.admission.with_gate(&self.model, |gate| {
            gate.record_first_token(class, engine_time, now)
        });
    }

    /// Records the mean time between two tokens, by which the limit adapts.
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

/// A request in the queue; dropping it gives its place up.
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
    /// Fails once the request can no longer make its target; it did not run then.
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
