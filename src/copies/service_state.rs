//! The state of one service apart from its runners.

use {
    super::{
        ColdLoadLimiter, CopyState, LoadEstimator, PlannedRunner, left_out::AbsenceLog,
        runner_record::RunnerRecord,
    },
    crate::{
        node::{Order, OrderReply, RunnerCallError},
        traffic::ServiceId,
    },
    tokio::time::Instant,
};

/// The load estimate and the load limit of one service.
pub(super) struct ServiceState {
    pub service: ServiceId,
    pub estimator: LoadEstimator,
    pub limiter: ColdLoadLimiter,
    pub absences: AbsenceLog,
    /// The fencing token of the term that the limiter last began.
    pub token: u64,
}

/// Records a load from the weight store whose order has no reply, so that it counts as possibly
/// late; an accepted order to the same runner clears the record.
pub(super) fn record_late_loads(
    services: &mut [ServiceState],
    record: &RunnerRecord,
    order: &Order,
    reply: &Result<OrderReply, RunnerCallError>,
    now: Instant,
) {
    let mut services = services.iter_mut();
    let Some(state) = services.find(|state| state.service == record.service) else {
        return;
    };
    match (reply, order) {
        (Err(_), Order::LoadModel(model)) if record.state.is_cold(model) => {
            state.limiter.record_unanswered(&record.state.key, now);
        }
        (Ok(OrderReply::Accepted), _) => state.limiter.clear_unanswered(&record.state.key),
        _ => {}
    }
}

/// The numbers of loads in progress at the runners of a service.
pub(super) struct LoadsInProgress {
    /// Model loads from the weight store.
    pub cold_models: usize,
    /// Adapter loads.
    pub adapters: usize,
}

/// Counts the model loads from the weight store and the adapter loads in progress.
pub(super) fn count_loads_in_progress(runners: &[PlannedRunner]) -> LoadsInProgress {
    let mut loads = LoadsInProgress {
        cold_models: 0,
        adapters: 0,
    };
    for runner in runners {
        for copy in &runner.models {
            let is_cold = copy.state == CopyState::Loading && runner.is_cold(&copy.model);
            loads.cold_models += usize::from(is_cold);
            let adapters = copy.adapters.iter();
            let adapters = adapters.filter(|adapter| adapter.state == CopyState::Loading);
            loads.adapters += adapters.count();
        }
    }
    loads
}
