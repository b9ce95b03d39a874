//! The stand-in engine over HTTP.

use {
    super::{Interface, StandinEngine},
    crate::{
        engine::Order,
        standin::{Body, BrokenOff, HttpService, json_response, read_json, text_response},
    },
    futures::future::{BoxFuture, FutureExt, pending},
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde_json::json,
    std::sync::Arc,
};

impl HttpService for StandinEngine {
    fn is_up(&self) -> bool {
        !self.faults().down
    }

    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, BrokenOff>> {
        async move {
            if self.faults().silent {
                return pending().await;
            }
            self.route(request).await
        }
        .boxed()
    }
}

impl StandinEngine {
    async fn route(&self, request: Request<Incoming>) -> Result<Response<Body>, BrokenOff> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/completions") => self.infer(Interface::Completions, request).await,
            (&Method::POST, "/v1/chat/completions") => self.infer(Interface::Chat, request).await,
            (&Method::GET, "/v1/models") => Ok(self.list_models()),
            (&Method::POST, "/orders") => self.answer_order(request).await,
            (&Method::GET, "/status") => Ok(json_response(StatusCode::OK, &self.read_status())),
            (&Method::GET, "/events") => Ok(self.answer_events(&request)),
            _ => Ok(text_response(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    async fn answer_order(&self, request: Request<Incoming>) -> Result<Response<Body>, BrokenOff> {
        let order: Order = match read_json(request).await {
            Ok(order) => order,
            Err(refusal) => return Ok(refusal),
        };
        let reply = self.receive(order).await?;
        Ok(json_response(StatusCode::OK, &reply))
    }

    /// Answers `GET /events?after=NUMBER`.
    fn answer_events(&self, request: &Request<Incoming>) -> Response<Body> {
        let query = request.uri().query().unwrap_or_default();
        let after = query.strip_prefix("after=");
        let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        let events = self.read_events(after);
        json_response(StatusCode::OK, &json!({ "events": events }))
    }
}
