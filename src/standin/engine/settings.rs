//! The sizes and speeds of a stand-in engine.

use {
    crate::{
        config::Fencing,
        units::{Incarnation, MemoryMib},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The sizes and speeds of a stand-in engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The number of its first start; a process that is started again has a higher one.
    pub incarnation: Incarnation,
    /// The accelerator memory for models and adapters.
    pub memory_mib: MemoryMib,
    /// The part of the memory that is kept for adapters.
    pub adapter_pool_mib: MemoryMib,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// Sequences in the batch at once.
    pub batch_max: u32,
    /// Requests that may wait for a place in the batch.
    pub waiting_max: u32,
    /// The time that a token takes in a batch of one, in microseconds.
    pub token_us: u64,
    /// What each further sequence in the batch adds to the time of a token, in microseconds.
    pub token_us_per_sequence: u64,
    /// The time that a token of the prompt takes unless it is cached, in microseconds.
    pub prompt_token_us: u64,
    /// Tokens in each event of a stream.
    pub tokens_per_event: u32,
    /// Blocks of the prefix cache.
    pub cache_blocks_max: usize,
    /// How old the load in the status is at least, in milliseconds.
    pub status_lag_ms: u64,
    /// How late a cache event is published, in milliseconds.
    pub event_lag_ms: u64,
    /// How long an unload or a change of role takes, in milliseconds.
    pub change_ms: u64,
    /// Whether an interrupted stream can be resumed.
    pub resumable: bool,
    /// Whether the ids of all requests that ran are kept for checkers.
    pub records_runs: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            incarnation: Incarnation(1),
            memory_mib: MemoryMib(80_000),
            adapter_pool_mib: MemoryMib(4_000),
            fencing: Fencing::Honoured,
            batch_max: 64,
            waiting_max: 256,
            token_us: 10_000,
            token_us_per_sequence: 200,
            prompt_token_us: 50,
            tokens_per_event: 1,
            cache_blocks_max: 4_096,
            status_lag_ms: 0,
            event_lag_ms: 0,
            change_ms: 20,
            resumable: true,
            records_runs: true,
        }
    }
}

impl EngineSettings {
    /// Returns how long some tokens take in a batch of `running` sequences.
    pub fn decode_time(&self, tokens: u32, running: u32) -> Duration {
        let others = u64::from(running.saturating_sub(1));
        let token_us = self.token_us + self.token_us_per_sequence * others;
        Duration::from_micros(token_us * u64::from(tokens))
    }

    /// Returns how long the tokens of a prompt that are not cached take.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_micros(self.prompt_token_us * u64::from(tokens))
    }
}
