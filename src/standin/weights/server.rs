//! The weight store over HTTP: `POST /loads/model` and `/loads/adapter` answer once loaded.

use {
    super::{LoadKind, WeightStore},
    crate::standin::{Body, BrokenOff, Controlled, HttpService, text_response},
    futures::future::{BoxFuture, FutureExt},
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde_json::{Value, json},
    std::sync::Arc,
};

impl HttpService for WeightStore {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, BrokenOff>> {
        async move {
            let kind = match (request.method(), request.uri().path()) {
                (&Method::POST, "/loads/model") => LoadKind::Model,
                (&Method::POST, "/loads/adapter") => LoadKind::Adapter,
                _ => return Ok(text_response(StatusCode::NOT_FOUND, "no such call")),
            };
            self.load(kind).await;
            Ok(text_response(StatusCode::NO_CONTENT, ""))
        }
        .boxed()
    }
}

impl Controlled for Arc<WeightStore> {
    type Faults = Value;

    fn faults(&self) -> Value {
        json!({})
    }

    fn set_faults(&self, _faults: Value) {}

    fn record(&self) -> Value {
        serde_json::to_value(WeightStore::record(self)).unwrap_or_default()
    }
}
