//! The load of several nodes on a runner, in the units of the gossip messages.

use {
    super::{NodeLoad, Variant, prompt_pace::PACING_SPAN},
    crate::discovery::RunnerKey,
    flate2::Crc,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Tokens of KV cache per unit.
const KV_UNIT_TOKENS: u64 = 64;

/// Prompt tokens per unit.
const PROMPT_UNIT_TOKENS: u64 = 16;

/// The divisor of a load that bounds small changes: only changes above 1/12 are reported.
const SMALL_CHANGE_DIVISOR: u32 = 12;

/// The resolution at which prompt tokens are reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptDetail {
    /// Rounds are shorter than the pacing span, so recently sent prompts are reported.
    Fine,
    /// Rounds are longer than the pacing span, so recently sent prompts are left out.
    Coarse,
}

impl PromptDetail {
    /// Returns the detail for an interval between two rounds.
    pub fn for_round_interval(round: Duration) -> Self {
        match round <= PACING_SPAN {
            true => Self::Fine,
            false => Self::Coarse,
        }
    }

    /// Returns the smallest change that is reported, in units.
    fn change_min_units(self) -> u32 {
        match self {
            Self::Fine => 8,
            Self::Coarse => 128,
        }
    }
}

/// A 32-bit hash that identifies one start of a runner in gossip messages.
///
/// Load reported under a hash that two runners share counts at both of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunnerHash([u8; 4]);

impl RunnerHash {
    /// Returns the hash of one start of a runner.
    pub fn of(key: &RunnerKey) -> Self {
        let mut crc = Crc::new();
        crc.update(&key.born_unix_ms.to_le_bytes());
        crc.update(key.id.as_str().as_bytes());
        Self(crc.sum().to_le_bytes())
    }
}

/// The load of one or more nodes on a runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Requests in flight.
    pub requests: u32,
    /// KV cache that the requests need until their end.
    kv_units: u32,
    /// Prompts that the runner has not processed yet.
    prefill_units: u32,
    /// Recently sent prompts.
    recent_units: u32,
}

/// The requests in flight at a runner by variant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUsage {
    /// The runner.
    pub runner: RunnerHash,
    /// Requests in flight by variant, sorted.
    pub in_use: Vec<(Variant, u32)>,
}

impl LoadSum {
    /// Returns the sum of two loads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    /// Returns the load without another one.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.combine(other, u32::saturating_sub)
    }

    /// Returns the load as it is reported at a detail.
    #[must_use]
    pub fn at_detail(self, detail: PromptDetail) -> Self {
        match detail {
            PromptDetail::Fine => self,
            PromptDetail::Coarse => Self {
                recent_units: 0,
                ..self
            },
        }
    }

    /// Returns whether any requests are in flight.
    pub fn has_requests(self) -> bool {
        self.requests > 0
    }

    /// Returns whether the load differs enough from the reported one to be reported again.
    pub fn differs_significantly(self, reported: Self, detail: PromptDetail) -> bool {
        let changed = |now: u32, reported: u32, change_min| {
            let change = now.abs_diff(reported);
            change >= change_min
                && u64::from(change) * u64::from(SMALL_CHANGE_DIVISOR) > u64::from(reported)
        };
        let prompts = |now, reported| changed(now, reported, detail.change_min_units());
        changed(self.requests, reported.requests, 1)
            || changed(self.kv_units, reported.kv_units, 1)
            || prompts(self.prefill_units, reported.prefill_units)
            || prompts(self.recent_units, reported.recent_units)
    }

    fn combine(self, other: Self, apply: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            requests: apply(self.requests, other.requests),
            kv_units: apply(self.kv_units, other.kv_units),
            prefill_units: apply(self.prefill_units, other.prefill_units),
            recent_units: apply(self.recent_units, other.recent_units),
        }
    }
}

impl From<&NodeLoad> for LoadSum {
    fn from(load: &NodeLoad) -> Self {
        let units = |tokens: u64, unit| u32::try_from(tokens.div_ceil(unit)).unwrap_or(u32::MAX);
        Self {
            requests: load.requests,
            kv_units: units(load.kv_tokens, KV_UNIT_TOKENS),
            prefill_units: units(load.prefill_tokens, PROMPT_UNIT_TOKENS),
            recent_units: units(load.recent_tokens, PROMPT_UNIT_TOKENS),
        }
    }
}

impl From<LoadSum> for NodeLoad {
    fn from(sum: LoadSum) -> Self {
        Self {
            requests: sum.requests,
            kv_tokens: u64::from(sum.kv_units) * KV_UNIT_TOKENS,
            prefill_tokens: u64::from(sum.prefill_units) * PROMPT_UNIT_TOKENS,
            recent_tokens: u64::from(sum.recent_units) * PROMPT_UNIT_TOKENS,
            in_use: Vec::new(),
        }
    }
}
