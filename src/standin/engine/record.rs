//! What a stand-in engine records for checkers.

use {
    crate::units::{MemoryMib, RequestId},
    serde::{Deserialize, Serialize},
};

/// What a stand-in engine records for checkers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// The changes after which more memory was taken than there is.
    pub overcommits: u64,
    /// The largest overcommit of memory.
    pub overcommit_worst_mib: MemoryMib,
    /// Loads of models that were applied.
    pub model_loads: u64,
    /// Unloads of models that were applied.
    pub model_unloads: u64,
    /// Loads of adapters that were applied.
    pub adapter_loads: u64,
    /// Changes of role that were applied.
    pub role_changes: u64,
    /// Orders that were fenced.
    pub orders_fenced: u64,
    /// Orders that arrived more than once.
    pub orders_repeated: u64,
    /// Requests that began to run, without resumed ones.
    pub runs: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Requests that the caller gave up before their end.
    pub cancelled: u64,
    /// Requests that were refused without running.
    pub refused: u64,
    /// Requests that began to run while the engine was leaving.
    pub runs_while_leaving: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens of prompts that were found in the prefix cache.
    pub prompt_tokens_cached: u64,
    /// Tokens that were generated.
    pub tokens: u64,
    /// The ids of the requests that ran, one per run, sorted.
    pub run_ids: Vec<RequestId>,
}

impl EngineRecord {
    /// Returns how often a request ran.
    pub fn runs_of(&self, id: RequestId) -> usize {
        let from = self.run_ids.partition_point(|run| *run < id);
        let to = self.run_ids.partition_point(|run| *run <= id);
        to - from
    }

    /// Notes one run.
    pub(super) fn add_run(&mut self, id: RequestId, keep_id: bool) {
        self.runs += 1;
        if keep_id {
            let at = self.run_ids.partition_point(|run| *run <= id);
            self.run_ids.insert(at, id);
        }
    }

    /// Records an overcommit of memory.
    pub(super) fn note_overcommit(&mut self, over: MemoryMib) {
        if over > MemoryMib(0) {
            self.overcommits += 1;
            self.overcommit_worst_mib = self.overcommit_worst_mib.max(over);
        }
    }
}
