//! What is kept for one service besides the accounts of its runners.

use {
    super::{CopyState, LoadEstimator, LoadPacer, RunnerState, runner_record::RunnerRecord},
    crate::{
        node::{Order, OrderReply, RunnerCallError},
        traffic::ServiceId,
    },
    tokio::time::Instant,
};

/// What belongs to one service.
pub(super) struct ServiceDesk {
    pub service: ServiceId,
    pub estimator: LoadEstimator,
    pub pacer: LoadPacer,
    /// The token of the term that the pacer counts for.
    pub token: u64,
}

/// Tells the pacer which loads may begin late.
pub(super) fn pace_late(
    services: &mut [ServiceDesk],
    record: &RunnerRecord,
    order: &Order,
    reply: &Result<OrderReply, RunnerCallError>,
    now: Instant,
) {
    let mut services = services.iter_mut();
    let Some(desk) = services.find(|desk| desk.service == record.service) else {
        return;
    };
    match (reply, order) {
        (Err(_), Order::LoadModel(model)) if record.state.is_cold(model) => {
            desk.pacer.unanswered(&record.state.key, now);
        }
        (Ok(OrderReply::Accepted), _) => desk.pacer.settled(&record.state.key),
        _ => {}
    }
}

/// What is on its way to the runners of a service.
pub(super) struct Coming {
    pub cold_models: usize,
    pub adapters: usize,
}

pub(super) fn count_coming(runners: &[RunnerState]) -> Coming {
    let mut coming = Coming {
        cold_models: 0,
        adapters: 0,
    };
    for runner in runners {
        for copy in &runner.models {
            let is_cold = copy.state == CopyState::Coming && runner.is_cold(&copy.model);
            coming.cold_models += usize::from(is_cold);
            let adapters = copy.adapters.iter();
            let adapters = adapters.filter(|adapter| adapter.state == CopyState::Coming);
            coming.adapters += adapters.count();
        }
    }
    coming
}
