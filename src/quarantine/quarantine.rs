//! Finds the requests and prompt parts that crash runners, together with the other nodes.

use {
    super::{
        BrokenRequest, ContentId, CrashDetector, EndedAttempts, EndedRunner, HarmlessContents,
        RequestFingerprint, RunnerCrash, Suspects, Verdict, Verdicts,
    },
    crate::discovery::RunnerKey,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// The shortest interval between two messages that clear the same content.
const CLEAR_INTERVAL: Duration = Duration::from_millis(300);

/// The shortest interval between two requests with a content on probation.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// How long this node publishes verdicts on a crash that it reported.
const REPORTED_TTL: Duration = Duration::from_secs(30);

/// What nodes tell each other about requests and prompt parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// A runner ended under requests of the sender.
    Crash(RunnerCrash),
    /// A response to a request with the content arrived.
    Harmless(ContentId),
    /// A content is quarantined, or no longer.
    Verdict(Verdict),
}

/// What a node knows about suspected contents and crashed runners.
#[derive(Debug, Default)]
pub struct Quarantine {
    crash_detector: CrashDetector,
    ended_attempts: EndedAttempts,
    suspects: Suspects,
    harmless: HarmlessContents,
    verdicts: Verdicts,
    /// The contents that this node or another one cleared lately.
    cleared: Vec<(ContentId, Instant)>,
    /// The ended runners that this node reported lately.
    reported: Vec<(RunnerKey, Instant)>,
    /// The contents on probation of which this node sent a request lately.
    trials: Vec<(ContentId, Instant)>,
    /// When the next decision is due.
    decide_at: Option<Instant>,
    outbox: Vec<QuarantineMessage>,
}

impl Quarantine {
    /// Records that the connection of a request to its runner broke.
    pub fn record_broken(&mut self, request: BrokenRequest, now: Instant) {
        let ended = self.crash_detector.record_broken(request, now);
        self.record_ended_runner(ended, now);
    }

    /// Records that a runner cannot be reached or is no longer listed.
    pub fn record_runner_end(&mut self, runner: &RunnerKey, now: Instant) {
        let ended = self.crash_detector.record_end(runner, now);
        self.record_ended_runner(ended, now);
    }

    /// Records that a response has arrived long enough to show that its request crashes no runner.
    pub fn record_harmless(&mut self, request: &RequestFingerprint, now: Instant) {
        for content in request.contents() {
            self.harmless.record(content, now);
            if self.suspects.clear(content) {
                self.announce_harmless(content, now);
            }
        }
    }

    /// Records a complete response, which also ends the quarantine of its request and prompt parts.
    pub fn record_complete(&mut self, request: &RequestFingerprint, now: Instant) {
        self.record_harmless(request, now);
        for content in request.contents() {
            if self.verdicts.remaining(content, now).is_some() {
                log::info!(content:% = content; "quarantine: a response shows that the content is harmless.");
                let verdict = self.verdicts.end(content, now);
                self.outbox.push(QuarantineMessage::Verdict(verdict));
            }
        }
    }

    /// Applies a message of another node.
    pub fn apply(&mut self, message: QuarantineMessage, now: Instant) {
        match message {
            QuarantineMessage::Crash(crash) => {
                self.apply_crash(&crash, now);
                self.record_runner_end(&crash.runner, now);
            }
            QuarantineMessage::Harmless(content) => {
                self.harmless.record(content, now);
                self.suspects.clear(content);
                self.try_clear(content, now);
            }
            QuarantineMessage::Verdict(verdict) => self.apply_verdict(verdict, now),
        }
    }

    /// Returns how long a request is still refused; `None` if it may be sent.
    pub fn remaining(&self, request: &RequestFingerprint, now: Instant) -> Option<Duration> {
        let contents = request.contents();
        contents
            .filter_map(|content| self.verdicts.remaining(content, now))
            .max()
    }

    /// Returns the content of a request that may be tried only one at a time, as no response has
    /// shown it to be harmless since runners ended under it.
    pub fn on_probation(&self, request: &RequestFingerprint) -> Option<ContentId> {
        let mut contents = request.contents();
        contents.find(|content| self.suspects.is_on_probation(*content))
    }

    /// Records that a request with a content on probation is sent; returns whether it may be, as
    /// the last one was sent long enough ago.
    pub fn try_trial(&mut self, content: ContentId, now: Instant) -> bool {
        self.trials.retain(|(_, at)| now < *at + TRIAL_INTERVAL);
        let is_free = !self.trials.iter().any(|(known, _)| *known == content);
        if is_free {
            self.trials.push((content, now));
        }
        is_free
    }

    /// Removes and returns the messages for the other nodes.
    pub fn take_messages(&mut self) -> Vec<QuarantineMessage> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns whether there are messages for the other nodes.
    pub fn has_messages(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Returns whether any content is on probation.
    pub fn has_probation(&self) -> bool {
        self.suspects.has_probation()
    }

    /// Returns whether any verdict may hold.
    pub fn has_verdicts(&self) -> bool {
        !self.verdicts.is_empty()
    }

    /// Returns all verdicts that hold.
    pub fn verdicts(&self, now: Instant) -> Vec<Verdict> {
        self.verdicts.all(now).collect()
    }

    /// Returns the number of attempts that ended with their runner.
    pub fn ended_attempts(&self) -> EndedAttempts {
        self.ended_attempts
    }

    /// Drops what no longer holds.
    pub fn expire(&mut self, now: Instant) {
        for request in self.crash_detector.take_complete(now) {
            self.record_complete(&request.fingerprint, now);
        }
        self.decide(now);
        self.verdicts.expire(now);
        self.reported.retain(|(_, at)| now < *at + REPORTED_TTL);
        self.cleared.retain(|(_, at)| now < *at + CLEAR_INTERVAL);
    }

    fn record_ended_runner(&mut self, ended: Option<EndedRunner>, now: Instant) {
        let Some(ended) = ended else {
            return;
        };
        self.ended_attempts.count(&ended);
        ended.log();
        let harmless = &self.harmless;
        let reports = RunnerCrash::reports(&ended, |content| harmless.contains(content, now), now);
        for crash in reports {
            self.apply_crash(&crash, now);
            self.reported.push((crash.runner.clone(), now));
            self.outbox.push(QuarantineMessage::Crash(crash));
        }
    }

    /// Counts a crash against its requests and their parts.
    fn apply_crash(&mut self, crash: &RunnerCrash, now: Instant) {
        let is_certain = |content| self.verdicts.is_certain(content, now);
        if crash.parts().any(|part| is_certain(ContentId::Part(part))) {
            self.suspects.explain(&crash.runner, now);
            self.acquit(now);
            return;
        }
        let mut requests = crash.requests.iter();
        let culprit = requests.find(|request| is_certain(ContentId::Request(request.digest)));
        self.announce_harmless_contents(crash, now);
        let harmless = &self.harmless;
        let is_harmless = |content| harmless.contains(content, now);
        match culprit {
            Some(culprit) => {
                let (runner, parts) = (&crash.runner, &culprit.shared);
                self.suspects
                    .explain_by_request(runner, culprit.digest, parts, now);
                self.suspects.record_parts(crash, culprit, is_harmless, now);
            }
            None => self.suspects.record_crash(crash, is_harmless, now),
        }
        self.decide(now);
    }

    /// Ends the provisional quarantine of contents whose crashes another content explains.
    fn acquit(&mut self, now: Instant) {
        for acquitted in self.suspects.take_acquitted() {
            let content = acquitted.content;
            if self.verdicts.remaining(content, now).is_none()
                || self.verdicts.is_certain(content, now)
            {
                continue;
            }
            log::info!(content:% = content; "quarantine: another content explains the crashes.");
            let verdict = self.verdicts.end(content, now);
            self.publish(verdict, &acquitted.runner);
        }
    }

    /// Publishes a verdict if this node had requests at the runner; all nodes decide alike.
    fn publish(&mut self, verdict: Verdict, runner: &RunnerKey) {
        if self.reported.iter().any(|(known, _)| known == runner) {
            self.outbox.push(QuarantineMessage::Verdict(verdict));
        }
    }

    /// Quarantines the contents against which the evidence suffices, if a decision is due.
    pub fn decide_due(&mut self, now: Instant) {
        if self.decide_at.is_some_and(|at| now >= at) {
            self.decide(now);
        }
    }

    fn decide(&mut self, now: Instant) {
        while let Some(culprit) = self.suspects.take_culprit(now) {
            culprit.log();
            let verdict = self
                .verdicts
                .quarantine(culprit.content, culprit.is_provisional, now);
            self.publish(verdict, &culprit.last_runner);
        }
        self.acquit(now);
        self.decide_at = self.suspects.next_decision_at(now);
    }

    fn apply_verdict(&mut self, verdict: Verdict, now: Instant) {
        if self.verdicts.merge(verdict, now) {
            match verdict.is_quarantined {
                true => self
                    .suspects
                    .apply_decision(verdict.content, verdict.is_provisional, now),
                false => _ = self.suspects.clear(verdict.content),
            }
            self.acquit(now);
            log::info!(
                content:% = verdict.content,
                is_quarantined = verdict.is_quarantined;
                "quarantine: another node's verdict is in force."
            );
        }
    }

    /// Tells the other nodes which contents of a crash had responses at this one.
    fn announce_harmless_contents(&mut self, crash: &RunnerCrash, now: Instant) {
        let requests = crash.requests.iter();
        let requests = requests.map(|request| ContentId::Request(request.digest));
        let contents = requests.chain(crash.parts().map(ContentId::Part));
        let harmless: Vec<_> = contents
            .filter(|content| self.harmless.contains(*content, now))
            .collect();
        for content in harmless {
            self.announce_harmless(content, now);
        }
    }

    fn announce_harmless(&mut self, content: ContentId, now: Instant) {
        if self.try_clear(content, now) {
            self.outbox.push(QuarantineMessage::Harmless(content));
        }
    }

    /// Records that this node or another one clears a content now; returns whether none did lately.
    fn try_clear(&mut self, content: ContentId, now: Instant) -> bool {
        self.cleared.retain(|(_, at)| now < *at + CLEAR_INTERVAL);
        let is_first = !self.cleared.iter().any(|(known, _)| *known == content);
        if is_first {
            self.cleared.push((content, now));
        }
        is_first
    }
}
