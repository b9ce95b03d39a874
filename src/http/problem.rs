//! Problem documents (RFC 9457), with which failed requests are answered.

use {
    super::Body,
    hyper::{HeaderMap, Response, StatusCode, header},
    serde::Serialize,
    std::time::Duration,
};

/// The media type of problem documents.
const PROBLEM_TYPE: &str = "application/problem+json";

/// Returns whether a response with these headers has a problem document.
pub fn is_problem(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_some_and(|value| value == PROBLEM_TYPE)
}

/// Whether a failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The status code.
    pub status: StatusCode,
    /// The kind of problem, which is the last part of the document's `type`.
    pub kind: &'static str,
    /// A description of this occurrence.
    pub detail: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The time after which the caller may retry, sent as `Retry-After`.
    pub retry_after: Option<Duration>,
    /// The status of the response to an earlier attempt of the same request.
    pub earlier_status: Option<u16>,
}

/// The JSON form of a problem.
#[derive(Debug, Serialize)]
struct Document<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    earlier_status: Option<u16>,
}

impl Problem {
    /// Creates the problem of a request that did not run.
    pub fn not_run(status: StatusCode, kind: &'static str, detail: impl Into<String>) -> Self {
        Self::new(status, kind, detail.into(), Outcome::NotRun)
    }

    /// Creates the problem of a request that may have run.
    pub fn unknown(status: StatusCode, kind: &'static str, detail: impl Into<String>) -> Self {
        Self::new(status, kind, detail.into(), Outcome::Unknown)
    }

    fn new(status: StatusCode, kind: &'static str, detail: String, outcome: Outcome) -> Self {
        Self {
            status,
            kind,
            detail,
            outcome,
            retry_after: None,
            earlier_status: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Encodes the problem document as JSON.
    pub fn to_json(&self) -> String {
        let document = Document {
            r#type: format!("urn:greengagetrail:problem:{}", self.kind),
            title: self.kind.replace('-', " "),
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
            earlier_status: self.earlier_status,
        };
        serde_json::to_string(&document).unwrap_or_default()
    }

    /// Converts the problem into a response.
    pub fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.to_json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static(PROBLEM_TYPE),
        );
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1000) as u64;
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}
