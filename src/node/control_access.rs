//! Who may change something by the control port.

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

/// What an operator's key follows in the header.
const SCHEME: &str = "Bearer ";

/// Who may change something by the control port; anyone without TLS and keys.
#[derive(Debug, Clone, Default)]
pub struct ControlAccess {
    /// TLS; a change then needs the certificate of an operator.
    pub tls: Option<Tls>,
    /// The operators' keys; if there are any, a change needs one of them.
    pub operator_keys: KeyRing,
}

impl ControlAccess {
    /// Checks a request that changes something.
    ///
    /// # Errors
    ///
    /// Fails with the answer to a caller that may not change anything.
    pub(super) fn check<B>(&self, request: &Request<B>) -> Result<(), Box<Response<Body>>> {
        if self.tls.is_some() && request.extensions().get() != Some(&Role::Operator) {
            return refuse(StatusCode::FORBIDDEN, "the certificate is no operator's");
        }
        if self.operator_keys.is_empty() {
            return Ok(());
        }
        let offered = request.headers().get(AUTHORIZATION);
        let offered = offered.and_then(|value| value.as_bytes().strip_prefix(SCHEME.as_bytes()));
        match offered {
            None => refuse(StatusCode::UNAUTHORIZED, "the operators' key is missing"),
            Some(key) if self.operator_keys.accepts(key) => Ok(()),
            Some(_) => refuse(StatusCode::FORBIDDEN, "the operators' key is wrong"),
        }
    }
}

/// Returns the header that offers an operator's key; `None` when it has bytes that no header may.
pub fn operator_header(key: &[u8]) -> Option<HeaderValue> {
    let mut value = HeaderValue::from_bytes(&[SCHEME.as_bytes(), key].concat()).ok()?;
    value.set_sensitive(true);
    Some(value)
}

fn refuse(status: StatusCode, cause: &'static str) -> Result<(), Box<Response<Body>>> {
    log::warn!("node: a change by the control port is refused: {cause}");
    let mut response = Response::new(Body::from(cause.to_owned()));
    *response.status_mut() = status;
    Err(Box::new(response))
}
