//! The typed heads of requests and answers.

use {
    crate::{
        discovery::RunnerKey,
        traffic::{AdapterId, ModelId, RunnerId},
    },
    bytes::Bytes,
    thiserror::Error,
};

/// A head that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The request does not say which it is.
    #[error("the request has no id")]
    NoId,
    /// A field cannot be read.
    #[error("the header {0} cannot be read")]
    Field(&'static str),
}

/// A part of a prompt that requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart {
    /// Identifies its text.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a generation asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// The model.
    pub model: ModelId,
    /// The adapter of the model, if one is wanted.
    pub adapter: Option<AdapterId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the output.
    pub output_tokens_max: u32,
    /// The caller's estimate of the tokens of the output.
    pub output_tokens_hint: Option<u32>,
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
}

/// What a caller's request says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The id of this try of the caller.
    pub request_id: Bytes,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// The last event that the caller already has.
    pub last_event_id: Option<u64>,
    /// What it generates; `None` where no model is named.
    pub generation: Option<Generation>,
}

/// What the system tells a runner with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardHead {
    /// The runner that must be there.
    pub runner: RunnerKey,
    /// What is left of the time.
    pub deadline_ms: u64,
    /// The rank from 0, the first, to 9; `None` leaves the runner's default.
    pub priority: Option<u8>,
    /// The event to go on after; replaces the caller's.
    pub last_event_id: Option<u64>,
}

/// What a runner's answer says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub request_id: Option<Bytes>,
    /// Whether it bears the runner's signature.
    pub signed: bool,
    /// Whether it states that the request did not run.
    pub not_executed: bool,
    /// The runner that answers, where it names itself.
    pub runner: Option<RunnerId>,
    /// How long the connection may idle, where it says so.
    pub keep_alive_s: Option<u64>,
}
