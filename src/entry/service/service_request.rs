//! Parsing of callers' requests to plain services, and the requests to backend servers made from
//! them.

use {
    crate::{
        config::ServiceTarget,
        entry::{Idempotent, Routes},
        http::{Body, IDEMPOTENCY_KEY, Problem, REQUEST_ID, remove_connection_headers},
        units::{RequestId, ServiceName},
    },
    bytes::Bytes,
    hyper::{HeaderMap, Method, Request, StatusCode, Uri, header},
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// The path prefix of plain services.
const SERVICES_PATH: &str = "/services/";

/// The path of ticket requests, below that of a service.
const TICKETS_PATH: &str = "/.tickets";

/// A parsed path below `/services/`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePath {
    /// The name of the service.
    pub service: ServiceName,
    /// The path and query at the backend server.
    pub backend_path: String,
}

impl ServicePath {
    /// Parses a path of the form `/services/NAME/REST`.
    pub fn read(uri: &Uri) -> Option<Self> {
        let path = uri.path_and_query()?.as_str().strip_prefix(SERVICES_PATH)?;
        let end = path.find(['/', '?']).unwrap_or(path.len());
        let (name, rest) = path.split_at(end);
        let rest = match rest.starts_with('/') {
            true => rest.to_owned(),
            false => format!("/{rest}"),
        };
        Some(Self {
            service: name.parse().ok()?,
            backend_path: rest,
        })
    }

    /// Returns whether the path requests tickets.
    pub fn is_ticket_request(&self) -> bool {
        self.backend_path.split('?').next() == Some(TICKETS_PATH)
    }
}

/// A caller's request to a plain service.
#[derive(Debug)]
pub struct ServiceRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The service and the path at its backend servers.
    pub path: ServicePath,
    /// The method.
    pub method: Method,
    /// The headers, without the connection-specific ones.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The proof that the request may be retried, if its method is idempotent.
    pub idempotent: Option<Idempotent>,
    /// The time until which a response must have been received.
    pub deadline: Instant,
}

impl ServiceRequest {
    /// Creates a request to a configured plain service.
    ///
    /// # Errors
    ///
    /// Returns a problem document if no such plain service is configured.
    pub fn new(
        id: RequestId,
        path: ServicePath,
        method: Method,
        mut headers: HeaderMap,
        body: Bytes,
        routes: &Routes,
    ) -> Result<Self, Problem> {
        let target = routes.view.catalog.service(&path.service);
        let Some(ServiceTarget::Plain {
            idempotent_methods,
            timeout_ms,
            ..
        }) = target.map(|service| &service.target)
        else {
            return Err(unknown_service(&path.service));
        };
        remove_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        Ok(Self {
            idempotent: Idempotent::by_method(method.as_str(), idempotent_methods),
            deadline: Instant::now() + Duration::from_millis(*timeout_ms),
            id,
            path,
            method,
            headers,
            body,
        })
    }

    /// Returns the idempotency key of a request that is not idempotent.
    pub fn key(&self) -> Option<&str> {
        if self.idempotent.is_some() {
            return None;
        }
        self.headers.get(IDEMPOTENCY_KEY)?.to_str().ok()
    }

    /// Builds the request for a backend server.
    pub fn to_backend(&self, address: SocketAddr) -> Request<Body> {
        let mut request = Request::new(Body::from(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.backend_path.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if let Ok(host) = address.to_string().try_into() {
            headers.insert(header::HOST, host);
        }
        if let Ok(id) = self.id.to_string().try_into() {
            headers.insert(REQUEST_ID, id);
        }
        request
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Builds the problem document for a service that is not configured.
pub fn unknown_service(service: &ServiceName) -> Problem {
    let detail = format!("there is no plain service {service}");
    Problem::not_run(StatusCode::NOT_FOUND, "unknown-service", detail)
}
