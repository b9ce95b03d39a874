//! Counters of what workspaces used and were refused.

use {
    crate::{telemetry::MetricText, workspaces::WorkspaceName},
    std::time::Duration,
    tokio::time::Instant,
};

/// The shortest time between two log lines about refusals of one workspace.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The counts of one workspace at this node.
#[derive(Debug)]
struct WorkspaceCounts {
    workspace: WorkspaceName,
    allowed: u64,
    refused: u64,
    refused_requests: u64,
    logged_at: Option<Instant>,
    logged_requests: u64,
}

/// The amounts of the workspaces at this node since the start of the process.
#[derive(Debug, Default)]
pub struct QuotaCounters {
    /// Sorted by workspace.
    workspaces: Vec<WorkspaceCounts>,
    /// Questions to homes that got an allowance, were denied, and were not answered.
    asks: [u64; 3],
}

/// How a question to a home ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskOutcome {
    /// The home granted an amount.
    Granted,
    /// The home denied.
    Denied,
    /// No answer of a home came in time.
    Unanswered,
}

impl QuotaCounters {
    /// Counts an amount that was allowed.
    pub fn record_allowed(&mut self, workspace: &WorkspaceName, amount: u64) {
        self.counts(workspace).allowed += amount;
    }

    /// Counts a refused request; returns the number since the last log line if one is due.
    pub fn record_refused(
        &mut self,
        workspace: &WorkspaceName,
        amount: u64,
        now: Instant,
    ) -> Option<u64> {
        let counts = self.counts(workspace);
        counts.refused += amount;
        counts.refused_requests += 1;
        if counts.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return None;
        }
        counts.logged_at = Some(now);
        let since = counts.refused_requests - counts.logged_requests;
        counts.logged_requests = counts.refused_requests;
        Some(since)
    }

    /// Counts a question to a home.
    pub fn record_ask(&mut self, outcome: AskOutcome) {
        self.asks[outcome as usize] += 1;
    }

    /// Appends the counters to a page of metrics.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_quota_amount_total";
        let help = "Amounts of requests, by workspace and whether the quota allowed them.";
        text.begin(name, "counter", help);
        for counts in &self.workspaces {
            let workspace = counts.workspace.as_str();
            for (outcome, amount) in [("allowed", counts.allowed), ("refused", counts.refused)] {
                let labels = [("workspace", workspace), ("outcome", outcome)];
                text.value(name, &labels, amount as f64);
            }
        }
        let name = "ggt_quota_asks_total";
        let help = "Questions to the homes of workspaces, by outcome.";
        text.begin(name, "counter", help);
        for (outcome, count) in ["granted", "denied", "unanswered"].iter().zip(self.asks) {
            text.value(name, &[("outcome", outcome)], count as f64);
        }
    }

    fn counts(&mut self, workspace: &WorkspaceName) -> &mut WorkspaceCounts {
        let found = self
            .workspaces
            .binary_search_by(|counts| counts.workspace.cmp(workspace));
        let position = found.unwrap_or_else(|position| {
            let counts = WorkspaceCounts {
                workspace: workspace.clone(),
                allowed: 0,
                refused: 0,
                refused_requests: 0,
                logged_at: None,
                logged_requests: 0,
            };
            self.workspaces.insert(position, counts);
            position
        });
        &mut self.workspaces[position]
    }
}
