//! Takes the list of runners from a peer until the store has given it.

use {
    super::{PeerAddresses, RUNNERS_PATH, peer_client::PeerClient},
    crate::discovery::RunnerEntry,
    std::{net::SocketAddr, time::Duration},
    tokio::{sync::watch, time},
};

/// How long the store has before peers are asked.
const STORE_FIRST: Duration = Duration::from_millis(400);

/// The pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_secs(1);

/// Hands lists of peers to `lists` until `is_read` says that the store gave one.
pub async fn fetch_peer_runners(
    peers: PeerAddresses,
    is_read: watch::Receiver<bool>,
    lists: watch::Sender<Vec<RunnerEntry>>,
) {
    let client = PeerClient::default();
    time::sleep(STORE_FIRST).await;
    while !*is_read.borrow() {
        for address in peers.control(None) {
            if let Some(list) = fetch(&client, address).await {
                lists.send_replace(list);
                break;
            }
        }
        time::sleep(ROUND_PAUSE).await;
    }
}

/// Returns the list of a peer, unless it is empty.
async fn fetch(client: &PeerClient, address: SocketAddr) -> Option<Vec<RunnerEntry>> {
    let bytes = client.get(address, RUNNERS_PATH).await?;
    let list: Result<Vec<RunnerEntry>, _> = serde_json::from_slice(&bytes);
    let list = list.inspect_err(|cause| log::debug!("discovery: the list of {address}: {cause}"));
    list.ok().filter(|list| !list.is_empty())
}
