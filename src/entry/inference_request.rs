//! A caller's request to a model, as far as the entry reads it.

use {
    crate::{
        config::{Catalog, ServiceTarget},
        http::{Body, DEADLINE_MS, LAST_EVENT_ID, PRIORITY, REQUEST_ID},
        units::{AdapterName, ModelName, RequestId, ServiceName},
    },
    bytes::Bytes,
    hyper::{Request, header},
    serde::Deserialize,
    std::{borrow::Cow, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::time::Instant,
};

use super::EventId;

/// The priority of a request without a service class.
pub const PRIORITY_LOWEST: u8 = u8::MAX;

/// The fields that the entry reads of a request's body.
#[derive(Debug, Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
}

/// Why a request cannot be sent to a model.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InferenceRequestError {
    /// The body cannot be read.
    #[error("the body is not a JSON object with a model: {0}")]
    Malformed(String),
    /// There is no such model or adapter.
    #[error("there is no model or adapter {0:?}")]
    UnknownModel(String),
    /// There is no such service class.
    #[error("there is no service of type models named {0:?}")]
    UnknownClass(String),
}

/// The targets of a service class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceClass {
    /// The service, or `None` for requests without one.
    pub service: Option<ServiceName>,
    /// Lower numbers go first.
    pub priority: u8,
    /// The target for the first token.
    pub first_token_target: Option<Duration>,
    /// The target for the time between two tokens.
    pub between_tokens_target: Option<Duration>,
}

/// A caller's request to a model.
#[derive(Debug)]
pub struct InferenceRequest {
    /// Identifies it.
    pub id: RequestId,
    /// The path that it was sent to.
    pub path: String,
    /// Its body as it came.
    pub body: Bytes,
    /// The model.
    pub model: ModelName,
    /// The adapter, if the caller named one.
    pub adapter: Option<AdapterName>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Its class.
    pub class: ServiceClass,
    /// When it arrived.
    pub arrived: Instant,
}

impl InferenceRequest {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Fails when the body is malformed or names what is not configured.
    pub fn read(
        id: RequestId,
        path: &str,
        body: Bytes,
        class: Option<&str>,
        catalog: &Catalog,
    ) -> Result<Self, InferenceRequestError> {
        let fields: Fields<'_> = serde_json::from_slice(&body)
            .map_err(|cause| InferenceRequestError::Malformed(cause.to_string()))?;
        let (model, adapter) = find_model(catalog, &fields.model)
            .ok_or_else(|| InferenceRequestError::UnknownModel(shorten(&fields.model)))?;
        let class = ServiceClass::find(catalog, class)?;
        let stream = fields.stream.unwrap_or(false);
        Ok(Self {
            id,
            path: path.to_owned(),
            body,
            model,
            adapter,
            stream,
            class,
            arrived: Instant::now(),
        })
    }

    /// Makes the request for a model engine; `after` resumes the stream behind that event.
    pub fn to_engine(&self, address: SocketAddr, after: Option<EventId>) -> Request<Body> {
        let mut request = Request::new(Body::from(self.body.clone()));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        let mut insert = |name: &'static str, value: String| {
            if let Ok(value) = header::HeaderValue::try_from(value) {
                headers.insert(name, value);
            }
        };
        insert("host", address.to_string());
        insert("content-type", "application/json".to_owned());
        insert(REQUEST_ID, self.id.to_string());
        insert(PRIORITY, self.class.priority.to_string());
        if let Some(target) = self.class.first_token_target {
            let left = target.saturating_sub(self.arrived.elapsed());
            insert(DEADLINE_MS, left.as_millis().to_string());
        }
        if let Some(after) = after {
            insert(LAST_EVENT_ID, after.to_string());
        }
        request
    }

    /// Returns the name under which retries are budgeted.
    pub fn budget_name(&self) -> &str {
        self.class.service.as_ref().map_or("", ServiceName::as_str)
    }
}

impl ServiceClass {
    fn find(catalog: &Catalog, name: Option<&str>) -> Result<Self, InferenceRequestError> {
        let Some(name) = name else {
            return Ok(Self::lowest());
        };
        let unknown = || InferenceRequestError::UnknownClass(shorten(name));
        let service = name.parse().map_err(|_| unknown())?;
        let object = catalog.service(&service).ok_or_else(unknown)?;
        match object.target {
            ServiceTarget::Models {
                priority,
                first_token_target_ms,
                between_tokens_target_ms,
            } => Ok(Self {
                service: Some(service),
                priority,
                first_token_target: Some(Duration::from_millis(first_token_target_ms)),
                between_tokens_target: Some(Duration::from_millis(between_tokens_target_ms)),
            }),
            ServiceTarget::Plain { .. } => Err(unknown()),
        }
    }

    fn lowest() -> Self {
        Self {
            service: None,
            priority: PRIORITY_LOWEST,
            first_token_target: None,
            between_tokens_target: None,
        }
    }
}

fn find_model(catalog: &Catalog, name: &str) -> Option<(ModelName, Option<AdapterName>)> {
    if let Ok(model) = name.parse()
        && catalog.model(&model).is_some()
    {
        return Some((model, None));
    }
    let adapter = name.parse().ok()?;
    let object = catalog.adapter(&adapter)?;
    Some((object.model.clone(), Some(adapter)))
}

fn shorten(text: &str) -> String {
    text.chars().take(80).collect()
}
