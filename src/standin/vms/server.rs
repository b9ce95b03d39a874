//! The VM list over HTTP: `GET /vms`.

use {
    super::VmList,
    crate::standin::{Body, BrokenOff, HttpService, json_response, text_response},
    futures::future::{BoxFuture, FutureExt, pending},
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde_json::json,
    std::sync::Arc,
};

impl HttpService for VmList {
    fn is_up(&self) -> bool {
        !self.switches().down
    }

    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, BrokenOff>> {
        async move {
            if self.switches().silent {
                return pending().await;
            }
            if (request.method(), request.uri().path()) != (&Method::GET, "/vms") {
                return Ok(text_response(StatusCode::NOT_FOUND, "no such call"));
            }
            Ok(json_response(
                StatusCode::OK,
                &json!({ "vms": self.read() }),
            ))
        }
        .boxed()
    }
}
