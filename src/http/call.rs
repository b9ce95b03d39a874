//! Calls whose request and response bodies are buffered completely.

use {
    super::{Body, Client, Exchange, SendError},
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::{
        Request, Response,
        header::{CONTENT_TYPE, HOST, HeaderValue},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

impl Client {
    /// Sends a request with a JSON body and reads the complete response.
    ///
    /// After a timeout, the connection and all idle connections to the same address are closed.
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// After [`SendError::Broken`] the request may have run; after other errors it was not sent.
    pub async fn call(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        limits: CallLimits,
    ) -> Result<Response<Bytes>, SendError> {
        let host = HeaderValue::from_str(&address.to_string());
        let host = host.map_err(|cause| SendError::NotConnected(cause.to_string()))?;
        let headers = request.headers_mut();
        headers.insert(HOST, host);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let exchange = async {
            let exchange = self.send(address, request).await?;
            read_response(exchange, limits.answer_max_bytes).await
        };
        match timeout(limits.timeout, exchange).await {
            Ok(response) => response,
            Err(_) => {
                self.close_idle(address);
                Err(SendError::Broken("the response timed out".to_owned()))
            }
        }
    }
}

/// The limits of a call with a buffered response.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// The longest wait for the complete response.
    pub timeout: Duration,
    /// The largest response body, in bytes.
    pub answer_max_bytes: usize,
}

/// The limits of a client's calls and of their connections.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// The longest wait until a connection is established.
    pub connect_timeout: Duration,
    /// The limits of each call.
    pub call: CallLimits,
}

async fn read_response(exchange: Exchange, max_bytes: usize) -> Result<Response<Bytes>, SendError> {
    let (head, body) = exchange.response.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|cause| SendError::Broken(cause.to_string()))?;
    exchange.connection.recycle();
    Ok(Response::from_parts(head, body.to_bytes()))
}
