//! Records of streams that a node sends to a peer's control port.

mod common {
    pub mod nodes;
    pub mod registry_rig;
}

use {
    bytes::Bytes,
    common::{nodes::peer, registry_rig::runner},
    greengagetrail::{
        discovery::RunnerEntry,
        http::{ListenerLimits, serve_http},
        leader::PeerNode,
        node::{StreamClient, StreamsEndpoint},
        request_memory::RequestMemory,
        streams::{StreamBatch, StreamId, StreamSender, StreamVersions},
    },
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

const LIMITS: ListenerLimits = ListenerLimits {
    head_max_bytes: 16 * 1024,
    head_timeout: Duration::from_secs(5),
    write_timeout: Duration::from_secs(5),
    connections_max: 8,
    stop_max: Duration::from_secs(1),
};

/// Serves the endpoint of a node that lists runners of two versions; returns its registration.
async fn serve(streams: &Arc<StreamVersions>, only_nodes: bool) -> PeerNode {
    let versions = ["v1", "v1.1"].map(|software| RunnerEntry {
        software: software.into(),
        ..runner(software, &[])
    });
    streams.set_listed(&versions);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control_address = listener.local_addr().unwrap();
    let streams = streams.clone();
    let handle = move |request| {
        let streams = streams.clone();
        async move {
            let endpoint = StreamsEndpoint {
                streams,
                memory: RequestMemory::default(),
                only_nodes,
            };
            endpoint.respond(request).await
        }
    };
    tokio::spawn(serve_http(
        listener,
        LIMITS,
        CancellationToken::new(),
        handle,
    ));
    PeerNode {
        control_address,
        ..peer(1)
    }
}

fn batch(id: &str) -> StreamBatch {
    StreamBatch {
        service: "engines".into(),
        software: "v1.1".into(),
        ids: vec![StreamId::of(id.as_bytes()).unwrap()],
    }
}

#[tokio::test]
async fn a_peer_takes_streams_and_passes_them_on() {
    let streams = Arc::<StreamVersions>::default();
    let recorder = serve(&streams, false).await;
    let client = StreamClient::new(None);
    let batches = [batch("a"), batch("b")];
    for _ in 0..2 {
        assert!(client.send(&recorder, StreamBatch::encode(&batches)).await);
    }
    let found = streams.find(&"engines".into(), StreamId::of(b"b")).await;
    assert_eq!(found, Some("v1.1".into()));
    let pending = streams.pending();
    assert_eq!(
        pending.iter().map(|batch| batch.ids.len()).sum::<usize>(),
        2
    );
}

#[tokio::test]
async fn what_is_no_record_is_refused() {
    let streams = Arc::<StreamVersions>::default();
    let recorder = serve(&streams, false).await;
    let client = StreamClient::new(None);
    for body in ["", "\u{7f}not a record", "{}"] {
        let taken = client.send(&recorder, Bytes::from(body)).await;
        assert!(!taken, "{body:?}");
    }
    assert!(streams.pending().is_empty());
}

#[tokio::test]
async fn only_nodes_may_send_records_where_certificates_are_checked() {
    let streams = Arc::<StreamVersions>::default();
    let recorder = serve(&streams, true).await;
    let records = StreamBatch::encode(&[batch("a")]);
    assert!(!StreamClient::new(None).send(&recorder, records).await);
    assert!(streams.pending().is_empty());
}
