//! The report of a runner that ended with requests in progress.

use {
    super::{BrokenRequest, ContentId, EndedRunner, PartId, RequestDigest},
    crate::{discovery::RunnerKey, traffic::ServiceId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// The most identifiers in one report, which is sent in one datagram.
const REPORT_IDS_MAX: usize = 64;

/// The most shared parts of a prompt that are reported.
const REPORTED_PARTS_MAX: usize = 32;

/// A runner that ended, with requests of one node that may have ended it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerCrash {
    /// The runner that ended.
    pub runner: RunnerKey,
    /// The service of the runner.
    pub service: ServiceId,
    /// The requests that ended with it before or soon after their response began.
    pub requests: Vec<CrashedRequest>,
}

/// A request that ended with its runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRequest {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The last part of the prompt, which tells prompts apart; `None` without a prompt.
    pub own: Option<PartId>,
    /// The parts that other prompts may share, sorted.
    pub shared: Vec<PartId>,
    /// The time from the assignment of the request to the report, in milliseconds.
    pub assigned_ms_ago: u32,
    /// The time from the end of the request to the report, in milliseconds.
    pub ended_ms_ago: u32,
}

impl RunnerCrash {
    /// Returns the reports of a runner, without the contents for which `is_harmless` holds; none
    /// if no other ones are left.
    pub fn reports(
        ended: &EndedRunner,
        is_harmless: impl Fn(ContentId) -> bool,
        now: Instant,
    ) -> Vec<Self> {
        let mut reports: Vec<Self> = Vec::new();
        let mut ids = 0;
        for broken in ended.requests.iter().filter(|r| r.may_have_crashed()) {
            let Some(request) = CrashedRequest::new(broken, &is_harmless, now) else {
                continue;
            };
            ids += request.id_count();
            match reports.last_mut() {
                Some(report) if ids <= REPORT_IDS_MAX => report.requests.push(request),
                _ => {
                    ids = request.id_count();
                    reports.push(Self {
                        runner: ended.runner.clone(),
                        service: broken.service.clone(),
                        requests: vec![request],
                    });
                }
            }
        }
        reports
    }

    /// Returns the prompt parts of all requests.
    pub fn parts(&self) -> impl Iterator<Item = PartId> {
        let requests = self.requests.iter();
        requests.flat_map(|request| request.shared.iter().copied())
    }
}

impl CrashedRequest {
    fn new(
        request: &BrokenRequest,
        is_harmless: impl Fn(ContentId) -> bool,
        now: Instant,
    ) -> Option<Self> {
        let fingerprint = &request.fingerprint;
        let shared = fingerprint.shared.iter().copied();
        let shared = shared.filter(|&part| !is_harmless(ContentId::Part(part)));
        // The parts of a harmless request are harmless too.
        (!is_harmless(ContentId::Request(fingerprint.digest))).then(|| Self {
            digest: fingerprint.digest,
            own: fingerprint.own,
            shared: shared.take(REPORTED_PARTS_MAX).collect(),
            assigned_ms_ago: ms_ago(request.assigned_at, now),
            ended_ms_ago: ms_ago(request.ended_at, now),
        })
    }

    /// Returns when the request was assigned to its runner, if the report was made `now`.
    pub fn assigned_at(&self, now: Instant) -> Instant {
        before(self.assigned_ms_ago, now)
    }

    /// Returns when the request ended, if the report was made `now`.
    pub fn ended_at(&self, now: Instant) -> Instant {
        before(self.ended_ms_ago, now)
    }

    fn id_count(&self) -> usize {
        2 + self.shared.len()
    }
}

fn ms_ago(at: Instant, now: Instant) -> u32 {
    let elapsed = now.saturating_duration_since(at).as_millis();
    u32::try_from(elapsed).unwrap_or(u32::MAX)
}

fn before(ms: u32, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(ms)))
        .unwrap_or(now)
}
