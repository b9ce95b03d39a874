//! Prepares the head of a runner's response for the caller.

use {
    crate::http::remove_connection_headers,
    hyper::{Response, body::Incoming, header, http::response::Parts},
};

/// Splits a response into head and body, and removes the headers of the runner's connection.
pub(super) fn split(response: Response<Incoming>) -> (Parts, Incoming) {
    let (mut head, body) = response.into_parts();
    remove_connection_headers(&mut head.headers);
    head.version = hyper::Version::HTTP_11;
    head.extensions.clear();
    (head, body)
}

/// Returns whether the end of the connection is the end of the body, so that a body that was cut
/// short can't be told from a complete one.
pub(super) fn ends_with_connection(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Removes the content length, which is derived from the new body.
pub(super) fn remove_length(head: &mut Parts) {
    head.headers.remove(header::CONTENT_LENGTH);
}
