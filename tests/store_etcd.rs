//! Tests the etcd client over HTTP against the stand-in key-value service, with injected faults.

use {
    bytes::Bytes,
    futures::StreamExt,
    greengagetrail::{
        standin::{
            ServerGuard,
            kv::{KvFaults, MemoryStore},
            serve,
        },
        store::{
            Change, Compare, EtcdStore, LeaseId, Op, Store, StoreError, StoreTimeouts,
            StoreVersion, Txn,
            gateway::{Base64, Int64, TxnRequest, WatchResponse},
        },
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

const TIMEOUTS: StoreTimeouts = StoreTimeouts {
    call_ms: 1_000,
    watch_silence_ms: 2_500,
};

/// Far longer than any wait in a passing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(15);

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start() -> (MemoryStore, ServerGuard, EtcdStore) {
    let memory = MemoryStore::new();
    let server = serve(any_address(), Arc::new(memory.clone()))
        .await
        .unwrap();
    let store = EtcdStore::new(vec![server.address()], TIMEOUTS);
    (memory, server, store)
}

async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind(any_address()).await.unwrap();
    listener.local_addr().unwrap()
}

fn put(key: &str, value: &str, lease: Option<LeaseId>) -> Txn {
    Txn {
        then: vec![Op::Put {
            key: key.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
            lease,
        }],
        ..Txn::default()
    }
}

#[tokio::test]
async fn all_calls_reach_the_service() {
    let (memory, _server, store) = start().await;
    let create = Txn {
        compare: vec![Compare::Absent("/a".to_owned())],
        otherwise: vec![Op::Get {
            key: "/a".to_owned(),
        }],
        ..put("/a", "one", None)
    };
    let first = store.txn(create.clone()).await.unwrap();
    assert!(first.succeeded);
    let second = store.txn(create).await.unwrap();
    assert!(!second.succeeded);
    let entry = second.reads[0].clone().unwrap();
    assert_eq!(
        (entry.value.as_ref(), entry.modified),
        (&b"one"[..], first.version)
    );
    let lease = store.grant_lease(30).await.unwrap();
    store.renew_lease(lease.id).await.unwrap();
    store.txn(put("/b", "two", Some(lease.id))).await.unwrap();
    let range = store.range("/", 1).await.unwrap();
    assert!(range.more);
    let range = store.range_between("/b", "/c", 0).await.unwrap();
    assert_eq!(range.entries[0].key, "/b");
    store.revoke_lease(lease.id).await.unwrap();
    assert!(store.range("/b", 0).await.unwrap().entries.is_empty());
    let lapsed = StoreError::LeaseLapsed(lease.id);
    assert_eq!(store.renew_lease(lease.id).await, Err(lapsed.clone()));
    assert_eq!(store.txn(put("/b", "3", Some(lease.id))).await, Err(lapsed));
    assert_eq!(memory.counts().txn, 4);
}

#[tokio::test]
async fn only_unsent_calls_fail_as_unreachable() {
    let store = EtcdStore::new(vec![closed_address().await], TIMEOUTS);
    let refused = store.txn(put("/a", "1", None)).await;
    assert!(matches!(refused, Err(StoreError::Unreachable(_))));

    let (memory, _server, store) = start().await;
    memory.set_faults(KvFaults {
        lost_answers: 1,
        ..KvFaults::default()
    });
    let lost = store.txn(put("/a", "1", None)).await;
    assert!(matches!(lost, Err(StoreError::Unknown(_))));
    assert_eq!(store.range("/a", 0).await.unwrap().entries.len(), 1);
    memory.set_faults(KvFaults::SILENT);
    let silent = store.txn(put("/a", "2", None)).await;
    assert!(matches!(silent, Err(StoreError::Unknown(_))));
}

#[tokio::test]
async fn a_write_is_retried_at_the_next_address_only_after_a_refused_connection() {
    let (memory, server, _) = start().await;
    let silent = MemoryStore::new();
    silent.set_faults(KvFaults::SILENT);
    let silent_server = serve(any_address(), Arc::new(silent)).await.unwrap();
    let addresses = vec![
        closed_address().await,
        silent_server.address(),
        server.address(),
    ];
    let store = EtcdStore::new(addresses, TIMEOUTS);
    let lost = store.txn(put("/a", "1", None)).await;
    assert!(matches!(lost, Err(StoreError::Unknown(_))));
    assert_eq!(memory.counts().txn, 0);
    store.txn(put("/a", "1", None)).await.unwrap();
    assert_eq!(memory.counts().txn, 1);
}

#[tokio::test]
async fn a_watch_continues_after_its_connection_fails() {
    let (memory, _server, store) = start().await;
    let since = store.txn(put("/w/a", "1", None)).await.unwrap().version;
    let mut watch = store.watch("/w/", since);
    watch.next().await.unwrap().unwrap();
    memory.txn(put("/w/b", "2", None)).await.unwrap();
    let next = timeout(TEST_TIMEOUT, next_change(&mut watch))
        .await
        .unwrap();
    assert_eq!(next.unwrap().key(), "/w/b");
    let state = memory.copy_state();
    memory.restore(state);
    memory.txn(put("/w/c", "3", None)).await.unwrap();
    let next = timeout(TEST_TIMEOUT, next_change(&mut watch))
        .await
        .unwrap();
    assert_eq!(next.unwrap().key(), "/w/c");
    assert!(memory.counts().watch >= 2);
}

#[tokio::test]
async fn a_watch_reopens_after_a_timeout_and_fails_when_the_service_is_down() {
    let (memory, server, store) = start().await;
    let mut watch = store.watch("/", StoreVersion(0));
    watch.next().await.unwrap().unwrap();
    memory.set_faults(KvFaults::WATCH_SILENT);
    let reopened = async {
        while memory.counts().watch < 2 {
            let _ = timeout(Duration::from_millis(50), watch.next()).await;
        }
    };
    timeout(TEST_TIMEOUT, reopened).await.unwrap();
    drop(server);
    let end = async {
        while let Some(batch) = watch.next().await {
            if let Err(cause) = batch {
                return cause;
            }
        }
        panic!("the watch ended without an error");
    };
    let cause = timeout(TEST_TIMEOUT, end).await.unwrap();
    assert!(matches!(
        cause,
        StoreError::Unreachable(_) | StoreError::Unknown(_)
    ));
}

#[tokio::test]
async fn watches_fail_after_compaction_and_at_an_older_service_version() {
    let (memory, _server, store) = start().await;
    let old = memory.copy_state();
    let since = store.txn(put("/a", "1", None)).await.unwrap().version;
    let last = store.txn(put("/a", "2", None)).await.unwrap().version;
    let mut state = memory.copy_state();
    state.compact(last);
    memory.restore(state);
    let mut watch = store.watch("/", since);
    let end = timeout(TEST_TIMEOUT, next_change(&mut watch))
        .await
        .unwrap();
    assert_eq!(end, Err(StoreError::Compacted));
    memory.restore(old);
    let first = store.watch("/", last).next().await;
    assert!(matches!(first, Some(Err(StoreError::Unknown(_)))));
}

#[tokio::test]
async fn the_stand_in_uses_the_json_of_etcd() {
    let (_memory, server, _) = start().await;
    let txn = r#"{"compare":[{"key":"L2E=","target":"CREATE","createRevision":"0"}],
        "success":[{"requestPut":{"key":"L2E=","value":"MQ=="}}],
        "failure":[{"requestRange":{"key":"L2E="}}]}"#;
    let response = post(server.address(), "/v3/kv/txn", txn).await;
    assert!(response.contains(r#""succeeded":true"#), "{response}");
    let response = post(server.address(), "/v3/kv/txn", txn).await;
    assert!(response.contains(r#""value":"MQ==""#), "{response}");
    assert!(response.contains(r#""mod_revision":"2""#), "{response}");
    let response = post(server.address(), "/v3/kv/range", r#"{"key":"L2E="}"#).await;
    assert!(response.contains(r#""kvs":[{"key":"L2E=""#), "{response}");
    let response = post(server.address(), "/v3/lease/revoke", r#"{"ID":"7"}"#).await;
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    let response = post(server.address(), "/v3/kv/range", "[1,").await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
}

#[test]
fn parsers_never_panic_and_accept_integers_as_numbers_or_text() {
    let number: Int64 = serde_json::from_str("12").unwrap();
    let text: Int64 = serde_json::from_str("\"12\"").unwrap();
    assert_eq!(number, text);
    let bytes = Base64(Bytes::from_static(&[0, 255, 7]));
    let text = serde_json::to_string(&bytes).unwrap();
    assert_eq!(serde_json::from_str::<Base64>(&text).unwrap(), bytes);
    bolero::check!().for_each(|input: &[u8]| {
        if let Ok(request) = serde_json::from_slice::<TxnRequest>(input) {
            let _ = Txn::try_from(request);
        }
        if let Ok(response) = serde_json::from_slice::<WatchResponse>(input) {
            let changes = response.events.into_iter().map(Change::try_from);
            changes.for_each(drop);
        }
    });
}

type ChangeStream<'a> =
    futures::stream::BoxStream<'a, Result<greengagetrail::store::Changes, StoreError>>;

async fn next_change(watch: &mut ChangeStream<'_>) -> Result<Change, StoreError> {
    loop {
        let batch = watch
            .next()
            .await
            .expect("the watch ended without an error")?;
        if let Some(change) = batch.changes.into_iter().next() {
            return Ok(change);
        }
    }
}

/// Sends one request without the client under test and returns the complete response.
async fn post(address: SocketAddr, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: kv\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}
