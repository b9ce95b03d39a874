//! Authorization of control port requests that change a node's state.

use {
    crate::{
        http::Body,
        security::{KeyRing, Role, Tls},
    },
    hyper::{
        Request, Response, StatusCode,
        header::{AUTHORIZATION, HeaderValue},
    },
};

/// The authentication scheme in front of an operator key in the `Authorization` header.
const AUTHORIZATION_SCHEME: &str = "Bearer ";

/// The rules for control port requests that change a node's state.
///
/// Without TLS and without keys every such request is allowed.
#[derive(Debug, Clone, Default)]
pub struct ControlAccess {
    /// The TLS configuration; with one, a request needs an operator certificate.
    pub tls: Option<Tls>,
    /// The operator keys; unless empty, a request needs one of them.
    pub operator_keys: KeyRing,
}

impl ControlAccess {
    /// Checks that the sender of a request may change the node's state.
    ///
    /// # Errors
    ///
    /// Fails with the response to send, with status 401 or 403.
    pub(super) fn authorize<B>(&self, request: &Request<B>) -> Result<(), Box<Response<Body>>> {
        if self.tls.is_some() && request.extensions().get() != Some(&Role::Operator) {
            return refusal(
                StatusCode::FORBIDDEN,
                "the certificate is not an operator certificate",
            );
        }
        if self.operator_keys.is_empty() {
            return Ok(());
        }
        let offered = request.headers().get(AUTHORIZATION);
        let offered = offered.and_then(|value| {
            value
                .as_bytes()
                .strip_prefix(AUTHORIZATION_SCHEME.as_bytes())
        });
        match offered {
            None => refusal(StatusCode::UNAUTHORIZED, "the operators' key is missing"),
            Some(key) if self.operator_keys.accepts(key) => Ok(()),
            Some(_) => refusal(StatusCode::FORBIDDEN, "the operators' key is wrong"),
        }
    }
}

/// Returns the `Authorization` value for an operator key; `None` if a header cannot carry it.
pub fn operator_authorization(key: &[u8]) -> Option<HeaderValue> {
    let mut value =
        HeaderValue::from_bytes(&[AUTHORIZATION_SCHEME.as_bytes(), key].concat()).ok()?;
    value.set_sensitive(true);
    Some(value)
}

fn refusal(status: StatusCode, cause: &'static str) -> Result<(), Box<Response<Body>>> {
    log::warn!("node: a control port request is refused: {cause}");
    let mut response = Response::new(Body::from(cause.to_owned()));
    *response.status_mut() = status;
    Err(Box::new(response))
}
