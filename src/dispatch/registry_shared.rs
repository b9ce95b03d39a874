//! The shared state that assignments and waiting requests refer to.

use {
    super::{
        Assignment, AttemptCounters, AttemptOutcome, DispatchRefusal, DispatchRequest,
        SendCounters,
        pending_assignment::{PendingAssignment, RecheckOutcome},
        registry_state::RegistryState,
        service_runners::Selection,
        wait_decision::{WaitContext, WaitDecision},
        wait_queue::{AssignmentResult, QueuedRequest, RequestProfile},
    },
    crate::{
        discovery::RunnerKey,
        quarantine::{PROVISIONAL_QUARANTINE, RequestFingerprint},
        traffic::{ActiveConfig, EngineSpec, RouteTable, ServiceId, ZoneId},
        units::RequestRate,
    },
    std::sync::{Arc, Mutex, PoisonError},
    tokio::{
        sync::{Notify, oneshot, watch},
        time::Instant,
    },
};

/// The locked state of a node's runners, with the notifications for gossip and planning.
#[derive(Debug)]
pub(super) struct RegistryShared {
    pub(super) zone: ZoneId,
    pub(super) traffic: Arc<ActiveConfig>,
    state: Mutex<RegistryState>,
    /// Incremented when requests begin to wait for a copy, here or at a peer.
    pub(super) waiting_demand: watch::Sender<u64>,
    /// Notified when there is something to report in the next gossip round.
    pub(super) report_pending: Notify,
    /// Notified when there is something to report at once.
    pub(super) urgent_report_pending: Notify,
    pub(super) attempt_counters: AttemptCounters,
    pub(super) send_counters: SendCounters,
}

/// The result for a waiting request, sent after the state is unlocked.
pub(super) struct Grant {
    pub(super) sender: oneshot::Sender<AssignmentResult>,
    pub(super) result: AssignmentResult,
}

/// The immediate result of a dispatch request.
pub(super) enum StartOutcome {
    Assigned(Assignment),
    Queued(PendingAssignment),
}

impl RegistryShared {
    pub(super) fn new(zone: ZoneId, traffic: Arc<ActiveConfig>) -> Self {
        Self {
            zone,
            traffic,
            state: Mutex::default(),
            waiting_demand: watch::Sender::new(0),
            report_pending: Notify::new(),
            urgent_report_pending: Notify::new(),
            attempt_counters: AttemptCounters::default(),
            send_counters: SendCounters::default(),
        }
    }

    /// Runs `work` on the locked state; grants are sent after the state is unlocked.
    pub(super) fn with_state<R>(
        &self,
        work: impl FnOnce(&mut RegistryState, &mut Vec<Grant>) -> R,
    ) -> R {
        let mut grants = Vec::new();
        let result = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            work(&mut state, &mut grants)
        };
        for grant in grants {
            drop(grant.sender.send(grant.result));
        }
        result
    }

    /// Runs `work` on the locked state, then assigns runners to the requests that wait.
    pub(super) fn update(self: &Arc<Self>, now: Instant, work: impl FnOnce(&mut RegistryState)) {
        self.with_state(|state, grants| {
            work(state);
            state.quarantine.decide_due(now);
            state.refuse_quarantined(grants, now);
            if state.quarantine.has_messages() {
                self.urgent_report_pending.notify_one();
            }
            for service in state.services() {
                self.assign_queued(service, grants, now);
            }
        });
    }

    /// Assigns a runner to a request, or queues the request.
    ///
    /// # Errors
    ///
    /// Fails when no runner is expected to be free in time.
    pub(super) fn start(
        self: &Arc<Self>,
        request: &DispatchRequest,
    ) -> Result<StartOutcome, DispatchRefusal> {
        let now = Instant::now();
        let map = self.traffic.current();
        let engine = engine_spec(map.as_deref(), &request.service);
        self.with_state(|state, grants| {
            let id = state.next_id();
            state.quarantine.decide_due(now);
            let fingerprint = RequestFingerprint::new(request.digest, request.generation.as_ref());
            if let Some(remaining) = state.quarantine.remaining(&fingerprint, now) {
                return Err(DispatchRefusal::quarantined(remaining));
            }
            let is_retry = !request.tried_runners.is_empty();
            let is_trial = state.quarantine.on_probation(&fingerprint).is_some();
            if !state.admits_trial(&fingerprint, is_retry, now) {
                return Err(DispatchRefusal::quarantined(PROVISIONAL_QUARANTINE));
            }
            let service = state.service(&request.service);
            let pace_budget_tokens = service.pace_budget.tokens(map.as_deref(), &request.service);
            let mut profile = RequestProfile::new(request, engine, pace_budget_tokens)?;
            profile.is_trial = is_trial;
            if profile.tried_runners.is_empty() {
                service
                    .demand
                    .record_request(profile.variant.as_ref(), profile.priority, now);
            }
            let selection = service.choose(&profile, &self.zone, now);
            if let Selection::Runner(position) = selection
                && service.queue.is_empty()
            {
                return Ok(StartOutcome::Assigned(
                    self.reserve(service, position, &profile, now),
                ));
            }
            let context = WaitContext {
                service,
                engine,
                profile: &profile,
                id,
                queued_at: now,
                now,
            };
            let recheck_at = match context.decide(selection) {
                WaitDecision::Wait(until) => until,
                WaitDecision::Refuse(refusal) => return Err(refusal),
            };
            let waits_for_copy = selection == Selection::NoCopy;
            let is_first_for_copy =
                waits_for_copy && !service.queue.has_copy_wait(profile.variant.as_ref());
            let (sender, receiver) = oneshot::channel();
            let queued = QueuedRequest {
                id,
                profile,
                queued_at: now,
                waits_for_copy,
                sender,
            };
            let expected_response_at = service.expected_response_at(now);
            if let Some(displaced) = service.queue.insert(queued, expected_response_at) {
                let result = Err(DispatchRefusal::DEFAULT_RETRY);
                let sender = displaced.sender;
                grants.push(Grant { sender, result });
            }
            if !waits_for_copy {
                self.assign_queued(service, grants, now);
                self.report_pending.notify_one();
            } else if is_first_for_copy {
                self.report_copy_wait();
            }
            Ok(StartOutcome::Queued(PendingAssignment {
                service: request.service.clone(),
                id,
                recheck_at,
                receiver,
                registry: self.clone(),
            }))
        })
    }

    /// Decides again on a request that has waited for some time.
    pub(super) fn recheck(
        self: &Arc<Self>,
        service: &ServiceId,
        id: u64,
        now: Instant,
    ) -> RecheckOutcome {
        let map = self.traffic.current();
        let engine = engine_spec(map.as_deref(), service);
        self.with_state(|state, grants| {
            let service = state.service(service);
            self.assign_queued(service, grants, now);
            let Some(queued) = service.queue.get(id) else {
                return RecheckOutcome::Resolved;
            };
            let selection = service.choose(&queued.profile, &self.zone, now);
            let context = WaitContext {
                service,
                engine,
                profile: &queued.profile,
                id,
                queued_at: queued.queued_at,
                now,
            };
            match context.decide(selection) {
                WaitDecision::Wait(until) => RecheckOutcome::Wait(until),
                WaitDecision::Refuse(refusal) => {
                    service.queue.remove(id);
                    RecheckOutcome::Refuse(refusal)
                }
            }
        })
    }

    /// Removes a request from the queue, if it still waits.
    pub(super) fn withdraw(&self, service: &ServiceId, id: u64) {
        self.with_state(|state, _| drop(state.service(service).queue.remove(id)));
    }

    /// Records the first event of a response: the runner has processed the prompt.
    pub(super) fn record_first_event(self: &Arc<Self>, assignment: &mut Assignment, now: Instant) {
        self.with_state(|state, grants| {
            let service = state.service(&assignment.service);
            service.record_response_time(now - assignment.started_at);
            if let Some(runner) = service.runner_mut(&assignment.runner.key) {
                runner.record_prompt_processed(&mut assignment.load);
                runner.gate.health.record_response(now);
            }
            self.assign_queued(service, grants, now);
        });
        self.report_pending.notify_one();
    }

    /// Releases an assignment and records its outcome.
    pub(super) fn release(self: &Arc<Self>, assignment: &Assignment, now: Instant) {
        let outcome = assignment.outcome.unwrap_or(AttemptOutcome::Cancelled);
        self.attempt_counters.record(outcome);
        let variant = assignment.load.variant.as_ref();
        let key = &assignment.runner.key;
        self.with_state(|state, grants| {
            let service = state.service(&assignment.service);
            if let Some(runner) = service.runner_mut(key) {
                runner.release(&assignment.load);
                if outcome == AttemptOutcome::Complete {
                    runner.idle_connections.record_returned(now);
                }
                if outcome == AttemptOutcome::Shed {
                    runner.gate.brittleness.record_rejection(now);
                }
            }
            if assignment.load.variant.is_none() && outcome == AttemptOutcome::Complete {
                service.record_response_time(now - assignment.started_at);
            }
            if outcome.occupied_slot() {
                service
                    .demand
                    .record_freed_slot(variant.map(|v| &v.model), now);
            }
            service.record_outcome(key, variant, outcome, assignment.response_time_s(now), now);
            self.assign_queued(service, grants, now);
            state.record_attempt(assignment, outcome, now);
            if outcome == AttemptOutcome::Unreachable && state.record_connect_failure(key, now) {
                self.urgent_report_pending.notify_one();
            }
            state.quarantine.decide_due(now);
            state.refuse_quarantined(grants, now);
            if state.quarantine.has_messages() {
                self.urgent_report_pending.notify_one();
            }
        });
        self.report_pending.notify_one();
    }

    /// Records that a runner could not be reached, outside of an attempt.
    pub(super) fn record_unreachable(self: &Arc<Self>, key: &RunnerKey, now: Instant) {
        self.update(now, |state| {
            if state.record_connect_failure(key, now) {
                self.urgent_report_pending.notify_one();
            }
        });
    }

    /// Records that a response has arrived long enough to show that its request is harmless.
    pub(super) fn record_harmless(&self, request: &RequestFingerprint, now: Instant) {
        self.with_state(|state, _| state.quarantine.record_harmless(request, now));
    }

    /// Records the limit on requests that a runner's response names, or that it names none.
    pub(super) fn record_limit(&self, key: &RunnerKey, limit: Option<RequestRate>, now: Instant) {
        if self.with_state(|state, _| state.record_limit(key, limit, now)) {
            self.urgent_report_pending.notify_one();
        }
    }

    /// Returns whether a request is refused.
    pub(super) fn is_quarantined(&self, request: &RequestFingerprint, now: Instant) -> bool {
        self.with_state(|state, _| {
            state.quarantine.decide_due(now);
            state.quarantine.remaining(request, now).is_some()
        })
    }

    /// Notifies the planner and the peers that requests wait for a copy.
    pub(super) fn report_copy_wait(&self) {
        self.waiting_demand.send_modify(|count| *count += 1);
        self.urgent_report_pending.notify_one();
    }
}

fn engine_spec<'a>(map: Option<&'a RouteTable>, service: &ServiceId) -> Option<&'a EngineSpec> {
    map?.config().service(service)?.engine.as_ref()
}
