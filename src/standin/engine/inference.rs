//! Answers inference requests over HTTP.

use {
    super::{GenerateRefusal, Generation, Interface, RequestBody, StandinEngine, sse::EventStream},
    crate::standin::{Body, BrokenOff, json_response, read_json},
    futures::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
    },
    serde_json::{Value, json},
};

const ENGINE_LOAD: HeaderName = HeaderName::from_static("x-engine-load");
const ENGINE_LEAVING: HeaderName = HeaderName::from_static("x-engine-leaving");
const REQUEST_RAN: HeaderName = HeaderName::from_static("x-request-ran");
const RESUMABLE: HeaderName = HeaderName::from_static("x-resumable");
const TOKENS_PER_EVENT: HeaderName = HeaderName::from_static("x-tokens-per-event");

/// The `Retry-After` of a refusal, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");
const YES: HeaderValue = HeaderValue::from_static("yes");
const NO: HeaderValue = HeaderValue::from_static("no");

impl StandinEngine {
    /// Answers a request for a completion or a chat.
    pub(super) async fn infer(
        &self,
        interface: Interface,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, BrokenOff> {
        let headers = request.headers().clone();
        let body: RequestBody = match read_json(request).await {
            Ok(body) => body,
            Err(refusal) => return Ok(not_run(refusal)),
        };
        let generation = match self.generate(body.to_generate(&headers)) {
            Ok(generation) => generation,
            Err(refusal) => return Ok(self.refuse(refusal)),
        };
        if self.faults_mut().take_failed_request() {
            return self.fail_midway(generation).await;
        }
        if body.stream == Some(true) {
            return Ok(self.stream(generation, interface));
        }
        self.whole(generation, interface).await
    }

    /// Lists the models and adapters that can serve.
    pub(super) fn list_models(&self) -> Response<Body> {
        let status = self.read_status();
        let ready = status.models.iter().filter(|model| model.ready);
        let models = ready.map(|model| model.model.as_str());
        let names = models.chain(status.adapters.iter().map(|adapter| adapter.as_str()));
        let item =
            |name| json!({"id": name, "object": "model", "created": 0, "owned_by": "standin"});
        let data: Vec<Value> = names.map(item).collect();
        json_response(StatusCode::OK, &json!({"object": "list", "data": data}))
    }

    fn stream(&self, generation: Generation, interface: Interface) -> Response<Body> {
        let events = EventStream::new(generation, interface);
        let frames = stream::unfold(events, |mut events| async move {
            let frame = events.next().await?;
            Some((frame, events))
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        if self.settings().resumable {
            headers.insert(RESUMABLE, YES);
        }
        headers.insert(TOKENS_PER_EVENT, self.settings().tokens_per_event.into());
        self.add_load(headers);
        response
    }

    async fn whole(
        &self,
        mut generation: Generation,
        interface: Interface,
    ) -> Result<Response<Body>, BrokenOff> {
        while generation.next().await?.is_some() {}
        let mut response = json_response(StatusCode::OK, &whole_answer(&generation, interface));
        self.add_load(response.headers_mut());
        Ok(response)
    }

    async fn fail_midway(&self, mut generation: Generation) -> Result<Response<Body>, BrokenOff> {
        generation.next().await?;
        let error = json!({"error": {"message": "the engine failed", "type": "server_error"}});
        Ok(json_response(StatusCode::INTERNAL_SERVER_ERROR, &error))
    }

    fn refuse(&self, refusal: GenerateRefusal) -> Response<Body> {
        let status = match refusal {
            GenerateRefusal::NotResident => StatusCode::NOT_FOUND,
            GenerateRefusal::Busy => StatusCode::TOO_MANY_REQUESTS,
            GenerateRefusal::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            GenerateRefusal::NotResumable => StatusCode::CONFLICT,
        };
        let error = json!({"error": {"message": refusal.to_string(), "type": "not_run"}});
        let mut response = not_run(json_response(status, &error));
        let headers = response.headers_mut();
        if refusal == GenerateRefusal::Busy {
            headers.insert(RETRY_AFTER, RETRY_AFTER_S);
        }
        if refusal == GenerateRefusal::Leaving {
            headers.insert(ENGINE_LEAVING, YES);
        }
        self.add_load(headers);
        response
    }

    fn add_load(&self, headers: &mut HeaderMap) {
        if let Ok(load) = HeaderValue::try_from(self.load_text()) {
            headers.insert(ENGINE_LOAD, load);
        }
    }
}

fn not_run(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(REQUEST_RAN, NO);
    response
}

fn whole_answer(generation: &Generation, interface: Interface) -> Value {
    let request = generation.request();
    let text = generation.text().text(request.skip..request.tokens);
    let prompt_tokens = request.prompt.len().div_ceil(super::PROMPT_TOKEN_BYTES);
    let usage = json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": request.tokens,
        "total_tokens": prompt_tokens + request.tokens as usize,
    });
    let (prefix, object, choice) = match interface {
        Interface::Completions => (
            "cmpl",
            "text_completion",
            json!({"index": 0, "text": text, "logprobs": null, "finish_reason": "length"}),
        ),
        Interface::Chat => (
            "chatcmpl",
            "chat.completion",
            json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
        ),
    };
    json!({
        "id": format!("{prefix}-{}", request.id),
        "object": object,
        "created": 0,
        "model": request.name,
        "choices": [choice],
        "usage": usage,
    })
}
