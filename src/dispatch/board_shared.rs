//! The part of the board that places and waiting requests hold on to.

use {
    super::{
        Place, Refused, Wanted,
        board_state::BoardState,
        outlook::{Outlook, copy_outlook, room_outlook},
        service_runners::{Chosen, ServiceRunners},
        wait_queue::{Answer, Ask, Waiter},
        waiting::{Verdict, Waiting},
    },
    crate::traffic::{EngineSpec, RouteMap, ServiceId, TrafficBoard, ZoneId},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot, watch},
        time::Instant,
    },
};

/// The shortest time between two looks at a request that waits.
const LOOK_MS: u64 = 20;

#[derive(Debug)]
pub(super) struct BoardShared {
    pub(super) zone: ZoneId,
    pub(super) traffic: Arc<TrafficBoard>,
    state: Mutex<BoardState>,
    /// Counts up when requests begin to wait for a copy, here or at a peer.
    pub(super) waiting_demand: watch::Sender<u64>,
    /// Told when there is something to tell peers in the next round.
    pub(super) gossip_soon: Notify,
    /// Told when there is something to tell peers at once.
    pub(super) gossip_now: Notify,
}

/// An answer to a waiting request, given once the state is unlocked.
pub(super) struct Grant {
    sender: oneshot::Sender<Answer>,
    answer: Answer,
}

/// What a request gets at first.
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
        }
    }

    /// Works on the state; grants go out after it is unlocked.
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

    /// Works on the state, then gives places to requests that can have them now.
    pub(super) fn change(self: &Arc<Self>, now: Instant, work: impl FnOnce(&mut BoardState)) {
        self.with_state(|state, grants| {
            work(state);
            for service in state.services() {
                self.pump(service, grants, now);
            }
        });
    }

    /// Places a request, or lets it wait.
    pub(super) fn start(self: &Arc<Self>, wanted: &Wanted) -> Result<Start, Refused> {
        let now = Instant::now();
        let map = self.traffic.current();
        let engine = engine_of(map.as_deref(), &wanted.service);
        let ask = Ask::new(wanted, engine)?;
        self.with_state(|state, grants| {
            let id = state.next_id();
            let service = state.service(&wanted.service);
            if let Some(variant) = &ask.variant {
                service.demand.asked(variant, now);
            }
            let chosen = service.choose(&ask, &self.zone, now);
            if let Chosen::Runner(position) = chosen
                && service.queue.is_empty()
            {
                return Ok(Start::Placed(self.seat(service, position, &ask, now)));
            }
            let left = ask.give_up_at.saturating_duration_since(now);
            let outlook = outlook(service, engine, &ask, chosen, id, now);
            if left < Duration::from_millis(outlook.least_ms) || left.is_zero() {
                return Err(outlook.refusal());
            }
            let no_copy = chosen == Chosen::NoCopy;
            let (sender, receiver) = oneshot::channel();
            let look_at = next_look(&ask, chosen, outlook, now, now);
            let waiter = Waiter {
                id,
                ask,
                since: now,
                no_copy,
                sender,
            };
            if let Some(last) = service.queue.insert(waiter, now) {
                let answer = Err(outlook.refusal());
                let sender = last.sender;
                grants.push(Grant { sender, answer });
            }
            if !no_copy {
                self.pump(service, grants, now);
            } else {
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

    /// Looks at a request that has waited for some time.
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
            let outlook = outlook(service, engine, &waiter.ask, chosen, id, now);
            if !goes_on(waiter, chosen, outlook, now) {
                let refusal = Verdict::Refuse(outlook.refusal());
                service.queue.remove(id);
                return refusal;
            }
            Verdict::Wait(next_look(&waiter.ask, chosen, outlook, waiter.since, now))
        })
    }

    pub(super) fn withdraw(&self, service: &ServiceId, id: u64) {
        self.with_state(|state, _| drop(state.service(service).queue.remove(id)));
    }

    /// Notes that a runner has read a prompt.
    pub(super) fn first_event(self: &Arc<Self>, place: &mut Place, now: Instant) {
        self.with_state(|state, grants| {
            let service = state.service(&place.service);
            if let Some(slot) = service.slot(&place.runner.key) {
                slot.prompt_read(&mut place.load);
                slot.health.answered();
            }
            self.pump(service, grants, now);
        });
        self.gossip_soon.notify_one();
    }

    /// Gives a place back.
    pub(super) fn release(self: &Arc<Self>, place: &Place, now: Instant) {
        let outcome = place.outcome.unwrap_or(super::TryOutcome::Cancelled);
        let variant = place.load.variant.as_ref();
        let key = &place.runner.key;
        self.with_state(|state, grants| {
            let service = state.service(&place.service);
            if let Some(slot) = service.slot(key) {
                slot.release(&place.load);
            }
            service.demand.finished(variant.map(|v| &v.model), now);
            service.ended(key, variant, outcome, place.time(now), now);
            self.pump(service, grants, now);
        });
        self.gossip_soon.notify_one();
    }

    /// Tells the holder of the orders and the peers that requests wait for a copy.
    pub(super) fn tell_waiting(&self) {
        self.waiting_demand.send_modify(|count| *count += 1);
        self.gossip_now.notify_one();
    }

    fn pump(self: &Arc<Self>, service: &mut ServiceRunners, grants: &mut Vec<Grant>, now: Instant) {
        if service.queue.is_empty() {
            return;
        }
        let mut blocked = Vec::new();
        let mut kept = Vec::new();
        for mut waiter in service.queue.take_ordered(now) {
            let first_try = waiter.ask.tried.is_empty();
            if first_try && blocked.contains(&waiter.ask.variant) {
                kept.push(waiter);
                continue;
            }
            match service.choose(&waiter.ask, &self.zone, now) {
                Chosen::Runner(position) => {
                    let place = self.seat(service, position, &waiter.ask, now);
                    let sender = waiter.sender;
                    let answer = Ok(place);
                    grants.push(Grant { sender, answer });
                    continue;
                }
                chosen => waiter.no_copy = chosen == Chosen::NoCopy,
            }
            if first_try {
                blocked.push(waiter.ask.variant.clone());
            }
            kept.push(waiter);
        }
        service.queue.put_back(kept);
    }

    fn seat(
        self: &Arc<Self>,
        service: &mut ServiceRunners,
        position: usize,
        ask: &Ask,
        now: Instant,
    ) -> Place {
        let name = service.name.clone();
        let slot = &mut service.slots[position];
        let load = slot.reserve(ask);
        self.gossip_soon.notify_one();
        Place {
            runner: slot.entry.clone(),
            priority: ask.priority.min(9),
            service: name,
            load,
            output_tokens: ask.need.kv_tokens.saturating_sub(ask.need.prompt_tokens),
            started_at: now,
            first_event_at: None,
            outcome: None,
            board: self.clone(),
        }
    }
}

fn engine_of<'a>(map: Option<&'a RouteMap>, service: &ServiceId) -> Option<&'a EngineSpec> {
    map?.config().service(service)?.engine.as_ref()
}

fn outlook(
    service: &ServiceRunners,
    engine: Option<&EngineSpec>,
    ask: &Ask,
    chosen: Chosen,
    id: u64,
    now: Instant,
) -> Outlook {
    match chosen {
        Chosen::NoCopy => copy_outlook(service, engine, ask, now),
        _ => room_outlook(service, ask.variant.as_ref().map(|v| &v.model), id, now),
    }
}

/// Returns when to decide whether a request goes on waiting.
fn next_look(ask: &Ask, chosen: Chosen, outlook: Outlook, since: Instant, now: Instant) -> Instant {
    let left = ask.give_up_at.saturating_duration_since(now);
    let mut at = now + left / 2;
    if chosen == Chosen::NoCopy {
        at = at.min((since + outlook.patience()).max(now + left / 8));
    }
    if let Chosen::Full(Some(retry_at)) = chosen {
        at = at.min(retry_at);
    }
    let soonest = now + Duration::from_millis(LOOK_MS);
    at.max(soonest).min(ask.give_up_at)
}

/// Returns whether a place can be expected in time.
fn goes_on(waiter: &Waiter, chosen: Chosen, outlook: Outlook, now: Instant) -> bool {
    let left = waiter.ask.give_up_at.saturating_duration_since(now);
    let total = waiter
        .ask
        .give_up_at
        .saturating_duration_since(waiter.since);
    if left.is_zero() {
        return false;
    }
    match chosen {
        Chosen::NoCopy => {
            let possible = left > Duration::from_millis(outlook.least_ms);
            possible && now < waiter.since + outlook.patience()
        }
        _ if left * 2 > total => true,
        _ => {
            let expected = outlook.expected_ms.map(Duration::from_millis);
            expected.is_some_and(|expected| expected < left)
        }
    }
}
