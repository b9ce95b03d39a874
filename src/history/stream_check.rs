//! Checks that each stream holds events of one software version only.

use thiserror::Error;

/// What callers and runners saw of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// When it happened, in milliseconds on the clock of the run.
    pub at_ms: u64,
    /// The attempt that brought the stream's first event.
    pub stream: String,
    /// The software version of the runner that sent the events.
    pub software: String,
}

/// Why a history of streams is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StreamViolation {
    /// A stream went on at another software version than the one that began it.
    #[error("at {at_ms} ms the stream {stream} went on at {software}; it began at {began}")]
    JoinedVersions {
        /// When the stream went on, in milliseconds.
        at_ms: u64,
        /// The attempt that brought the stream's first event.
        stream: String,
        /// The version at which the stream began.
        began: String,
        /// The version at which it went on.
        software: String,
    },
}

/// Checks a history in the order of its events; the first event of a stream is its begin.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_streams(events: &[StreamEvent]) -> Result<(), StreamViolation> {
    let mut begun: Vec<(&str, &str)> = Vec::new();
    for event in events {
        let (stream, software) = (event.stream.as_str(), event.software.as_str());
        match begun.binary_search_by(|(known, _)| (*known).cmp(stream)) {
            Err(position) => begun.insert(position, (stream, software)),
            Ok(position) if begun[position].1 == software => {}
            Ok(position) => {
                return Err(StreamViolation::JoinedVersions {
                    at_ms: event.at_ms,
                    stream: stream.to_owned(),
                    began: begun[position].1.to_owned(),
                    software: software.to_owned(),
                });
            }
        }
    }
    Ok(())
}
