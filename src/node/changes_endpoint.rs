//! The control port's endpoint for store changes, which peers use in place of their own watches.

use {
    super::{ResponseBudget, control_port::empty_response},
    crate::{
        http::Body,
        store::{Change, ChangeLogs, Changes, Entry, StoreHealth, StoreVersion},
    },
    bytes::Bytes,
    hyper::{Response, StatusCode, Uri, body::Body as _},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until, timeout_at},
};

/// The path of the changes to keys under a store prefix.
pub const CHANGES_PATH: &str = "/changes";

/// The longest time that a request waits for changes, whatever the peer asks for.
const LONG_POLL_MAX: Duration = Duration::from_secs(5);

/// The largest response body.
///
/// Peers read larger changes from the store, because many of them request the same change at once
/// and would saturate this node's link.
const RESPONSE_MAX_BYTES: usize = 16 << 10;

/// Serves the changes that this node's watches reported to peers that watch the store through it.
#[derive(Debug, Clone)]
pub struct ChangesEndpoint {
    /// The changes that this node's own watches reported.
    pub logs: Arc<ChangeLogs>,
    /// The health of the store as this node sees it.
    pub health: Arc<StoreHealth>,
    /// The time after a successful store call for which the logged changes count as current.
    pub freshness_max: Duration,
    /// Spaces responses, so that changes that many peers wait for do not queue on the link.
    pub budget: ResponseBudget,
}

/// The decoded query of a changes request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ChangesQuery {
    prefix: String,
    after: StoreVersion,
    wait: Duration,
}

impl ChangesEndpoint {
    /// Responds as soon as there are changes, or with an empty list after the requested wait.
    ///
    /// The status is 503 while the store does not respond to this node, and 410 if the changes are
    /// no longer in the log or too large for a response.
    pub async fn respond(&self, uri: &Uri) -> Response<Body> {
        let Some(query) = ChangesQuery::parse(uri) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let until = Instant::now() + query.wait.min(LONG_POLL_MAX);
        loop {
            let Some(fresh_until) = self.health.fresh_until(self.freshness_max) else {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            };
            let changes = async {
                sleep_until(self.budget.free_at()).await;
                self.logs.changes_after(&query.prefix, query.after).await
            };
            match timeout_at(until.min(fresh_until), changes).await {
                Ok(Some(changes)) => return self.respond_with(&changes),
                Ok(None) => return empty_response(StatusCode::GONE),
                Err(_) if Instant::now() < until => {}
                Err(_) => return encode_response(&Changes::none_after(query.after)),
            }
        }
    }
}

impl ChangesEndpoint {
    fn respond_with(&self, changes: &Changes) -> Response<Body> {
        let response = encode_response(changes);
        let size = response.body().size_hint().exact();
        self.budget.spend(size.unwrap_or_default() as usize);
        response
    }
}

impl ChangesQuery {
    fn parse(uri: &Uri) -> Option<Self> {
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
struct ChangesBody {
    version: i64,
    changes: Vec<ChangeBody>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ChangeBody {
    key: String,
    version: i64,
    /// `None` for a deletion.
    written: Option<PutBody>,
}

#[derive(Debug, Serialize, Deserialize)]
struct PutBody {
    value: Vec<u8>,
    created: i64,
}

impl From<&Change> for ChangeBody {
    fn from(change: &Change) -> Self {
        Self {
            key: change.key().to_owned(),
            version: change.version().0,
            written: match change {
                Change::Delete { .. } => None,
                Change::Put(entry) => Some(PutBody {
                    value: entry.value.to_vec(),
                    created: entry.created.0,
                }),
            },
        }
    }
}

impl From<ChangeBody> for Change {
    fn from(body: ChangeBody) -> Self {
        let version = StoreVersion(body.version);
        match body.written {
            None => Self::Delete {
                key: body.key,
                version,
            },
            Some(written) => Self::Put(Entry {
                key: body.key,
                value: Bytes::from(written.value),
                created: StoreVersion(written.created),
                modified: version,
            }),
        }
    }
}

fn encode_response(changes: &Changes) -> Response<Body> {
    let body = ChangesBody {
        version: changes.version.0,
        changes: changes.changes.iter().map(ChangeBody::from).collect(),
    };
    match postcard::to_stdvec(&body) {
        Ok(bytes) if bytes.len() > RESPONSE_MAX_BYTES => empty_response(StatusCode::GONE),
        Ok(bytes) => Response::new(Body::from(Bytes::from(bytes))),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Decodes the body of a response; `None` if it is invalid.
pub(super) fn decode_changes(bytes: &[u8]) -> Option<Changes> {
    let body: ChangesBody = postcard::from_bytes(bytes).ok()?;
    Some(Changes {
        changes: body.changes.into_iter().map(Change::from).collect(),
        version: StoreVersion(body.version),
    })
}
