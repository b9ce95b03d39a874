//! Parsing of callers' inference requests, and the requests to engines made from them.

use {
    crate::{
        admission::ClassTargets,
        config::{Catalog, ServiceTarget},
        entry::EventId,
        http::{Body, DEADLINE_MS, LAST_EVENT_ID, PRIORITY, REQUEST_ID},
        request_memory::MemoryShare,
        routing::stable_hash,
        units::{AdapterName, ModelName, RequestId, ServiceName},
    },
    bytes::Bytes,
    hyper::{Request, header},
    memchr::memmem,
    serde::Deserialize,
    std::{borrow::Cow, net::SocketAddr},
    thiserror::Error,
    tokio::time::Instant,
};

/// The service name under which requests without a service class are counted.
pub const NO_CLASS: &str = "none";

/// The targets of a request without a service class.
pub const NO_CLASS_TARGETS: ClassTargets = ClassTargets {
    priority: u8::MAX,
    first_token_target_ms: 60_000,
    between_tokens_target_ms: 10_000,
};

/// The length of the prompt prefix that is hashed to route requests to a warm prefix cache, in bytes.
const PROMPT_PREFIX_BYTES: usize = 256;

/// The fields of a request body that the entry reads.
#[derive(Debug, Deserialize)]
struct RequestFields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
}

/// The reason why a request cannot be routed to a model.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InferenceRequestError {
    /// The body cannot be parsed.
    #[error("the body is not a JSON object with a model: {0}")]
    Malformed(String),
    /// No model or adapter of this name is configured.
    #[error("there is no model or adapter {0:?}")]
    UnknownModel(String),
    /// No service class of this name is configured.
    #[error("there is no service of type models named {0:?}")]
    UnknownClass(String),
}

/// The service class of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceClass {
    /// The name of the service, or [`NO_CLASS`].
    pub service: ServiceName,
    /// The priority and latency targets of the class.
    pub targets: ClassTargets,
}

/// A caller's inference request.
#[derive(Debug)]
pub struct InferenceRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The path that the request was sent to.
    pub path: String,
    /// The body as received.
    pub body: Bytes,
    /// The model to run; the base model if the caller named an adapter.
    pub model: ModelName,
    /// The adapter, if the caller named one.
    pub adapter: Option<AdapterName>,
    /// Whether the response is to be streamed.
    pub stream: bool,
    /// The service class.
    pub class: ServiceClass,
    /// The hash of the prompt prefix, if the prompt is long enough.
    pub prefix_hash: Option<u64>,
    /// The time when the request arrived.
    pub arrived: Instant,
    /// The memory reserved for the body.
    pub body_memory: Option<MemoryShare>,
}

impl InferenceRequest {
    /// Parses a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed, or if the model, adapter or service class is not
    /// configured.
    pub fn read(
        id: RequestId,
        path: &str,
        body: Bytes,
        class: Option<&str>,
        catalog: &Catalog,
    ) -> Result<Self, InferenceRequestError> {
        let fields: RequestFields<'_> = serde_json::from_slice(&body)
            .map_err(|cause| InferenceRequestError::Malformed(cause.to_string()))?;
        let (model, adapter) = find_model(catalog, &fields.model)
            .ok_or_else(|| InferenceRequestError::UnknownModel(truncate_name(&fields.model)))?;
        let class = ServiceClass::find(catalog, class)?;
        let stream = fields.stream.unwrap_or(false);
        let prefix_hash = hash_prefix(&model, &body);
        Ok(Self {
            id,
            path: path.to_owned(),
            body,
            model,
            adapter,
            stream,
            class,
            prefix_hash,
            arrived: Instant::now(),
            body_memory: None,
        })
    }

    /// Builds the request for a model engine; `after` resumes the stream behind that event.
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
        insert(PRIORITY, self.class.targets.priority.to_string());
        let target = self.class.targets.first_token_target();
        let left = target.saturating_sub(self.arrived.elapsed());
        insert(DEADLINE_MS, left.as_millis().to_string());
        if let Some(after) = after {
            insert(LAST_EVENT_ID, after.to_string());
        }
        request
    }
}

impl ServiceClass {
    fn find(catalog: &Catalog, name: Option<&str>) -> Result<Self, InferenceRequestError> {
        let unknown =
            || InferenceRequestError::UnknownClass(truncate_name(name.unwrap_or(NO_CLASS)));
        let service: ServiceName = name.unwrap_or(NO_CLASS).parse().map_err(|_| unknown())?;
        if name.is_none() {
            let targets = NO_CLASS_TARGETS;
            return Ok(Self { service, targets });
        }
        let object = catalog.service(&service).ok_or_else(unknown)?;
        let ServiceTarget::Models {
            priority,
            first_token_target_ms,
            between_tokens_target_ms,
        } = object.target
        else {
            return Err(unknown());
        };
        let targets = ClassTargets {
            priority,
            first_token_target_ms,
            between_tokens_target_ms,
        };
        Ok(Self { service, targets })
    }
}

/// Hashes the prefix of a prompt, if the prompt is long enough to benefit from a prefix cache.
fn hash_prefix(model: &ModelName, body: &[u8]) -> Option<u64> {
    let fields = [&b"\"messages\""[..], b"\"prompt\""];
    let start = fields.iter().find_map(|field| memmem::find(body, field))?;
    let prefix = body.get(start..start + PROMPT_PREFIX_BYTES)?;
    let text = String::from_utf8_lossy(prefix);
    Some(stable_hash(&text) ^ stable_hash(model.as_str()))
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

fn truncate_name(text: &str) -> String {
    text.chars().take(80).collect()
}
