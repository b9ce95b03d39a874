//! Reads requests in the shape of the OpenAI interface.

use {super::GenerateRequest, crate::units::RequestId, hyper::HeaderMap, serde::Deserialize};

/// The tokens of an answer when the caller names no number.
const TOKENS_DEFAULT: u32 = 16;
/// The most tokens of an answer.
const TOKENS_MAX: u32 = 1_000_000;
/// The priority when the header names none.
const PRIORITY_DEFAULT: u8 = 128;

/// The two interfaces for generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

/// The body of a request, of either interface.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct RequestBody {
    /// The model or adapter.
    pub model: String,
    /// The prompt of a completion.
    #[serde(default)]
    pub prompt: Option<Prompt>,
    /// The messages of a chat.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// The tokens requested.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The newer name of `max_tokens`.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Whether the answer is wanted as a stream.
    #[serde(default)]
    pub stream: Option<bool>,
}

/// The prompt of a completion.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// One text.
    One(String),
    /// Several texts, taken as one.
    Several(Vec<String>),
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Message {
    /// Who wrote it.
    pub role: String,
    /// The content: a text, or a list of parts.
    #[serde(default)]
    pub content: serde_json::Value,
}

impl RequestBody {
    /// Returns the whole prompt; that of a chat holds a line `ROLE: CONTENT` per message.
    pub fn prompt(&self) -> String {
        match &self.prompt {
            Some(Prompt::One(text)) => text.clone(),
            Some(Prompt::Several(texts)) => texts.concat(),
            None => self.messages.iter().map(Message::line).collect(),
        }
    }

    /// Makes the request to generate; headers carry its id, priority and offset.
    pub fn to_generate(&self, headers: &HeaderMap) -> GenerateRequest {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let resumed = text("last-event-id").and_then(parse_event_id);
        let id = text("x-request-id").and_then(|id| id.parse().ok());
        let resumed_id = resumed.map(|(id, _)| id);
        let tokens = self.max_completion_tokens.or(self.max_tokens);
        let priority = text("x-priority").and_then(|priority| priority.parse().ok());
        GenerateRequest {
            id: resumed_id.or(id).unwrap_or_else(RequestId::random),
            name: self.model.clone(),
            prompt: self.prompt(),
            tokens: tokens.unwrap_or(TOKENS_DEFAULT).min(TOKENS_MAX),
            skip: resumed.map_or(0, |(_, offset)| offset),
            priority: priority.unwrap_or(PRIORITY_DEFAULT),
        }
    }
}

impl Message {
    fn line(&self) -> String {
        let content = match &self.content {
            serde_json::Value::String(text) => text.clone(),
            serde_json::Value::Array(parts) => {
                let texts = parts.iter().filter_map(|part| part["text"].as_str());
                texts.collect()
            }
            _ => String::new(),
        };
        format!("{}: {content}\n", self.role)
    }
}

/// Reads the id of an event: `REQUESTID:OFFSET`.
pub fn parse_event_id(text: &str) -> Option<(RequestId, u32)> {
    let (id, offset) = text.split_once(':')?;
    Some((id.parse().ok()?, offset.parse().ok()?))
}
