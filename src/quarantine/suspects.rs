//! The requests and prompt parts that may have crashed runners, with the evidence against each.

use {
    super::{ContentId, CrashedRequest, PartId, RequestDigest, RunnerCrash},
    crate::{discovery::RunnerKey, traffic::ServiceId},
    std::{
        cmp::Reverse,
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
    tokio::time::Instant,
};

/// The number of crashes after which a content is quarantined.
const CRASHES_MIN: usize = 3;

/// The number of crashes after which a content is quarantined although they may have another cause:
/// another content in all of them, or what ended as many other runners.
const CRASHES_WITH_RIVAL: usize = 5;

/// The number of crashes before which a request is quarantined only provisionally.
const CRASHES_CERTAIN: usize = 4;

/// How long the end of a runner counts among those that may have a common cause.
const COMMON_CAUSE_SPAN: Duration = Duration::from_secs(30);

/// How long a crash counts against a content.
const EVIDENCE_TTL: Duration = Duration::from_secs(300);

/// The largest number of suspected parts, and of suspected requests.
const SUSPECTS_MAX: usize = 1_024;

/// The largest number of runners that are kept of a suspect.
const RUNNERS_MAX: usize = 64;

/// The time for the reports of all nodes on a crash to arrive before it is decided on.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// The longest wait for such reports while further crashes count.
const SETTLE_TIME_MAX: Duration = Duration::from_secs(1);

/// How long a crash is known to be caused by a quarantined content.
const EXPLAINED_TTL: Duration = Duration::from_secs(30);

/// A crash that counts against a content.
#[derive(Debug, Clone)]
struct Evidence {
    runner: RunnerKey,
    /// The request that ended with the runner.
    request: RequestDigest,
    /// The last part of its prompt.
    own: Option<PartId>,
    ended_at: Instant,
}

/// A content with the crashes that count against it, the oldest first.
#[derive(Debug)]
struct Suspect {
    content: ContentId,
    /// The service of the first runner that ended under it.
    service: ServiceId,
    evidence: Vec<Evidence>,
    /// All runners that ended under requests with the content, also those that count as one crash.
    runners: Vec<RunnerKey>,
    /// The shared prompt parts of a suspected request, sorted.
    parts: Vec<PartId>,
    /// The number of requests with the content that ended with runners.
    requests: usize,
    /// The number of attempts that ended with runners; several may end with one runner.
    attempts: usize,
    /// The reports whose attempts were counted, since each arrives several times.
    counted_reports: Vec<u64>,
    /// The number of crashes at which it was last quarantined.
    decided_crashes: usize,
    /// When the crash was counted with which there were enough to decide.
    opened_at: Instant,
    /// When the last crash was counted.
    counted_at: Instant,
}

/// A content to quarantine.
#[derive(Debug)]
pub struct Culprit {
    /// The request or prompt part.
    pub content: ContentId,
    /// The number of runners that ended under it.
    pub runners: usize,
    /// Whether the evidence may be chance, so that the next crash decides.
    pub is_provisional: bool,
    /// The runner of the last crash that counted.
    pub last_runner: RunnerKey,
}

impl Culprit {
    /// Logs that requests with the content are refused.
    pub fn log(&self) {
        log::warn!(
            content:% = self.content,
            runners = self.runners,
            is_provisional = self.is_provisional;
            "quarantine: requests with a content are refused, as runners ended under them."
        );
    }
}

/// A content that was quarantined provisionally for crashes that another content explains.
#[derive(Debug)]
pub struct Acquitted {
    /// The request or prompt part.
    pub content: ContentId,
    /// The runner of an explained crash.
    pub runner: RunnerKey,
}

/// What the evidence against a content suffices for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    Insufficient,
    /// The evidence may be chance.
    Provisional,
    Certain,
}

impl Suspect {
    fn new(content: ContentId, crash: &RunnerCrash, now: Instant) -> Self {
        Self {
            content,
            service: crash.service.clone(),
            evidence: Vec::new(),
            runners: Vec::new(),
            requests: 0,
            attempts: 0,
            counted_reports: Vec::new(),
            decided_crashes: 0,
            opened_at: now,
            counted_at: now,
            parts: Vec::new(),
        }
    }

    /// Returns the rank among suspects: by crashes, and of equally many the one that fewer other
    /// requests had too.
    fn rank(&self) -> (usize, Reverse<usize>) {
        (self.runners.len(), Reverse(self.requests))
    }

    /// Returns whether enough crashes count, of which one was not decided on.
    fn is_open(&self) -> bool {
        let crashes = self.evidence.len();
        crashes >= CRASHES_MIN && crashes > self.decided_crashes
    }

    /// Returns when the reports of all nodes have arrived: for a part those on the last crash,
    /// which tell it from other parts of the same prompts.
    fn settles_at(&self) -> Instant {
        match self.content {
            ContentId::Part(_) => {
                (self.counted_at + SETTLE_TIME).min(self.opened_at + SETTLE_TIME_MAX)
            }
            ContentId::Request(_) => self.opened_at + SETTLE_TIME,
        }
    }

    fn is_request(&self) -> bool {
        matches!(self.content, ContentId::Request(_))
    }

    /// Counts a crash, unless an earlier one has the same cause if the content is harmless.
    fn record(&mut self, runner: &RunnerKey, request: &CrashedRequest, now: Instant) {
        if self.runners.len() < RUNNERS_MAX && !self.runners.contains(runner) {
            self.runners.push(runner.clone());
        }
        self.requests += 1;
        if self.is_request() {
            self.parts.extend(&request.shared);
            self.parts.sort_unstable();
            self.parts.dedup();
        }
        let is_new = match self.content {
            ContentId::Request(_) => self.is_new_runner(runner),
            ContentId::Part(_) => self.is_new_request(runner, request, request.assigned_at(now)),
        };
        if is_new && self.evidence.len() < RUNNERS_MAX {
            self.evidence.push(Evidence {
                runner: runner.clone(),
                request: request.digest,
                own: request.own,
                ended_at: request.ended_at(now),
            });
            self.counted_at = now;
            if self.evidence.len() == CRASHES_MIN {
                self.opened_at = now;
            }
        }
    }

    fn is_new_runner(&self, runner: &RunnerKey) -> bool {
        !self.evidence.iter().any(|known| known.runner == *runner)
    }

    /// Returns whether a crash counts against a part in addition to the earlier ones.
    ///
    /// A request counts once, however often it is repeated. Requests that were sent before the last
    /// crash may all have ended for one other reason, so only later ones count.
    fn is_new_request(
        &self,
        runner: &RunnerKey,
        request: &CrashedRequest,
        assigned_at: Instant,
    ) -> bool {
        let is_repeated = self.evidence.iter().any(|known| known.own == request.own);
        let last_ended_at = self.evidence.last().map(|last| last.ended_at);
        self.is_new_runner(runner)
            && !is_repeated
            && last_ended_at.is_none_or(|at| assigned_at > at)
    }

    /// Counts the attempts of a report, unless it was counted before.
    fn record_attempts(&mut self, report: u64, attempts: usize) {
        if self.counted_reports.len() < RUNNERS_MAX && !self.counted_reports.contains(&report) {
            self.counted_reports.push(report);
            self.attempts += attempts;
        }
    }

    /// Returns whether requests with the content may be tried only one at a time: it was
    /// quarantined provisionally, or as many attempts ended as decide, if with fewer runners.
    fn is_on_probation(&self) -> bool {
        let is_counted = self.is_request() && self.attempts >= CRASHES_MIN;
        self.decided_crashes > 0 || is_counted
    }

    /// Returns whether this part is quarantined before `other`, if the evidence suffices for both.
    fn goes_before(&self, other: &Self) -> bool {
        let has_higher_rank = self.rank() > other.rank();
        self.is_narrower_cause(other) || (has_higher_rank && !other.is_narrower_cause(self))
    }

    /// Returns whether all runners but one that ended under `other` ended under this content too, with
    /// at most half as many requests.
    fn is_narrower_cause(&self, other: &Self) -> bool {
        other.runners.len() >= CRASHES_WITH_RIVAL
            && self.requests * 2 <= other.requests
            && self.covers_all_but_one(other)
    }

    /// Returns whether this content may explain the crashes of `other`: it covers all of its runners,
    /// or all but one, on which the report may be lost.
    fn may_explain(&self, other: &Self) -> bool {
        let is_nearly_covered = || match (self.content, other.content) {
            (_, ContentId::Request(_)) => self.runners.len() >= other.runners.len(),
            (ContentId::Part(_), ContentId::Part(_)) => other.runners.len() >= CRASHES_CERTAIN,
            (ContentId::Request(_), ContentId::Part(_)) => false,
        };
        self.covers(other) || (is_nearly_covered() && self.covers_all_but_one(other))
    }

    fn covers_all_but_one(&self, other: &Self) -> bool {
        let runners = other.runners.iter();
        let missing = runners.filter(|runner| !self.runners.contains(runner));
        missing.take(2).count() == 1
    }

    /// Returns whether all runners that ended under `other` ended under this content too.
    fn covers(&self, other: &Self) -> bool {
        let mut runners = other.runners.iter();
        runners.all(|runner| self.runners.contains(runner))
    }
}

/// The contents against which crashes count, sorted by content.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: Vec<Suspect>,
    /// The runners that quarantined contents crashed.
    explained: Vec<(RunnerKey, Instant)>,
    /// The runners that ended lately, with their services.
    ended: Vec<(RunnerKey, ServiceId, Instant)>,
    /// The contents that were acquitted and not taken yet.
    acquitted: Vec<Acquitted>,
}

impl Suspects {
    /// Counts a crash against its requests and their parts, unless `is_harmless` holds for them.
    pub fn record_crash(
        &mut self,
        crash: &RunnerCrash,
        is_harmless: impl Fn(ContentId) -> bool,
        now: Instant,
    ) {
        self.expire(now);
        if self.explained.iter().any(|(key, _)| *key == crash.runner) {
            return;
        }
        self.record_ended(crash, now);
        for request in &crash.requests {
            let digest = ContentId::Request(request.digest);
            if !is_harmless(digest) {
                self.record(digest, crash, request, now);
            }
            self.record_parts(crash, request, &is_harmless, now);
        }
        let report = report_hash(crash);
        for (content, attempts) in attempts_of(crash) {
            if let Ok(position) = self.position(content) {
                self.suspects[position].record_attempts(report, attempts);
            }
        }
    }

    /// Counts a crash against the parts of one of its requests.
    pub fn record_parts(
        &mut self,
        crash: &RunnerCrash,
        request: &CrashedRequest,
        is_harmless: impl Fn(ContentId) -> bool,
        now: Instant,
    ) {
        let parts = request.shared.iter().copied().map(ContentId::Part);
        for part in parts.filter(|part| !is_harmless(*part)) {
            self.record(part, crash, request, now);
        }
    }

    fn record(
        &mut self,
        content: ContentId,
        crash: &RunnerCrash,
        request: &CrashedRequest,
        now: Instant,
    ) {
        if self.position(content).is_err() {
            self.make_room(content);
        }
        let position = self.position(content).unwrap_or_else(|position| {
            let suspect = Suspect::new(content, crash, now);
            self.suspects.insert(position, suspect);
            position
        });
        self.suspects[position].record(&crash.runner, request, now);
    }

    /// Removes the suspect with the fewest and oldest crashes if there are too many of a kind.
    fn make_room(&mut self, content: ContentId) {
        let is_request = matches!(content, ContentId::Request(_));
        let all = self.suspects.iter().enumerate();
        let same_kind = all.filter(|(_, suspect)| suspect.is_request() == is_request);
        if same_kind.clone().count() < SUSPECTS_MAX {
            return;
        }
        let weakest = same_kind.min_by_key(|(_, suspect)| {
            let last_ended_at = suspect.evidence.last().map(|last| last.ended_at);
            (suspect.evidence.len(), last_ended_at)
        });
        if let Some((position, _)) = weakest {
            self.suspects.remove(position);
        }
    }

    /// Returns a content to quarantine, if the evidence against one suffices.
    ///
    /// The crashes that it explains count no longer against others, unless provisionally.
    pub fn take_culprit(&mut self, now: Instant) -> Option<Culprit> {
        let findings = self
            .suspects
            .iter()
            .map(|suspect| self.finding(suspect, now));
        let mut findings = findings.enumerate();
        let (position, finding) = findings.find(|(_, found)| *found != Finding::Insufficient)?;
        let suspect = &self.suspects[position];
        let culprit = Culprit {
            content: suspect.content,
            runners: suspect.runners.len(),
            is_provisional: finding == Finding::Provisional,
            last_runner: suspect.evidence.last()?.runner.clone(),
        };
        self.apply_decision(culprit.content, culprit.is_provisional, now);
        Some(culprit)
    }

    /// Records that a content is quarantined, by this node or another one.
    ///
    /// With a provisional decision it remains a suspect, so that its next crash decides.
    pub fn apply_decision(&mut self, content: ContentId, is_provisional: bool, now: Instant) {
        let Ok(position) = self.position(content) else {
            return;
        };
        let suspect = &mut self.suspects[position];
        suspect.decided_crashes = suspect.evidence.len();
        if !is_provisional {
            self.remove_culprit(position, now);
        }
    }

    /// Removes and returns the contents whose provisional quarantine has lost its reason.
    pub fn take_acquitted(&mut self) -> Vec<Acquitted> {
        std::mem::take(&mut self.acquitted)
    }

    /// Returns when the next decision is due for which reports may still arrive.
    pub fn next_decision_at(&self, now: Instant) -> Option<Instant> {
        let open = self.suspects.iter().filter(|suspect| suspect.is_open());
        let settle_at = open.map(Suspect::settles_at);
        settle_at.filter(|at| now < *at).min()
    }

    fn remove_culprit(&mut self, position: usize, now: Instant) {
        let culprit = self.suspects.remove(position);
        for runner in &culprit.runners {
            match culprit.content {
                ContentId::Part(_) => self.explain(runner, now),
                ContentId::Request(digest) => {
                    self.explain_by_request(runner, digest, &culprit.parts, now);
                }
            }
        }
    }

    fn finding(&self, suspect: &Suspect, now: Instant) -> Finding {
        match suspect.is_open() && now >= suspect.settles_at() {
            true if suspect.is_request() => self.request_finding(suspect),
            true => self.part_finding(suspect),
            false => Finding::Insufficient,
        }
    }

    fn request_finding(&self, suspect: &Suspect) -> Finding {
        let crashes = suspect.evidence.len();
        let mut requests = self.suspects.iter().filter(|other| other.is_request());
        let is_first = requests.all(|other| other.evidence.len() <= crashes);
        let is_chance = || self.other_ends(suspect) >= crashes;
        match is_first {
            true if crashes >= CRASHES_WITH_RIVAL => Finding::Certain,
            true if is_chance() => Finding::Insufficient,
            true if crashes < CRASHES_CERTAIN => Finding::Provisional,
            true if self.has_rival(suspect) => Finding::Provisional,
            true => Finding::Certain,
            false => Finding::Insufficient,
        }
    }

    /// Returns whether another content may explain a suspect's crashes as well; a part of a suspected
    /// request itself doesn't count.
    fn has_rival(&self, suspect: &Suspect) -> bool {
        let mut others = self.suspects.iter().filter(|other| match other.content {
            ContentId::Part(part) => !suspect.parts.contains(&part),
            ContentId::Request(_) => true,
        });
        others.any(|other| other.content != suspect.content && other.may_explain(suspect))
    }

    fn part_finding(&self, suspect: &Suspect) -> Finding {
        let mut others = self.suspects.iter();
        let is_first = others.all(|other| !other.goes_before(suspect));
        let is_enough = suspect.evidence.len() >= CRASHES_WITH_RIVAL || !self.has_rival(suspect);
        match is_first && is_enough {
            true => Finding::Certain,
            false => Finding::Insufficient,
        }
    }

    /// Returns the number of runners of a suspect's service that lately ended without it.
    fn other_ends(&self, suspect: &Suspect) -> usize {
        let ended = self.ended.iter();
        let of_service = ended.filter(|(_, service, _)| *service == suspect.service);
        let others = of_service.filter(|(runner, ..)| suspect.is_new_runner(runner));
        others.count()
    }

    fn record_ended(&mut self, crash: &RunnerCrash, now: Instant) {
        let is_known = self.ended.iter().any(|(key, ..)| *key == crash.runner);
        if !is_known && self.ended.len() < SUSPECTS_MAX {
            let (runner, service) = (crash.runner.clone(), crash.service.clone());
            self.ended.push((runner, service, now));
        }
    }

    /// Records that a quarantined part crashed a runner, so that the crash counts against no other
    /// content.
    pub fn explain(&mut self, runner: &RunnerKey, now: Instant) {
        self.remove_evidence(runner, |_, _| false);
        self.add_explained(runner, now);
    }

    /// Records that a quarantined request crashed a runner, so that the crash counts against no
    /// other request, and against no part but those of the request.
    pub fn explain_by_request(
        &mut self,
        runner: &RunnerKey,
        request: RequestDigest,
        parts: &[PartId],
        now: Instant,
    ) {
        self.remove_evidence(runner, |content, crash| match content {
            ContentId::Part(part) => parts.contains(&part) && crash.request == request,
            ContentId::Request(_) => false,
        });
        self.add_explained(runner, now);
    }

    fn remove_evidence(
        &mut self,
        runner: &RunnerKey,
        is_kept: impl Fn(ContentId, &Evidence) -> bool,
    ) {
        for suspect in &mut self.suspects {
            let content = suspect.content;
            let evidence = &mut suspect.evidence;
            evidence.retain(|crash| crash.runner != *runner || is_kept(content, crash));
            if !evidence.iter().any(|crash| crash.runner == *runner) {
                suspect.runners.retain(|known| known != runner);
            }
            if suspect.decided_crashes > 0 && suspect.evidence.len() < CRASHES_MIN {
                suspect.decided_crashes = 0;
                self.acquitted.push(Acquitted {
                    content,
                    runner: runner.clone(),
                });
            }
        }
        self.suspects.retain(|suspect| !suspect.evidence.is_empty());
    }

    fn add_explained(&mut self, runner: &RunnerKey, now: Instant) {
        if self.explained.len() < SUSPECTS_MAX {
            self.explained.push((runner.clone(), now));
        }
    }

    /// Returns whether requests with a content may be tried only one at a time, until a response
    /// shows that it is harmless.
    pub fn is_on_probation(&self, content: ContentId) -> bool {
        let position = self.position(content);
        position.is_ok_and(|position| self.suspects[position].is_on_probation())
    }

    /// Returns whether any content is on probation.
    pub fn has_probation(&self) -> bool {
        self.suspects.iter().any(Suspect::is_on_probation)
    }

    /// Removes a content; returns whether crashes counted against it.
    pub fn clear(&mut self, content: ContentId) -> bool {
        let position = self.position(content);
        position
            .map(|position| self.suspects.remove(position))
            .is_ok()
    }

    fn position(&self, content: ContentId) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&content, |suspect| suspect.content)
    }

    fn expire(&mut self, now: Instant) {
        for suspect in &mut self.suspects {
            let evidence = &mut suspect.evidence;
            evidence.retain(|crash| now < crash.ended_at + EVIDENCE_TTL);
        }
        self.suspects.retain(|suspect| !suspect.evidence.is_empty());
        self.explained.retain(|(_, at)| now < *at + EXPLAINED_TTL);
        self.ended.retain(|(.., at)| now < *at + COMMON_CAUSE_SPAN);
    }
}

/// Identifies a report: the same crash as reported by one node, however often it arrives.
fn report_hash(crash: &RunnerCrash) -> u64 {
    let mut hasher = DefaultHasher::new();
    crash.runner.hash(&mut hasher);
    for request in &crash.requests {
        let times = (request.assigned_ms_ago, request.ended_ms_ago);
        (request.digest.0, times).hash(&mut hasher);
    }
    hasher.finish()
}

/// Returns the requests of a report with the number of attempts at each.
fn attempts_of(crash: &RunnerCrash) -> Vec<(ContentId, usize)> {
    let requests = crash.requests.iter();
    let mut digests: Vec<_> = requests.map(|request| request.digest).collect();
    digests.sort_unstable();
    let same = digests.chunk_by(|a, b| a == b);
    same.map(|same| (ContentId::Request(same[0]), same.len()))
        .collect()
}
