//! Keeps the dispatch's list of nodes up to date.

use {
    crate::{
        dispatch::{NodeList, RunnerRegistry},
        leader::Membership,
        traffic::NodeName,
    },
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// The interval at which the list of nodes is checked while it doesn't change.
const NODES_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the list of nodes that share the limits of runners up to date.
pub(super) async fn follow_nodes(
    own: NodeName,
    membership: Arc<Membership>,
    registry: Arc<RunnerRegistry>,
) {
    let mut peers = membership.peers.clone();
    loop {
        let is_unread = !membership.has_read_nodes();
        let others = {
            let listed = peers.borrow_and_update();
            listed.iter().map(|peer| peer.name.clone()).collect()
        };
        registry.set_nodes(NodeList {
            own: Some(own.clone()),
            others,
            is_unread,
        });
        let changed = time::timeout(NODES_CHECK_INTERVAL, peers.changed());
        if let Ok(Err(_)) = changed.await {
            return;
        }
    }
}
