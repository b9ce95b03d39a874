//! HTTP client of the load generator.

use {
    super::{Arrival, CallKind, ClassSpec},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, header::CONTENT_TYPE},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::json,
    std::net::SocketAddr,
};

/// An HTTP client with pooled connections.
pub type LoadClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client.
pub fn new_client() -> LoadClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Builds the HTTP request of an arrival; returns `None` if the URI or a header is invalid.
pub fn build_request(
    address: SocketAddr,
    arrival: &Arrival,
    class: &ClassSpec,
) -> Option<Request<Full<Bytes>>> {
    let service = class.service.as_deref();
    let request = match arrival.kind {
        CallKind::Stream | CallKind::Whole => {
            let body = json!({
                "model": arrival.name,
                "prompt": arrival.prompt,
                "max_tokens": arrival.tokens,
                "stream": arrival.kind == CallKind::Stream,
            });
            let mut request = Request::post(format!("http://{address}/v1/completions"))
                .header(CONTENT_TYPE, "application/json");
            if let Some(service) = service {
                request = request.header("x-service-class", service);
            }
            request.body(Full::from(body.to_string()))
        }
        CallKind::Booking => {
            let uri = format!("http://{address}/services/{}/book", service.unwrap_or("-"));
            Request::post(uri).body(Full::from("{}"))
        }
        CallKind::Read => {
            let path = format!(
                "services/{}/lookup/{}",
                service.unwrap_or("-"),
                arrival.name
            );
            Request::get(format!("http://{address}/{path}")).body(Full::default())
        }
    };
    request.ok()
}
