//! Handles callers' requests for tickets.

use {
    super::{ServicePath, unknown_service},
    crate::{
        config::ServiceTarget,
        entry::Entry,
        http::{Body, Problem},
        units::ServiceName,
    },
    hyper::{Method, Response, StatusCode, header},
    serde::Serialize,
};

/// The number of tickets minted per request when the caller gives none.
const TICKETS_PER_CALL_DEFAULT: usize = 10;

/// The most tickets minted per request.
const TICKETS_PER_CALL_MAX: usize = 100;

#[derive(Debug, Serialize)]
struct MintedKeys {
    keys: Vec<String>,
}

impl Entry {
    /// Mints the requested number of tickets for a plain service.
    pub(in crate::entry) fn mint_tickets(
        &self,
        path: &ServicePath,
        method: &Method,
    ) -> Result<Response<Body>, Problem> {
        if method != Method::POST {
            let detail = "tickets are requested with POST";
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(Problem::not_run(status, "wrong-method", detail));
        }
        let routes = self.routes.current();
        let service = routes.view.catalog.service(&path.service);
        if !service.is_some_and(|found| matches!(found.target, ServiceTarget::Plain { .. })) {
            return Err(unknown_service(&path.service));
        }
        let count = requested_count(&path.backend_path).min(TICKETS_PER_CALL_MAX);
        Ok(json_response(&MintedKeys {
            keys: self.mint_keys(&path.service, count),
        }))
    }

    fn mint_keys(&self, service: &ServiceName, count: usize) -> Vec<String> {
        let mint = || self.keys.mint(service).to_string();
        std::iter::repeat_with(mint).take(count).collect()
    }
}

fn requested_count(backend_path: &str) -> usize {
    let query = backend_path.split_once('?').map_or("", |(_, query)| query);
    let count = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("count="));
    let count = count.and_then(|text| text.parse().ok());
    count.unwrap_or(TICKETS_PER_CALL_DEFAULT)
}

fn json_response(value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}
