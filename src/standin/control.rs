//! The control listener of a stand-in: fault switches, what was recorded, and commands.

use {
    super::{
        Body, BrokenOff, ConnectionSwitch, HttpService, json_response, read_json, text_response,
    },
    futures::future::{BoxFuture, FutureExt},
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::sync::Arc,
};

/// A stand-in with fault switches.
pub trait Controlled: Send + Sync + 'static {
    /// The fault switches.
    type Faults: Serialize + DeserializeOwned + Send;

    /// Returns the fault switches as they stand.
    fn faults(&self) -> Self::Faults;

    /// Sets the fault switches.
    fn set_faults(&self, faults: Self::Faults);

    /// Returns what was recorded.
    fn record(&self) -> Value;

    /// Runs a command; returns whether it exists.
    fn run_command(&self, _name: &str) -> bool {
        false
    }
}

/// The command that silences all open connections.
const SILENCE: &str = "silence";

/// Serves the control listener of a stand-in: `GET` and `POST /faults`, `GET /record`, and
/// `POST /commands/NAME`; the command `silence` silences the open connections for good.
#[derive(Debug)]
pub struct ControlService<C> {
    control: C,
    switch: ConnectionSwitch,
}

impl<C> ControlService<C> {
    /// Makes the control of a stand-in whose connections have this switch.
    pub fn new(control: C, switch: ConnectionSwitch) -> Self {
        Self { control, switch }
    }
}

impl<C: Controlled> HttpService for ControlService<C> {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, BrokenOff>> {
        async move { Ok(self.route(request).await) }.boxed()
    }
}

impl<C: Controlled> ControlService<C> {
    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/faults") => json_response(StatusCode::OK, &self.control.faults()),
            (&Method::GET, "/record") => json_response(StatusCode::OK, &self.control.record()),
            (&Method::POST, "/faults") => match read_json(request).await {
                Ok(faults) => {
                    self.control.set_faults(faults);
                    text_response(StatusCode::NO_CONTENT, "")
                }
                Err(refusal) => refusal,
            },
            (&Method::POST, path) if self.run_command(path) => {
                text_response(StatusCode::NO_CONTENT, "")
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn run_command(&self, path: &str) -> bool {
        let Some(name) = path.strip_prefix("/commands/") else {
            return false;
        };
        if name == SILENCE {
            self.switch.silence();
            return true;
        }
        self.control.run_command(name)
    }
}
