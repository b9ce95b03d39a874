//! Where a stand-in engine gets its weights from.

use {
    super::{LoadKind, WeightStore},
    bytes::Bytes,
    http_body_util::Empty,
    hyper::Request,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Where a stand-in engine gets its weights from.
#[derive(Debug, Clone)]
pub enum WeightSource {
    /// A weight store in the same process.
    Local(Arc<WeightStore>),
    /// A weight store over HTTP.
    Remote {
        /// Its address.
        address: SocketAddr,
        /// The connections to it.
        client: Box<Client<HttpConnector, Empty<Bytes>>>,
    },
}

impl WeightSource {
    /// Makes a source over HTTP.
    pub fn remote(address: SocketAddr) -> Self {
        Self::Remote {
            address,
            client: Box::new(Client::builder(TokioExecutor::new()).build_http()),
        }
    }

    /// Loads a model or an adapter; returns whether the weights are there.
    pub async fn load(&self, kind: LoadKind) -> bool {
        match self {
            Self::Local(store) => {
                store.load(kind).await;
                true
            }
            Self::Remote { address, client } => {
                let path = match kind {
                    LoadKind::Model => "model",
                    LoadKind::Adapter => "adapter",
                };
                let request = Request::post(format!("http://{address}/loads/{path}"));
                let Ok(request) = request.body(Empty::new()) else {
                    return false;
                };
                let response = client.request(request).await;
                response.is_ok_and(|response| response.status().is_success())
            }
        }
    }
}
