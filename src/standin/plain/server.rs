//! The plain service over HTTP: `POST /echo`, any other `POST` as a booking, `GET` as a lookup.

use {
    super::{PlainService, faults::RequestFate},
    crate::standin::{
        Body, BrokenOff, HttpService, ReferenceText, full_body, json_response, read_body,
        text_response,
    },
    bytes::Bytes,
    futures::future::{BoxFuture, FutureExt, pending},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::Incoming,
        header::{HeaderValue, RETRY_AFTER},
    },
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The tokens that make up the answer to a lookup.
const LOOKUP_TOKENS: u32 = 4;

impl HttpService for PlainService {
    fn is_up(&self) -> bool {
        !self.faults().down
    }

    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, BrokenOff>> {
        async move { self.serve_request(request).await }.boxed()
    }
}

impl PlainService {
    async fn serve_request(&self, request: Request<Incoming>) -> Result<Response<Body>, BrokenOff> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await?;
        let fate = self.take_fate();
        match fate {
            RequestFate::Silent => return pending().await,
            RequestFate::Lost => return Err(BrokenOff),
            RequestFate::Busy | RequestFate::Leaving => return Ok(self.refuse(fate)),
            _ => {}
        }
        let path = head.uri.path();
        let response = if is_read(&head.method) {
            self.look_up(path)
        } else {
            self.run(&head.headers, path, body)
        };
        // What has run stays run, also when the caller does not wait for the answer.
        let slow_ms = self.faults().slow_ms;
        if slow_ms > 0 {
            sleep(Duration::from_millis(slow_ms)).await;
        }
        match fate {
            RequestFate::AnswerLost => Err(BrokenOff),
            RequestFate::Failed => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                Ok(text_response(
                    status,
                    "the service failed after it ran the request",
                ))
            }
            _ => Ok(response),
        }
    }

    fn refuse(&self, fate: RequestFate) -> Response<Body> {
        self.record_mut().refused += 1;
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not run");
        let headers = response.headers_mut();
        headers.insert("x-request-ran", HeaderValue::from_static("no"));
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
        if fate == RequestFate::Leaving {
            headers.insert("x-engine-leaving", HeaderValue::from_static("yes"));
        }
        response
    }

    fn look_up(&self, path: &str) -> Response<Body> {
        self.record_mut().reads += 1;
        let value = ReferenceText::new("lookup", path).text(0..LOOKUP_TOKENS);
        json_response(StatusCode::OK, &json!({"path": path, "value": value}))
    }

    fn run(&self, headers: &HeaderMap, path: &str, body: Bytes) -> Response<Body> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let request = text("x-request-id").unwrap_or_default();
        let mut record = self.record_mut();
        record.runs += 1;
        record.runs_by_request.add(request);
        if let Some(key) = text("idempotency-key") {
            record.runs_by_key.add(key);
        }
        let number = record.runs;
        drop(record);
        if path == "/echo" {
            return Response::new(full_body(body));
        }
        json_response(
            StatusCode::OK,
            &json!({"booking": number, "request": request}),
        )
    }
}

fn is_read(method: &Method) -> bool {
    *method == Method::GET || *method == Method::HEAD
}
