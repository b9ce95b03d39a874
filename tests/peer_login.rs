//! Login at a process's port: wrong keys, unauthenticated connections, malformed and oversized
//! input.

use {
    greengagetrail::{
        keeper::{GateService, KeeperState, LoginCapabilities, OperatorService},
        peer::{LoginState, SharedKey, connect_entry_link, connect_operator, connect_peer, serve},
        standin::kv::MemoryStore,
        units::Incarnation,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{LocalSet, spawn_local},
        time::timeout,
    },
};

const KEY: &str = "an operator's shared key";

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let operator = OperatorService::client(
        "vm-1".parse().unwrap(),
        Incarnation(1),
        KeeperState::default(),
        Arc::new(MemoryStore::new()),
    );
    let key = SharedKey::new(KEY);
    let roles = LoginCapabilities::Operators { key, operator };
    let new_gate = move |login: LoginState| GateService::client(roles.clone(), login);
    spawn_local(serve(listener, new_gate));
    address
}

async fn status_succeeds(address: SocketAddr) -> bool {
    let Ok((_connection, operator)) = connect_operator(address, &SharedKey::new(KEY).into()).await
    else {
        return false;
    };
    operator.status_request().send().promise.await.is_ok()
}

#[tokio::test]
async fn login_needs_the_right_key_at_the_right_port() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let address = start().await;
        assert!(status_succeeds(address).await);
        let right = SharedKey::new(KEY).into();
        let wrong = SharedKey::new("an operator's shared kez").into();
        let short = SharedKey::new("an").into();
        assert!(connect_operator(address, &wrong).await.is_err());
        assert!(connect_operator(address, &short).await.is_err());
        assert!(connect_peer(address, &right).await.is_err());
        assert!(connect_entry_link(address, &right).await.is_err());
        assert!(status_succeeds(address).await);
    });
    timeout(Duration::from_secs(20), run).await.unwrap();
}

#[tokio::test]
async fn oversized_or_malformed_input_before_login_closes_the_connection() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let address = start().await;
        let flood = vec![0x41; 1 << 20];
        let giant_frame = [[0_u8, 0, 0, 0], [0xff, 0xff, 0xff, 0x0f]].concat();
        for input in [
            flood.as_slice(),
            b"GET / HTTP/1.1\r\n\r\n".as_slice(),
            &giant_frame,
        ] {
            let mut stream = TcpStream::connect(address).await.unwrap();
            let _ = stream.write_all(input).await;
            let _ = stream.shutdown().await;
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
            assert!(
                rest.len() < 4096,
                "an unauthenticated connection received {} bytes",
                rest.len()
            );
        }
        assert!(status_succeeds(address).await);
    });
    timeout(Duration::from_secs(30), run).await.unwrap();
}

#[tokio::test]
async fn a_connection_that_never_logs_in_is_closed() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let address = start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let mut byte = [0];
        let ended = timeout(Duration::from_secs(10), stream.read(&mut byte)).await;
        assert!(
            matches!(ended, Ok(Ok(0) | Err(_))),
            "the connection stayed open"
        );
        assert!(status_succeeds(address).await);
    });
    timeout(Duration::from_secs(30), run).await.unwrap();
}

#[test]
fn a_key_is_hidden_in_debug_output() {
    assert!(!format!("{:?}", SharedKey::new(KEY)).contains("shared key"));
}
