//! Requests with keys of workspaces: who is served, and what runners are told.

mod common {
    pub mod fake_backend;
    pub mod relay_rig;
}

use {
    common::{
        fake_backend::Received,
        relay_rig::{RelayRig, Setup, signed},
    },
    greengagetrail::{
        traffic::{ConfigVersion, RouteKind::Idempotent, RouteTable},
        workspaces::{AccessKey, Workspace, WorkspaceDirectory},
    },
};

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| AccessKey::new(key.as_bytes()))
            .collect(),
        priority: None,
        quota: None,
    }
}

fn directory(workspaces: Vec<Workspace>) -> WorkspaceDirectory {
    WorkspaceDirectory::new(workspaces).unwrap()
}

async fn rig(workspaces: WorkspaceDirectory) -> RelayRig {
    let mut setup = Setup::new(Idempotent);
    setup.workspaces = workspaces;
    RelayRig::start(setup, |_, received| signed(received, 200, "", "ok")).await
}

fn told(received: &Received) -> (Option<&str>, Option<&str>) {
    (received.header("x-workspace"), received.header("x-key"))
}

#[tokio::test]
async fn a_runner_gets_the_workspace_of_the_key_and_not_the_key() {
    let rig = rig(directory(vec![workspace("north", &["k1", "k2"])])).await;
    for key in ["k1", "k2"] {
        let headers = format!("x-key: {key}\r\nx-workspace: forged\r\n");
        assert_eq!(rig.call(&headers).await.status, 200);
    }
    let hidden = rig
        .call("x-key: k1\r\nconnection: x-key, x-workspace\r\n")
        .await;
    assert!([200, 401].contains(&hidden.status));
    for received in rig.received() {
        assert_eq!(told(&received), (Some("north"), None));
    }
}

#[tokio::test]
async fn unknown_keys_get_401_and_reach_no_runner() {
    let rig = rig(directory(vec![workspace("north", &["k1"])])).await;
    for headers in ["", "x-key: k9\r\n", "x-key: K1\r\n", "x-key: north\r\n"] {
        assert_eq!(rig.call(headers).await.status, 401, "{headers}");
    }
    assert!(rig.received().is_empty());
}

#[tokio::test]
async fn a_key_is_served_as_long_as_a_configuration_has_it() {
    let rig = rig(directory(vec![workspace("north", &["k1", "k2"])])).await;
    let publish = |version, keys: &[&str]| {
        let mut config = rig.traffic.current().unwrap().config().clone();
        config.version = ConfigVersion(version);
        config.workspaces = directory(vec![workspace("north", keys)]);
        rig.traffic
            .activate_if_newer(RouteTable::new(config, bytes::Bytes::new()));
    };
    assert_eq!(rig.call("x-key: k1\r\n").await.status, 200);
    publish(2, &["k2"]);
    assert_eq!(rig.call("x-key: k1\r\n").await.status, 401);
    assert_eq!(rig.call("x-key: k2\r\n").await.status, 200);
    publish(3, &["k1", "k2"]);
    assert_eq!(rig.call("x-key: k1\r\n").await.status, 200);
    publish(4, &[]);
    assert_eq!(rig.call("x-key: k1\r\n").await.status, 401);
    assert_eq!(rig.received().len(), 3);
}
