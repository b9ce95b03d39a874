//! Watches.

use {
    super::{Base64, Header, Int64, KeyValue},
    serde::{Deserialize, Serialize},
};

/// Starts a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreateRequest,
}

/// What a watch reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// The first key.
    pub key: Base64,
    /// The first key after the range.
    pub range_end: Base64,
    /// The first version to report.
    pub start_revision: Int64,
    /// Whether empty messages are wanted as signs of life.
    pub progress_notify: bool,
}

/// One message of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The version of the key space.
    pub header: Header,
    /// Whether this message only confirms the start.
    pub created: bool,
    /// Whether the service ends the watch.
    pub canceled: bool,
    /// The oldest version kept, when the watch requested an older one.
    pub compact_revision: Int64,
    /// The changes, in order.
    pub events: Vec<WatchEvent>,
}

/// The kind of a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// A key was written.
    #[default]
    Put,
    /// A key was removed.
    Delete,
}

/// A change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Its kind.
    #[serde(rename = "type")]
    pub event_type: EventType,
    /// The key and, unless it was removed, its value.
    pub kv: KeyValue,
}
