//! Names of the headers of the system's HTTP interfaces, and helpers for headers.

use hyper::{HeaderMap, header};

/// Identifies a request in all parts of the system.
pub const REQUEST_ID: &str = "x-request-id";
/// The priority of a request; lower numbers are served first.
pub const PRIORITY: &str = "x-priority";
/// The time left until the request misses its target, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// The name of the service to whose class a request belongs.
pub const SERVICE_CLASS: &str = "x-service-class";
/// `no` on a refusal if the request did not run.
pub const REQUEST_RAN: &str = "x-request-ran";
/// `yes` if a backend server is draining.
pub const ENGINE_LEAVING: &str = "x-engine-leaving";
/// The load of an engine.
pub const ENGINE_LOAD: &str = "x-engine-load";
/// `yes` if a stream can be resumed.
pub const RESUMABLE: &str = "x-resumable";
/// The number of tokens in each event of a stream, 1 if absent; the last event may have fewer.
pub const TOKENS_PER_EVENT: &str = "x-tokens-per-event";
/// The identifier of the event after which a stream is resumed.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Identifies a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// An idempotency key that the caller may use for its next request.
pub const NEXT_IDEMPOTENCY_KEY: &str = "next-idempotency-key";

/// Headers that apply to a single connection, and those that the client sets itself.
const CONNECTION_HEADERS: [header::HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::EXPECT,
];

/// Removes the headers that apply to a single connection (hop-by-hop headers).
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    remove_connection_headers_except(headers, &[]);
}

/// Removes the headers that apply to a single connection, but none of `kept` for the only reason
/// that `Connection` names it.
pub fn remove_connection_headers_except(headers: &mut HeaderMap, kept: &[header::HeaderName]) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !kept.iter().any(|kept| kept == name.as_str()))
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Returns whether a header has the given value, ignoring ASCII case.
pub fn has_header(headers: &HeaderMap, name: &str, value: &str) -> bool {
    headers
        .get(name)
        .is_some_and(|found| found.as_bytes().eq_ignore_ascii_case(value.as_bytes()))
}

/// Returns whether the end of a body can be distinguished from a broken connection.
pub fn has_known_end(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}
