//! The shared state that assignments and waiting requests refer to.

use {
    super::{
        DispatchCounts, Place, Refused, TryOutcome, Wanted,
        board_state::BoardState,
        prospect::{Case, Prospect},
        service_runners::Chosen,
        wait_queue::{Answer, Ask, Waiter},
        waiting::{Verdict, Waiting},
    },
    crate::traffic::{EngineSpec, RouteMap, ServiceId, TrafficBoard, ZoneId},
    std::sync::{Arc, Mutex, PoisonError},
    tokio::{
        sync::{Notify, oneshot, watch},
        time::Instant,
    },
};

/// The locked state of a node's runners, with the notifications for gossip and planning.
#[derive(Debug)]
pub(super) struct BoardShared {
    pub(super) zone: ZoneId,
    pub(super) traffic: Arc<TrafficBoard>,
    state: Mutex<BoardState>,
    /// Incremented when requests begin to wait for a copy, here or at a peer.
    pub(super) waiting_demand: watch::Sender<u64>,
    /// Notified when there is something to report in the next gossip round.
    pub(super) gossip_soon: Notify,
    /// Notified when there is something to report at once.
    pub(super) gossip_now: Notify,
    pub(super) counts: DispatchCounts,
}

/// The result for a waiting request, sent after the state is unlocked.
pub(super) struct Grant {
    pub(super) sender: oneshot::Sender<Answer>,
    pub(super) answer: Answer,
}

/// The immediate result of a dispatch request.
pub(super) enum Start {
    Placed(Place),
    Waits(Waiting),
}

impl BoardShared {
    pub(super) fn new(zone: ZoneId, traffic: Arc<TrafficBoard>) -> Self {
        Self {
            zone,
            traffic,
            state: Mutex::default(),
            waiting_demand: watch::Sender::new(0),
            gossip_soon: Notify::new(),
            gossip_now: Notify::new(),
            counts: DispatchCounts::default(),
        }
    }

    /// Runs `work` on the locked state; grants are sent after the state is unlocked.
    pub(super) fn with_state<R>(
        &self,
        work: impl FnOnce(&mut BoardState, &mut Vec<Grant>) -> R,
    ) -> R {
        let mut grants = Vec::new();
        let result = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            work(&mut state, &mut grants)
        };
        for grant in grants {
            drop(grant.sender.send(grant.answer));
        }
        result
    }

    /// Runs `work` on the locked state, then assigns runners to the requests that wait.
    pub(super) fn change(self: &Arc<Self>, now: Instant, work: impl FnOnce(&mut BoardState)) {
        self.with_state(|state, grants| {
            work(state);
            for service in state.services() {
                self.pump(service, grants, now);
            }
        });
    }

    /// Assigns a runner to a request, or queues the request.
    ///
    /// # Errors
    ///
    /// Fails when no runner is expected to be free in time.
    pub(super) fn start(self: &Arc<Self>, wanted: &Wanted) -> Result<Start, Refused> {
        let now = Instant::now();
        let map = self.traffic.current();
        let engine = engine_of(map.as_deref(), &wanted.service);
        self.with_state(|state, grants| {
            let id = state.next_id();
            let service = state.service(&wanted.service);
            let paced = service.pace_budget.tokens(map.as_deref(), &wanted.service);
            let ask = Ask::new(wanted, engine, paced)?;
            if ask.tried.is_empty() {
                service
                    .demand
                    .asked(ask.variant.as_ref(), ask.priority, now);
            }
            let chosen = service.choose(&ask, &self.zone, now);
            if let Chosen::Runner(position) = chosen
                && service.queue.is_empty()
            {
                return Ok(Start::Placed(self.seat(service, position, &ask, now)));
            }
            let case = Case {
                service,
                engine,
                ask: &ask,
                id,
                since: now,
                now,
            };
            let look_at = match case.prospect(chosen) {
                Prospect::Wait(until) => until,
                Prospect::Refuse(refused) => return Err(refused),
            };
            let no_copy = chosen == Chosen::NoCopy;
            let first_for_copy = no_copy && !service.queue.wants_copy(ask.variant.as_ref());
            let (sender, receiver) = oneshot::channel();
            let waiter = Waiter {
                id,
                ask,
                since: now,
                no_copy,
                sender,
            };
            let answer_at = service.answer_at(now);
            if let Some(last) = service.queue.insert(waiter, answer_at) {
                let answer = Err(Refused::SOON);
                let sender = last.sender;
                grants.push(Grant { sender, answer });
            }
            if !no_copy {
                self.pump(service, grants, now);
                self.gossip_soon.notify_one();
            } else if first_for_copy {
                self.tell_waiting();
            }
            Ok(Start::Waits(Waiting {
                service: wanted.service.clone(),
                id,
                look_at,
                receiver,
                board: self.clone(),
            }))
        })
    }

    /// Decides again on a request that has waited for some time.
    pub(super) fn look(self: &Arc<Self>, service: &ServiceId, id: u64, now: Instant) -> Verdict {
        let map = self.traffic.current();
        let engine = engine_of(map.as_deref(), service);
        self.with_state(|state, grants| {
            let service = state.service(service);
            self.pump(service, grants, now);
            let Some(waiter) = service.queue.get(id) else {
                return Verdict::Answered;
            };
            let chosen = service.choose(&waiter.ask, &self.zone, now);
            let case = Case {
                service,
                engine,
                ask: &waiter.ask,
                id,
                since: waiter.since,
                now,
            };
            match case.prospect(chosen) {
                Prospect::Wait(until) => Verdict::Wait(until),
                Prospect::Refuse(refused) => {
                    service.queue.remove(id);
                    Verdict::Refuse(refused)
                }
            }
        })
    }

    pub(super) fn withdraw(&self, service: &ServiceId, id: u64) {
        self.with_state(|state, _| drop(state.service(service).queue.remove(id)));
    }

    /// Records the first event of an answer: the runner has processed the prompt.
    pub(super) fn first_event(self: &Arc<Self>, place: &mut Place, now: Instant) {
        self.with_state(|state, grants| {
            let service = state.service(&place.service);
            service.answered_after(now - place.started_at);
            if let Some(slot) = service.slot(&place.runner.key) {
                slot.prompt_read(&mut place.load);
                slot.health.answered(now);
            }
            self.pump(service, grants, now);
        });
        self.gossip_soon.notify_one();
    }

    /// Releases an assignment and records its outcome.
    pub(super) fn release(self: &Arc<Self>, place: &Place, now: Instant) {
        let outcome = place.outcome.unwrap_or(TryOutcome::Cancelled);
        self.counts.tried(outcome);
        let variant = place.load.variant.as_ref();
        let key = &place.runner.key;
        self.with_state(|state, grants| {
            let service = state.service(&place.service);
            if let Some(slot) = service.slot(key) {
                slot.release(&place.load);
            }
            if place.load.variant.is_none() && outcome == TryOutcome::Complete {
                service.answered_after(now - place.started_at);
            }
            if outcome.held_place() {
                service.demand.freed(variant.map(|v| &v.model), now);
            }
            service.ended(key, variant, outcome, place.time(now), now);
            self.pump(service, grants, now);
            if outcome == TryOutcome::Unreachable && state.failed_to_reach(key) {
                self.gossip_now.notify_one();
            }
        });
        self.gossip_soon.notify_one();
    }

    /// Notifies the planner and the peers that requests wait for a copy.
    pub(super) fn tell_waiting(&self) {
        self.waiting_demand.send_modify(|count| *count += 1);
        self.gossip_now.notify_one();
    }
}

fn engine_of<'a>(map: Option<&'a RouteMap>, service: &ServiceId) -> Option<&'a EngineSpec> {
    map?.config().service(service)?.engine.as_ref()
}
