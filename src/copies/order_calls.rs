//! The calls to runners: sends orders and applies the results.

use {
    super::{
        PlannedOrder, order_controller::OrderController, residency_diff::push_residency_changes,
        service_state::record_late_loads,
    },
    crate::{
        discovery::RunnerKey,
        node::{Order, OrderCall, OrderReply, RunnerCallError, RunnerReport},
    },
    futures::{
        future::{BoxFuture, FutureExt},
        stream::FuturesUnordered,
    },
    tokio::time::Instant,
};

/// The result of a call to a runner.
pub(super) enum CallResult {
    /// The reply to an order, or its absence.
    Order {
        runner: RunnerKey,
        token: u64,
        order: Order,
        reply: Result<OrderReply, RunnerCallError>,
    },
    /// The report that a runner was asked for, or its absence.
    Report {
        runner: RunnerKey,
        report: Result<RunnerReport, RunnerCallError>,
    },
}

/// The calls in progress.
pub(super) type Calls = FuturesUnordered<BoxFuture<'static, CallResult>>;

impl OrderController {
    /// Records an order as sent and starts the call.
    pub(super) fn send(&mut self, planned: PlannedOrder, now: Instant) {
        let Ok(position) = self.find(&planned.runner) else {
            return;
        };
        let record = &mut self.records[position];
        let residents_before = record.state.residents();
        record.order_sent(&planned, now);
        push_residency_changes(
            &mut self.changes,
            &planned.runner,
            &residents_before,
            &record.state.residents(),
        );
        let PlannedOrder { runner, order, .. } = planned;
        self.unanswered_orders
            .insert(runner.clone(), order.clone(), now);
        let call = OrderCall {
            address: record.address,
            runner,
            order,
            leader: self.task.node.clone(),
            fencing_token: self.token,
            expected_orders: record.accepted_orders,
        };
        let control = self.task.control.clone();
        let call = async move {
            let reply = control.order(&call).await;
            CallResult::Order {
                runner: call.runner,
                token: call.fencing_token,
                order: call.order,
                reply,
            }
        };
        self.calls.push(call.boxed());
    }

    /// Applies the result of a call.
    pub fn handle_call_result(&mut self, result: CallResult, now: Instant) {
        match result {
            CallResult::Report { runner, report } => {
                if let Ok(position) = self.find(&runner) {
                    let record = &mut self.records[position];
                    let residents_before = record.state.residents();
                    record.handle_report(&report, now);
                    push_residency_changes(
                        &mut self.changes,
                        &runner,
                        &residents_before,
                        &record.state.residents(),
                    );
                }
            }
            CallResult::Order {
                runner,
                token,
                order,
                reply,
            } => self.handle_reply(&runner, token, &order, &reply, now),
        }
    }

    /// Applies the reply to an order.
    fn handle_reply(
        &mut self,
        runner: &RunnerKey,
        token: u64,
        order: &Order,
        reply: &Result<OrderReply, RunnerCallError>,
        now: Instant,
    ) {
        self.task.counters.record_reply(order, reply);
        if reply.is_ok() {
            self.unanswered_orders.remove(runner, order);
        }
        if *reply == Ok(OrderReply::Fenced) {
            log::warn!(
                runner:% = runner.id, born_unix_ms = runner.born_unix_ms, fencing_token = token;
                "copies: a runner has seen a higher fencing token."
            );
            self.fenced_token = self.fenced_token.max(token);
            self.task.fenced.send_replace(self.fenced_token);
        }
        let table = self.task.active_config.current();
        let Ok(position) = self.find(runner) else {
            return;
        };
        let record = &mut self.records[position];
        let spec = table
            .as_ref()
            .and_then(|table| table.config().service(&record.service));
        let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else {
            return;
        };
        // The records are discarded at the start of a term, so replies from earlier terms no
        // longer match them.
        if token == self.token {
            record_late_loads(&mut self.services, record, order, reply, now);
            let residents_before = record.state.residents();
            record.apply_reply(reply, engine, now);
            push_residency_changes(
                &mut self.changes,
                runner,
                &residents_before,
                &record.state.residents(),
            );
        }
    }
}
