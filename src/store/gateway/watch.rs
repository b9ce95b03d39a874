//! Messages of watches.

use {
    super::{Base64, Header, Int64, KeyValue},
    serde::{Deserialize, Serialize},
};

/// A request to start a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreateRequest,
}

/// The keys and versions that a watch reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// The first key.
    pub key: Base64,
    /// The first key after the range.
    pub range_end: Base64,
    /// The first version to report.
    pub start_revision: Int64,
    /// Whether the service sends empty messages while nothing changes.
    pub progress_notify: bool,
}

/// One message of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The version of the key space at the message.
    pub header: Header,
    /// Whether this message only confirms the start.
    pub created: bool,
    /// Whether the service cancels the watch.
    pub canceled: bool,
    /// The oldest available version, if the watch requested an older one; zero otherwise.
    pub compact_revision: Int64,
    /// The changes, in the order of their versions.
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

/// A change of a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// The kind of the change.
    #[serde(rename = "type")]
    pub event_type: EventType,
    /// The key, and its value unless the key was removed.
    pub kv: KeyValue,
}
