//! Passes the streams that began at a node on to the store while several versions serve.

use {
    super::{RecorderChoice, StreamBatch, StreamVersions, StreamWriter},
    crate::{leader::PeerNode, store::StoreError, traffic::NodeName},
    bytes::Bytes,
    futures::future::BoxFuture,
    std::{fmt, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// The interval at which a node passes its streams on to the recorder.
const PASS_ON_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest interval between two writes of a recorder. A stream that is lost with all nodes
/// before it is written cannot be resumed, and many streams last only a second or two.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Sends records to peers.
pub trait StreamSender: Send + Sync {
    /// Sends encoded batches to a peer; returns whether it took them.
    fn send<'a>(&'a self, peer: &'a PeerNode, batches: Bytes) -> BoxFuture<'a, bool>;
}

/// Passes streams on to the recorder, or writes them to the store if this node is the recorder.
pub struct StreamTask {
    streams: Arc<StreamVersions>,
    peers: watch::Receiver<Vec<PeerNode>>,
    sender: Arc<dyn StreamSender>,
    choice: RecorderChoice,
    writer: StreamWriter,
    /// The peer to which streams were last passed on.
    last_recorder: Option<NodeName>,
    next_write_at: Instant,
}

impl fmt::Debug for StreamTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StreamTask")
    }
}

impl StreamTask {
    /// Creates the task.
    pub fn new(
        streams: Arc<StreamVersions>,
        peers: watch::Receiver<Vec<PeerNode>>,
        sender: Arc<dyn StreamSender>,
        choice: RecorderChoice,
        writer: StreamWriter,
    ) -> Self {
        Self {
            streams,
            peers,
            sender,
            choice,
            writer,
            last_recorder: None,
            next_write_at: Instant::now(),
        }
    }

    /// Passes streams on until the future is dropped.
    pub async fn run(mut self) {
        loop {
            sleep(PASS_ON_INTERVAL).await;
            self.pass_on().await;
        }
    }

    async fn pass_on(&mut self) {
        let now = Instant::now();
        let peers = self.peers.borrow().clone();
        let recorder = self.choice.select(&peers, now);
        let name = recorder.map(|peer| peer.name.clone());
        if self.last_recorder.is_some() && self.last_recorder != name {
            // The former recorder may have ended before it wrote what it took.
            self.last_recorder = None;
            self.streams.set_all_pending();
        }
        let pending = self.streams.pending();
        if pending.is_empty() {
            return;
        }
        match recorder {
            Some(peer) => self.send(peer, &pending).await,
            None if now >= self.next_write_at => self.write(&pending).await,
            None => {}
        }
    }

    async fn send(&mut self, peer: &PeerNode, pending: &[StreamBatch]) {
        self.last_recorder = Some(peer.name.clone());
        match self.sender.send(peer, StreamBatch::encode(pending)).await {
            true => self.streams.set_passed_on(pending),
            false => {
                log::debug!(peer:% = peer.name; "streams: a peer did not take the streams.");
                self.choice.record_failure(&peer.name, Instant::now());
            }
        }
    }

    async fn write(&mut self, pending: &[StreamBatch]) {
        self.next_write_at = Instant::now() + WRITE_INTERVAL;
        match self.writer.write(pending).await {
            Ok(()) => self.streams.set_passed_on(pending),
            Err(cause) => {
                log::debug!("streams: streams were not recorded, they are written again: {cause}");
                if matches!(cause, StoreError::LeaseLapsed(_)) {
                    self.streams.set_all_pending();
                }
            }
        }
    }
}
