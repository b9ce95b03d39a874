//! The head of a runner's answer, as the caller gets it.

use {
    crate::http::remove_connection_headers,
    hyper::{Response, body::Incoming, header, http::response::Parts},
};

/// Separates a head from its body, without what concerns the runner's connection.
pub(super) fn split(response: Response<Incoming>) -> (Parts, Incoming) {
    let (mut head, body) = response.into_parts();
    remove_connection_headers(&mut head.headers);
    head.version = hyper::Version::HTTP_11;
    head.extensions.clear();
    (head, body)
}

/// Removes the length, which the new body has by itself.
pub(super) fn remove_length(head: &mut Parts) {
    head.headers.remove(header::CONTENT_LENGTH);
}
