//! The id of an event in a model engine's stream.

use {
    crate::units::RequestId,
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// The error of a text that is not an event id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not an event id of the form REQUEST:OFFSET")]
pub struct EventIdError;

/// The id of an event: its request and the tokens delivered up to and including the event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventId {
    /// The request.
    pub request: RequestId,
    /// The tokens delivered up to and including this event.
    pub offset: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.request, self.offset)
    }
}

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<Self, EventIdError> {
        let (request, offset) = text.split_once(':').ok_or(EventIdError)?;
        Ok(Self {
            request: request.parse().map_err(|_| EventIdError)?,
            offset: offset.parse().map_err(|_| EventIdError)?,
        })
    }
}
