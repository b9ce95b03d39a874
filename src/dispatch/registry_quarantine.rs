//! The evidence on crashes and the refusals of what is quarantined, in a node's state.

use {
    super::{
        Assignment, AttemptOutcome, DispatchRefusal, registry_shared::Grant,
        registry_state::RegistryState, wait_queue::RequestProfile,
    },
    crate::quarantine::{
        BrokenRequest, PROVISIONAL_QUARANTINE, QuarantineMessage, RequestFingerprint,
    },
    tokio::time::Instant,
};

/// The rounds in which a quarantine message is sent directly to all peers.
const MESSAGE_ROUNDS: u8 = 3;

impl RegistryState {
    /// Returns whether a request may be sent although an earlier one like it was quarantined
    /// provisionally: at one node, without a second attempt, now and then.
    pub(super) fn admits_trial(
        &mut self,
        request: &RequestFingerprint,
        is_retry: bool,
        now: Instant,
    ) -> bool {
        let Some(content) = self.quarantine.on_probation(request) else {
            return true;
        };
        let is_trial_node = self.nodes.rank_for(&content.to_string()) == 0;
        !is_retry && is_trial_node && self.quarantine.try_trial(content, now)
    }

    /// Records how an attempt ended that tells something about the request.
    pub(super) fn record_attempt(
        &mut self,
        assignment: &Assignment,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        match outcome {
            AttemptOutcome::Broken => self.record_broken(assignment, false, now),
            // Counts as broken only if the runner ended too.
            AttemptOutcome::Complete if assignment.ends_with_connection => {
                self.record_broken(assignment, true, now);
            }
            AttemptOutcome::Complete => {
                self.quarantine
                    .record_complete(&assignment.fingerprint, now);
            }
            _ => {}
        }
    }

    /// Removes the queued requests that are quarantined, or on probation and no trial.
    pub(super) fn refuse_quarantined(&mut self, grants: &mut Vec<Grant>, now: Instant) {
        if !self.quarantine.has_verdicts() && !self.quarantine.has_probation() {
            return;
        }
        let refused_for = |profile: &RequestProfile| {
            let on_probation = self.quarantine.on_probation(&profile.fingerprint);
            let on_probation = on_probation.filter(|_| !profile.is_trial);
            let verdict = self.quarantine.remaining(&profile.fingerprint, now);
            verdict.or(on_probation.map(|_| PROVISIONAL_QUARANTINE))
        };
        for service in &mut self.services {
            let refused = service.queue.extract(refused_for);
            let refused = refused.into_iter().map(|(queued, remaining)| Grant {
                sender: queued.sender,
                result: Err(DispatchRefusal::quarantined(remaining)),
            });
            grants.extend(refused);
        }
    }

    /// Records that the connection of a request to its runner broke.
    fn record_broken(&mut self, assignment: &Assignment, looked_complete: bool, now: Instant) {
        let request = BrokenRequest {
            runner: assignment.runner.key.clone(),
            service: assignment.service.clone(),
            fingerprint: assignment.fingerprint.clone(),
            assigned_at: assignment.started_at,
            answered_for: assignment.answered_for(),
            looked_complete,
            ended_at: now,
        };
        self.quarantine.record_broken(request, now);
    }

    /// Returns the quarantine messages for a round that is sent directly to all peers.
    ///
    /// Each is sent in several rounds, since datagrams get lost; a full round has all verdicts.
    pub(super) fn next_direct_messages(
        &mut self,
        full: bool,
        now: Instant,
    ) -> Vec<QuarantineMessage> {
        let new = self.quarantine.take_messages().into_iter();
        let new = new.map(|message| (message, MESSAGE_ROUNDS));
        self.repeated_messages.extend(new);
        let verdicts = match full {
            true => self.quarantine.verdicts(now),
            false => Vec::new(),
        };
        let verdicts = verdicts.into_iter().map(QuarantineMessage::Verdict);
        let mut messages: Vec<_> = verdicts.collect();
        for (message, rounds_left) in &mut self.repeated_messages {
            *rounds_left -= 1;
            messages.push(message.clone());
        }
        self.repeated_messages.retain(|(_, left)| *left > 0);
        messages
    }

    /// Returns whether quarantine messages are left for the next direct round.
    pub(super) fn has_direct_messages(&self) -> bool {
        !self.repeated_messages.is_empty()
    }
}
