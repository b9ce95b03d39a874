//! The task that plans and sends orders to runners while this node leads.

use {
    super::{OrderCounters, ResidencyBroadcaster, order_controller::OrderController, plan_pause},
    crate::{
        dispatch::RunnerRegistry,
        leader::Term,
        node::{Bounds, RunnerControl},
        traffic::{ActiveConfig, NodeName},
    },
    futures::{FutureExt, StreamExt},
    std::{fmt, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep_until},
    },
};

/// The maximum interval between two plans.
const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(200);
/// The delay of a wake-up from which the process counts as having been frozen.
const PROCESS_FREEZE_MIN: Duration = Duration::from_millis(250);

/// Plans what runners hold, and sends the orders while this node leads.
pub struct OrderTask {
    /// The runners and the demand known to this node.
    pub registry: Arc<RunnerRegistry>,
    /// The configuration in force.
    pub active_config: Arc<ActiveConfig>,
    /// Sends orders to runners and requests their reports.
    pub control: Arc<dyn RunnerControl>,
    /// The term of this node; set while it leads.
    pub term: watch::Receiver<Option<Term>>,
    /// Receives the highest fencing token that a runner rejected.
    pub fenced: watch::Sender<u64>,
    /// Receives the residency changes that follow from orders and reports.
    pub broadcaster: Arc<dyn ResidencyBroadcaster>,
    /// The counters of orders.
    pub counters: Arc<OrderCounters>,
    /// The name of this node.
    pub node: NodeName,
    /// The platform's bounds, which may change at any time.
    pub bounds: watch::Receiver<Bounds>,
}

impl fmt::Debug for OrderTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OrderTask")
    }
}

impl OrderTask {
    /// Runs until the sender of the term is dropped.
    ///
    /// No more orders are sent in a term whose fencing token a runner has rejected. After a freeze
    /// of the process, orders wait for the thaw slack.
    pub async fn run(self) {
        let mut waiting_demand = self.registry.subscribe_waiting_demand();
        let mut controller = OrderController::new(self);
        let mut no_orders_before = Instant::now();
        loop {
            let term = *controller.task.term.borrow_and_update();
            let Some(term) = term.filter(|term| term.fencing_token > controller.fenced_token)
            else {
                if controller.task.term.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let now = Instant::now();
            controller.begin_term(&term);
            let from = term.orders_from.max(no_orders_before);
            controller.reconcile(now >= from, now);
            let earliest = Instant::now() + plan_pause(now.elapsed());
            let due = [controller.next_deadline(), (now < from).then_some(from)];
            let due = due.into_iter().flatten().min();
            let due = due.map_or(now + PLAN_INTERVAL_MAX, |due| {
                due.min(now + PLAN_INTERVAL_MAX)
            });
            let due = due.max(earliest);
            wait_for_event(&mut controller, &mut waiting_demand, earliest, due).await;
            if controller.task.term.has_changed().is_err() {
                return;
            }
            let woken_at = Instant::now();
            if woken_at > due + PROCESS_FREEZE_MIN {
                let thaw_slack_ms = controller.task.bounds.borrow().thaw_slack_ms;
                no_orders_before = woken_at + Duration::from_millis(thaw_slack_ms);
            }
        }
    }
}

/// Waits for a call result, a change of the term, waiting requests or `due`, but at least until
/// `earliest`; applies the call results that have arrived.
async fn wait_for_event(
    controller: &mut OrderController,
    waiting_demand: &mut watch::Receiver<u64>,
    earliest: Instant,
    due: Instant,
) {
    let result = tokio::select! {
        Some(result) = controller.calls.next() => Some(result),
        _ = controller.task.term.changed() => None,
        Ok(()) = waiting_demand.changed() => None,
        () = sleep_until(due) => None,
    };
    if let Some(result) = result {
        controller.handle_call_result(result, Instant::now());
    }
    sleep_until(earliest).await;
    while let Some(Some(result)) = controller.calls.next().now_or_never() {
        controller.handle_call_result(result, Instant::now());
    }
}
