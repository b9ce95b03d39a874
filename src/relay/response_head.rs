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

/// Removes the content length, which is derived from the new body.
pub(super) fn remove_length(head: &mut Parts) {
    head.headers.remove(header::CONTENT_LENGTH);
}
