//! The budget of recently sent prompt tokens per runner.

use {
    super::{
        PREFILL_TOKENS_PER_MS,
        prompt_pace::{PACING_SPAN, PROMPT_DECAY},
    },
    crate::traffic::{ConfigVersion, RouteKind, RouteTable, ServiceId},
};

/// The part of a gap between two events of a stream that decoding the event itself takes.
const DECODE_MS: u64 = 75;

/// How far recent tokens may exceed their mean right after a prompt was sent.
const PEAK_TO_MEAN_RATIO: f64 = 1.6;

/// The longest gap that the budget is computed for.
const GAP_MAX_MS: u64 = 600;

/// The budget of recently sent prompt tokens per runner, cached per configuration version.
#[derive(Debug)]
pub(super) struct PaceBudget {
    version: Option<ConfigVersion>,
    budget_tokens: u64,
}

impl Default for PaceBudget {
    fn default() -> Self {
        Self {
            version: None,
            budget_tokens: budget_for_gap(PACING_SPAN.as_millis() as u64),
        }
    }
}

impl PaceBudget {
    /// Returns the budget, which follows from the shortest gap target among the service's
    /// streaming routes.
    pub(super) fn tokens(&mut self, map: Option<&RouteTable>, service: &ServiceId) -> u64 {
        let config = map.map(RouteTable::config);
        if let Some(config) = config.filter(|config| Some(config.version) != self.version) {
            self.version = Some(config.version);
            let routes = config.routes.iter();
            let gap_targets = routes.filter_map(|route| match route.kind {
                RouteKind::Streaming { gap_target_ms, .. }
                    if route.targets.iter().any(|to| to.service == *service) =>
                {
                    Some(gap_target_ms)
                }
                _ => None,
            });
            let shortest_gap_ms = gap_targets.min().unwrap_or(PACING_SPAN.as_millis() as u64);
            self.budget_tokens = budget_for_gap(shortest_gap_ms);
        }
        self.budget_tokens
    }
}

fn budget_for_gap(gap_ms: u64) -> u64 {
    let prefill_ms = gap_ms.min(GAP_MAX_MS).saturating_sub(DECODE_MS);
    let decay_ratio = PROMPT_DECAY.as_millis() as f64 / gap_ms.clamp(1, GAP_MAX_MS) as f64;
    (prefill_ms as f64 * decay_ratio * PREFILL_TOKENS_PER_MS * PEAK_TO_MEAN_RATIO) as u64
}
