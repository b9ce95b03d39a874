//! The control port's endpoint for store changes, which peers use in place of their own watches.

use {
    super::control_port::status,
    crate::{
        http::Body,
        store::{Change, ChangeLogs, Changes, Entry, StoreHealth, StoreVersion},
    },
    bytes::Bytes,
    hyper::{Response, StatusCode, Uri},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// The path of the changes to keys under a store prefix.
pub const CHANGES_PATH: &str = "/changes";

/// The longest time that a request waits for changes, whatever the peer asks for.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// The largest response body.
///
/// Peers read larger changes from the store, because many of them request the same change at once
/// and would saturate this node's link.
const ANSWER_MAX_BYTES: usize = 16 << 10;

/// Serves the changes that this node's watches reported to peers that watch the store through it.
#[derive(Debug, Clone)]
pub struct ChangePage {
    /// The changes that this node's own watches reported.
    pub logs: Arc<ChangeLogs>,
    /// The health of the store as this node sees it.
    pub health: Arc<StoreHealth>,
    /// The time after a successful store call for which the logged changes count as current.
    pub fresh_max: Duration,
}

/// The decoded query of a changes request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Question {
    prefix: String,
    after: StoreVersion,
    wait: Duration,
}

impl ChangePage {
    /// Responds as soon as there are changes, or with an empty list after the requested wait.
    ///
    /// The status is 503 while the store does not respond to this node, and 410 if the changes are
    /// no longer in the log or too large for a response.
    pub async fn answer(&self, uri: &Uri) -> Response<Body> {
        let Some(question) = Question::read(uri) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let until = Instant::now() + question.wait.min(WAIT_MAX);
        loop {
            let Some(fresh_until) = self.health.fresh_until(self.fresh_max) else {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            };
            let changes = self.logs.changes_after(&question.prefix, question.after);
            match timeout_at(until.min(fresh_until), changes).await {
                Ok(Some(changes)) => return encoded(&changes),
                Ok(None) => return status(StatusCode::GONE),
                Err(_) if Instant::now() < until => {}
                Err(_) => return encoded(&Changes::none_after(question.after)),
            }
        }
    }
}

impl Question {
    fn read(uri: &Uri) -> Option<Self> {
        let mut fields = uri.query()?.splitn(3, '&');
        let after = fields.next()?.strip_prefix("after=")?.parse().ok()?;
        let wait_ms = fields.next()?.strip_prefix("wait_ms=")?.parse().ok()?;
        Some(Self {
            prefix: fields.next()?.strip_prefix("prefix=")?.to_owned(),
            after: StoreVersion(after),
            wait: Duration::from_millis(wait_ms),
        })
    }
}

/// Returns the path and query of a changes request.
pub(super) fn changes_path(prefix: &str, after: StoreVersion, wait: Duration) -> String {
    let (after, wait_ms) = (after.0, wait.as_millis());
    format!("{CHANGES_PATH}?after={after}&wait_ms={wait_ms}&prefix={prefix}")
}

/// The body of a response with changes.
#[derive(Debug, Serialize, Deserialize)]
struct ChangesForm {
    version: i64,
    changes: Vec<ChangeForm>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ChangeForm {
    key: String,
    version: i64,
    /// `None` for a deletion.
    written: Option<WrittenForm>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WrittenForm {
    value: Vec<u8>,
    created: i64,
}

impl From<&Change> for ChangeForm {
    fn from(change: &Change) -> Self {
        Self {
            key: change.key().to_owned(),
            version: change.version().0,
            written: match change {
                Change::Delete { .. } => None,
                Change::Put(entry) => Some(WrittenForm {
                    value: entry.value.to_vec(),
                    created: entry.created.0,
                }),
            },
        }
    }
}

impl From<ChangeForm> for Change {
    fn from(form: ChangeForm) -> Self {
        let version = StoreVersion(form.version);
        match form.written {
            None => Self::Delete {
                key: form.key,
                version,
            },
            Some(written) => Self::Put(Entry {
                key: form.key,
                value: Bytes::from(written.value),
                created: StoreVersion(written.created),
                modified: version,
            }),
        }
    }
}

fn encoded(changes: &Changes) -> Response<Body> {
    let form = ChangesForm {
        version: changes.version.0,
        changes: changes.changes.iter().map(ChangeForm::from).collect(),
    };
    match postcard::to_stdvec(&form) {
        Ok(bytes) if bytes.len() > ANSWER_MAX_BYTES => status(StatusCode::GONE),
        Ok(bytes) => Response::new(Body::from(Bytes::from(bytes))),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Decodes the body of a response; `None` if it is invalid.
pub(super) fn read_changes(bytes: &[u8]) -> Option<Changes> {
    let form: ChangesForm = postcard::from_bytes(bytes).ok()?;
    Some(Changes {
        changes: form.changes.into_iter().map(Change::from).collect(),
        version: StoreVersion(form.version),
    })
}
