//! The typed heads of requests and responses.

use {
    crate::{
        discovery::RunnerKey,
        traffic::{AdapterId, ModelId, RunnerId},
        units::RequestRate,
        workspaces::{AccessKey, WorkspaceName},
    },
    bytes::Bytes,
    thiserror::Error,
};

/// The reason why the head of a caller's request is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The request has no request id.
    #[error("the request has no id")]
    MissingRequestId,
    /// The header with this name is invalid.
    #[error("the header {0} cannot be read")]
    InvalidHeader(&'static str),
}

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// The length of the part in tokens.
    pub tokens: u32,
}

/// The parameters of a request for text generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationRequest {
    /// The model.
    pub model: ModelId,
    /// The adapter of the model, if one is requested.
    pub adapter: Option<AdapterId>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The largest length of the output in tokens.
    pub output_tokens_max: u32,
    /// The caller's estimate of the output's length in tokens.
    pub output_tokens_hint: Option<u32>,
    /// The parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
}

/// The fields that the system reads from the head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The id of this attempt of the caller.
    pub request_id: Bytes,
    /// How long the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The id of the last event that the caller received, for a stream to resume.
    pub last_event_id: Option<u64>,
    /// The id of the caller's attempt that brought the first event of the stream to resume.
    pub resumes: Option<Bytes>,
    /// The generation parameters; `None` if the request names no model.
    pub generation: Option<GenerationRequest>,
    /// The tokens that the request states, of its prompt and its longest output.
    pub stated_tokens: Option<u64>,
    /// The key of the caller's workspace; `None` if there is none, or several.
    pub key: Option<AccessKey>,
}

/// The fields that the system adds to a request for a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardHead {
    /// The runner that the request is for; any other one must refuse it.
    pub runner: RunnerKey,
    /// The time left for the response, in milliseconds.
    pub deadline_ms: u64,
    /// The priority from 0, the highest, to 9; `None` keeps the runner's default.
    pub priority: Option<u8>,
    /// The event to resume after; replaces the caller's.
    pub last_event_id: Option<u64>,
    /// What the runner is told of the caller's workspace.
    pub workspace: ForwardedWorkspace,
}

/// What a runner is told of the caller's workspace.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ForwardedWorkspace {
    /// The configuration has no workspaces; the caller's headers stay as they are.
    #[default]
    Unused,
    /// The route needs no key; headers of workspaces are removed.
    Anonymous,
    /// The workspace of the caller's key, which is removed.
    Named(WorkspaceName),
}

/// The fields that the system reads from the head of a runner's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The id of the request that the response is for.
    pub request_id: Option<Bytes>,
    /// Whether the response has the runner's signature.
    pub is_signed: bool,
    /// Whether the response states that the request did not run.
    pub not_executed: bool,
    /// The responding runner, if the response names it.
    pub runner: Option<RunnerId>,
    /// The idle timeout of the connection in seconds, if the response states one.
    pub keep_alive_s: Option<u64>,
    /// The requests that the runner takes from all nodes together, if the response names a limit.
    pub limit: Option<RequestRate>,
    /// The rejections in a second that the runner bears, if the response says that it is brittle.
    pub rejections_per_s: Option<u32>,
    /// Whether the response says that the runner leaves.
    pub is_leaving: bool,
}
