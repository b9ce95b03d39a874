//! Gives the orders while this node leads.

use {
    super::{OrderCounts, OrderListener, order_desk::OrderDesk},
    crate::{
        dispatch::RunnerRegistry,
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

/// The longest pause between two plans.
const INTERVAL: Duration = Duration::from_millis(200);
/// The shortest pause between two plans.
const INTERVAL_MIN: Duration = Duration::from_millis(5);
/// A pause of the process from which on it counts as frozen.
const FREEZE_MIN: Duration = Duration::from_millis(250);

/// Plans what runners hold, and gives the orders while this node leads.
pub struct OrderTask {
    /// What this node knows of runners and demand.
    pub board: Arc<RunnerRegistry>,
    /// The configuration in force.
    pub traffic: Arc<TrafficBoard>,
    /// The calls to runners.
    pub control: Arc<dyn RunnerControl>,
    /// Set while this node leads.
    pub term: watch::Receiver<Option<Term>>,
    /// Told of what was ordered.
    pub listener: Arc<dyn OrderListener>,
    /// Counts the orders.
    pub counts: Arc<OrderCounts>,
    /// This node.
    pub node: NodeName,
    /// The platform's bounds; they may change.
    pub bounds: watch::Receiver<Bounds>,
}

impl fmt::Debug for OrderTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OrderTask")
    }
}

impl OrderTask {
    /// Runs until the membership ends.
    ///
    /// A term whose token a runner refused gives no more orders.
    pub async fn run(self) {
        let mut waiting = self.board.subscribe_waiting_demand();
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

/// Waits for the next answer, change or time; not shorter than until `earliest`.
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
