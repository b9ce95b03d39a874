//! TLS on connections between the system's own processes.

mod common {
    pub mod authority;
}

use {
    common::authority::{Authority, FilesDir, NODE, OPERATOR},
    greengagetrail::{
        keeper::{GateService, KeeperState, LoginCapabilities, OperatorService},
        peer::{Credentials, LoginState, SharedKey, connect_operator, serve_with_tls},
        security::{AllowedRoles, Tls},
        standin::kv::MemoryStore,
        units::Incarnation,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        task::{LocalSet, spawn_local},
        time::timeout,
    },
};

const KEY: &str = "an operator's shared key";

async fn start(tls: &Tls) -> SocketAddr {
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
    spawn_local(serve_with_tls(
        listener,
        Some(tls.server(AllowedRoles::Operators)),
        new_gate,
    ));
    address
}

/// Requests the status; returns the error text if the call fails.
async fn status(address: SocketAddr, key: &str, tls: Option<&Tls>) -> Result<(), String> {
    let (key, tls) = (SharedKey::new(key), tls.cloned());
    let connected = connect_operator(address, &Credentials { key, tls }).await;
    let (_connection, operator) = connected.map_err(|error| error.to_string())?;
    let answer = operator.status_request().send().promise.await;
    answer.map(drop).map_err(|error| error.to_string())
}

#[tokio::test]
async fn a_connection_needs_the_role_of_its_port_and_the_key() {
    let authority = Authority::new("a");
    let load = |name, names: &[&str]| {
        let dir = FilesDir::new(name, &authority.issue(names), &[&authority]);
        let tls = Tls::load(dir.files.clone()).unwrap();
        (dir, tls)
    };
    let (_node_files, node) = load("link-node", NODE);
    let (_operator_files, operator) = load("link-operator", OPERATOR);
    let run = async {
        let address = start(&node).await;
        assert_eq!(status(address, KEY, Some(&operator)).await, Ok(()));
        let refused = status(address, KEY, Some(&node)).await.unwrap_err();
        assert!(refused.contains("role"), "{refused}");
        let refused = status(address, "another key", Some(&operator)).await;
        assert!(refused.unwrap_err().contains("wrong key"));
        assert!(status(address, KEY, None).await.is_err());
        assert_eq!(status(address, KEY, Some(&operator)).await, Ok(()));
    };
    let local = LocalSet::new();
    let run = timeout(Duration::from_secs(20), local.run_until(run));
    run.await.unwrap();
}
