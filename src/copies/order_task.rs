//! The task that plans and sends orders to runners while this node leads.

use {
    super::{OrderCounters, ResidencyBroadcaster, order_controller::OrderDesk},
    crate::{
        dispatch::RunnerBoard,
        leader::Term,
        node::{Bounds, RunnerControl},
        traffic::{NodeName, TrafficBoard},
    },
    futures::{FutureExt, StreamExt},
    std::{fmt, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep_until},
    },
};

/// The maximum interval between two plans.
const INTERVAL: Duration = Duration::from_millis(200);
/// The minimum interval between two plans.
const INTERVAL_MIN: Duration = Duration::from_millis(5);
/// The delay of a wake-up from which the process counts as having been frozen.
const FREEZE_MIN: Duration = Duration::from_millis(250);

/// Plans what runners hold, and sends the orders while this node leads.
pub struct OrderTask {
    /// The runners and the demand known to this node.
    pub board: Arc<RunnerBoard>,
    /// The configuration in force.
    pub traffic: Arc<TrafficBoard>,
    /// Sends orders to runners and requests their reports.
    pub control: Arc<dyn RunnerControl>,
    /// The term of this node; set while it leads.
    pub term: watch::Receiver<Option<Term>>,
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
        let mut waiting = self.board.waiting_demand();
        let mut desk = OrderDesk::new(self);
        let mut quiet_until = Instant::now();
        loop {
            let term = *desk.task.term.borrow_and_update();
            let Some(term) = term.filter(|term| term.fencing_token > desk.fenced_token) else {
                if desk.task.term.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let now = Instant::now();
            desk.begin_term(&term);
            let from = term.orders_from.max(quiet_until);
            desk.pass(now >= from, now);
            let due = [desk.next_due(), (now < from).then_some(from)];
            let due = due.into_iter().flatten().min();
            let due = due.map_or(now + INTERVAL, |due| due.min(now + INTERVAL));
            let due = due.max(now + INTERVAL_MIN);
            wait(&mut desk, &mut waiting, now + INTERVAL_MIN, due).await;
            if desk.task.term.has_changed().is_err() {
                return;
            }
            let woken = Instant::now();
            if woken > due + FREEZE_MIN {
                let thaw_slack_ms = desk.task.bounds.borrow().thaw_slack_ms;
                quiet_until = woken + Duration::from_millis(thaw_slack_ms);
            }
        }
    }
}

/// Waits for a call result, a change of the term, waiting requests or `due`, but at least until
/// `earliest`; applies the call results that have arrived.
async fn wait(
    desk: &mut OrderDesk,
    waiting: &mut watch::Receiver<u64>,
    earliest: Instant,
    due: Instant,
) {
    let done = tokio::select! {
        Some(done) = desk.calls.next() => Some(done),
        _ = desk.task.term.changed() => None,
        Ok(()) = waiting.changed() => None,
        () = sleep_until(due) => None,
    };
    if let Some(done) = done {
        desk.done(done, Instant::now());
    }
    sleep_until(earliest).await;
    while let Some(Some(done)) = desk.calls.next().now_or_never() {
        desk.done(done, Instant::now());
    }
}
