//! The budget of recently sent prompt tokens per runner.

use {
    super::{
        PREFILL_TOKENS_PER_MS,
        prompt_pace::{FADE, PACE},
    },
    crate::traffic::{ConfigVersion, RouteKind, RouteMap, ServiceId},
};

/// The part of a gap between two events of a stream that decoding the event itself takes.
const TOKENS_MS: u64 = 75;

/// How far recent tokens may exceed their mean right after a prompt was sent.
const PEAK: f64 = 1.6;

/// The longest gap that the budget is computed for.
const PAUSE_MAX_MS: u64 = 600;

/// The budget of recently sent prompt tokens per runner, cached per configuration version.
#[derive(Debug)]
pub(super) struct PaceBudget {
    version: Option<ConfigVersion>,
    tokens: u64,
}

impl Default for PaceBudget {
    fn default() -> Self {
        Self {
            version: None,
            tokens: budget(PACE.as_millis() as u64),
        }
    }
}

impl PaceBudget {
    /// Returns the budget, which follows from the shortest gap target among the service's
    /// streaming routes.
    pub(super) fn tokens(&mut self, map: Option<&RouteMap>, service: &ServiceId) -> u64 {
        let config = map.map(RouteMap::config);
        if let Some(config) = config.filter(|config| Some(config.version) != self.version) {
            self.version = Some(config.version);
            let routes = config.routes.iter();
            let pauses = routes.filter_map(|route| match route.kind {
                RouteKind::Streaming { gap_target_ms, .. }
                    if route.targets.iter().any(|to| to.service == *service) =>
                {
                    Some(gap_target_ms)
                }
                _ => None,
            });
            let shortest = pauses.min().unwrap_or(PACE.as_millis() as u64);
            self.tokens = budget(shortest);
        }
        self.tokens
    }
}

fn budget(pause_ms: u64) -> u64 {
    let reading_ms = pause_ms.min(PAUSE_MAX_MS).saturating_sub(TOKENS_MS);
    let share = FADE.as_millis() as f64 / pause_ms.clamp(1, PAUSE_MAX_MS) as f64;
    (reading_ms as f64 * share * PREFILL_TOKENS_PER_MS * PEAK) as u64
}
