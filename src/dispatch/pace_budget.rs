//! How many prompt tokens of late a runner may have.

use {
    super::{
        PREFILL_TOKENS_PER_MS,
        prompt_pace::{FADE, PACE},
    },
    crate::traffic::{ConfigVersion, RouteKind, RouteTable, ServiceId},
};

/// The part of a pause between two events that goes to the tokens of the event itself.
const TOKENS_MS: u64 = 75;

/// How far the tokens of late may be above their mean once a prompt is sent.
const PEAK: f64 = 1.6;

/// The longest pause that is reckoned with.
const PAUSE_MAX_MS: u64 = 600;

/// The tokens of late that a runner may have, for one version of the configuration.
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
    /// Returns the tokens of late that a runner may have, by the shortest pause that the service's routes allow.
    pub(super) fn tokens(&mut self, map: Option<&RouteTable>, service: &ServiceId) -> u64 {
        let config = map.map(RouteTable::config);
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
