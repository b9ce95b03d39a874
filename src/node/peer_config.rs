//! Takes the configuration from peers until the store has given one.

use {
    super::{CONFIG_PATH, Formats},
    crate::{
        http::{Body, Client, read_body},
        traffic::{TrafficBoard, offer_bytes},
    },
    bytes::Bytes,
    hyper::{Request, StatusCode, header::HOST},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time,
};

/// How long the store has before peers are asked.
const STORE_FIRST: Duration = Duration::from_millis(400);

/// The pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// How long a peer may take.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest configuration that is read.
const CONFIG_MAX_BYTES: usize = 4 << 20;

/// Asks peers in turn until a configuration is in force.
pub async fn fetch_from_peers(
    formats: Arc<dyn Formats>,
    traffic: Arc<TrafficBoard>,
    peers: impl Fn() -> Vec<SocketAddr>,
) {
    let client = Client::new(PEER_TIMEOUT);
    time::sleep(STORE_FIRST).await;
    while traffic.current().is_none() {
        for address in peers() {
            let asking = time::timeout(PEER_TIMEOUT, fetch(&client, address));
            if let Ok(Some(bytes)) = asking.await {
                offer_bytes(&*formats, &traffic, bytes);
            }
        }
        time::sleep(ROUND_PAUSE).await;
    }
}

async fn fetch(client: &Client, address: SocketAddr) -> Option<Bytes> {
    let request = Request::get(CONFIG_PATH)
        .header(HOST, address.to_string())
        .body(Body::empty())
        .ok()?;
    let exchange = client.send(address, request).await.ok()?;
    if exchange.response.status() != StatusCode::OK {
        return None;
    }
    let body = exchange.response.into_body();
    read_body(body, CONFIG_MAX_BYTES, PEER_TIMEOUT).await.ok()
}
