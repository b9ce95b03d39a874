//! What a node tells peers that follow the store through it.

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

/// The path of the changes below a prefix of the store.
pub const CHANGES_PATH: &str = "/changes";

/// The longest that an answer is held back.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// The largest answer, in bytes; more comes from the store alone, as many peers ask at once.
const ANSWER_MAX_BYTES: usize = 16 << 10;

/// Answers peers that follow the store through this node.
#[derive(Debug, Clone)]
pub struct ChangePage {
    /// What this node's own watches reported.
    pub logs: Arc<ChangeLogs>,
    /// Whether the store answers this node.
    pub health: Arc<StoreHealth>,
    /// For how long an answer of the store vouches for what the watches reported.
    pub fresh_max: Duration,
}

/// What a peer asks.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Question {
    prefix: String,
    after: StoreVersion,
    wait: Duration,
}

impl ChangePage {
    /// Answers as soon as there are changes, and with none after the wait that the peer gives.
    ///
    /// The answer is 503 while the store does not answer this node, and 410 where the changes are
    /// no longer kept or too large.
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

/// Returns the path and query that ask for changes.
pub(super) fn changes_path(prefix: &str, after: StoreVersion, wait: Duration) -> String {
    let (after, wait_ms) = (after.0, wait.as_millis());
    format!("{CHANGES_PATH}?after={after}&wait_ms={wait_ms}&prefix={prefix}")
}

/// Changes on their way between nodes.
#[derive(Debug, Serialize, Deserialize)]
struct ChangesForm {
    version: i64,
    changes: Vec<ChangeForm>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ChangeForm {
    key: String,
    version: i64,
    /// `None` for a removal.
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

/// Reads the body of an answer.
pub(super) fn read_changes(bytes: &[u8]) -> Option<Changes> {
    let form: ChangesForm = postcard::from_bytes(bytes).ok()?;
    Some(Changes {
        changes: form.changes.into_iter().map(Change::from).collect(),
        version: StoreVersion(form.version),
    })
}
