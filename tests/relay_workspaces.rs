//! Requests with keys of workspaces: who is served, and what runners are told.

mod common {
    pub mod bounds;
    pub mod fake_backend;
    pub mod relay_rig;
}

use {
    common::{
        bounds::bounds,
        fake_backend::Received,
        relay_rig::{RelayRig, Setup, signed},
    },
    greengagetrail::{
        freshness::{AgeBound, ConfigAge},
        http::serve_http,
        leader::{BootClock, PeerNode},
        node::{Bounds, CONTROL_PORT_LIMITS},
        quotas::{QuotaBounds, QuotaExchange},
        traffic::{ConfigVersion, RouteKind::Idempotent, RouteTable},
        workspaces::{
            AccessKey,
            FairShare::{Beyond, Within},
            PriorityRank, PriorityRanks, Quota, QuotaUnit, Workspace, WorkspaceDirectory,
        },
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::watch,
    },
    tokio_util::sync::CancellationToken,
};

const KEY: &str = "x-key: k1\r\n";

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

/// Bounds the age of a node's configuration; returns the age and its clock, in seconds.
fn bound_age(rig: &RelayRig) -> (Arc<ConfigAge>, Arc<AtomicU64>) {
    let now_s = Arc::new(AtomicU64::new(100));
    let read = now_s.clone();
    let clock = BootClock::new(move || Duration::from_secs(read.load(Ordering::SeqCst)));
    let bound = AgeBound::of(&Bounds {
        fail_closed: true,
        revoke_ms: Some(5_000),
        ..bounds()
    });
    let age = Arc::new(ConfigAge::new(rig.traffic.clone(), clock, bound));
    rig.relay.use_config_age(age.clone());
    (age, now_s)
}

fn publish_without_key(rig: &RelayRig) {
    let mut config = rig.traffic.current().unwrap().config().clone();
    config.version = ConfigVersion(2);
    config.workspaces = directory(vec![workspace("north", &["k2"])]);
    rig.traffic
        .activate_if_newer(RouteTable::new(config, bytes::Bytes::new()));
}

#[tokio::test]
async fn keys_get_503_while_the_configuration_may_be_outdated() {
    let rig = rig(directory(vec![workspace("north", &["k1"])])).await;
    let (age, now_s) = bound_age(&rig);
    assert_eq!(rig.call(KEY).await.status, 503, "no proof yet");
    age.record(age.now());
    assert_eq!(rig.call(KEY).await.status, 200);
    now_s.fetch_add(4, Ordering::SeqCst);
    assert_eq!(rig.call(KEY).await.status, 200);
    now_s.fetch_add(1, Ordering::SeqCst);
    for headers in [KEY, "x-key: k9\r\n", ""] {
        let refused = rig.call(headers).await;
        assert_eq!(refused.status, 503, "{headers}");
        assert!(refused.head.contains("x-retry-after-ms"), "{headers}");
    }
    assert_eq!(rig.received().len(), 2);
    age.record(age.now());
    assert_eq!(rig.call(KEY).await.status, 200);
}

#[tokio::test]
async fn routes_without_keys_are_served_by_a_configuration_of_any_age() {
    let rig = rig(WorkspaceDirectory::default()).await;
    bound_age(&rig);
    assert_eq!(rig.call("").await.status, 200);
}

// Guards against a process that is frozen, and a key that is taken away, after the last check of a
// request and before its first byte.
#[tokio::test]
async fn no_byte_of_a_request_is_sent_after_a_freeze_or_a_revocation() {
    let frozen = rig(directory(vec![workspace("north", &["k1"])])).await;
    let (age, now_s) = bound_age(&frozen);
    age.record(age.now());
    frozen.before_sending(move |_| {
        now_s.fetch_add(10, Ordering::SeqCst);
    });
    assert_eq!(frozen.call(KEY).await.status, 503);
    assert!(frozen.received().is_empty());

    let revoked = Arc::new(rig(directory(vec![workspace("north", &["k1"])])).await);
    let (age, _) = bound_age(&revoked);
    age.record(age.now());
    let publishing = revoked.clone();
    revoked.before_sending(move |_| publish_without_key(&publishing));
    assert_eq!(revoked.call(KEY).await.status, 401);
    assert!(revoked.received().is_empty());
}

#[tokio::test]
async fn a_node_checks_the_keys_of_requests_that_are_passed_on_to_it() {
    let near = rig(directory(vec![workspace("north", &["k1"])])).await;
    let (age, _) = bound_age(&near);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = PeerNode {
        name: "near".into(),
        gossip_address: address,
        control_address: address,
        zone: "z".into(),
    };
    let (relay, limits) = (near.relay.clone(), CONTROL_PORT_LIMITS);
    let serving = serve_http(listener, limits, CancellationToken::new(), move |request| {
        relay.clone().serve_passed_on(request)
    });
    tokio::spawn(serving);
    // Connections to a port that is bound but does not listen are refused.
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = [closed.local_addr().unwrap()];
    let mut setup = Setup::new(Idempotent);
    setup.workspaces = directory(vec![workspace("north", &["k1"])]);
    let peers = watch::Sender::new(vec![peer]).subscribe();
    let far = RelayRig::among(setup, Vec::new(), &at, peers).await;

    assert_eq!(far.call(KEY).await.status, 503, "the peer has no proof");
    age.record(age.now());
    assert_eq!(far.call(KEY).await.status, 200);
    assert_eq!(told(&near.received()[0]), (Some("north"), None));
    publish_without_key(&near);
    assert_eq!(far.call(KEY).await.status, 401);
    assert_eq!(near.received().len(), 1);
}

/// Starts a relay alone whose workspace may send two requests at once.
async fn rig_with_quota(statuses: [u16; 2]) -> RelayRig {
    let mut setup = Setup::new(Idempotent);
    let quota = Quota {
        unit: QuotaUnit::Requests,
        rate_per_s: 4.0,
        burst: 2.0,
    };
    setup.workspaces = directory(vec![Workspace {
        quota: Some(quota),
        ..workspace("north", &["k1"])
    }]);
    let script = move |attempt: usize, received: &Received| {
        signed(received, statuses[attempt.min(1)], "", "ok")
    };
    let rig = RelayRig::start(setup, script).await;
    let peers = watch::Sender::new(Vec::new()).subscribe();
    let bounds = QuotaBounds::default();
    let traffic = rig.traffic.clone();
    let quotas = QuotaExchange::new("n".into(), traffic, peers, bounds, None, || true);
    rig.relay.use_quotas(quotas);
    tokio::time::sleep(Duration::from_millis(600)).await;
    rig
}

#[tokio::test]
async fn requests_over_the_quota_get_429_with_a_wait_and_reach_no_runner() {
    let rig = rig_with_quota([200, 200]).await;
    let mut answers = Vec::new();
    for _ in 0..4 {
        answers.push(rig.call("x-key: k1\r\n").await);
    }
    let statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses[..3], [200, 200, 429]);
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert_eq!(rig.received().len() + refused, 4);
    let wait = answers[2].head.lines();
    let wait = wait.filter_map(|line| line.strip_prefix("x-retry-after-ms: "));
    let wait_ms: Vec<u64> = wait.map(|wait| wait.parse().unwrap()).collect();
    assert!((1..=250).contains(&wait_ms[0]), "{wait_ms:?}");
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(rig.call("x-key: k1\r\n").await.status, 200);
}

#[tokio::test]
async fn a_further_attempt_counts_against_the_quota_too() {
    let rig = rig_with_quota([500, 200]).await;
    assert_eq!(rig.call("x-key: k1\r\n").await.status, 200);
    assert_eq!(rig.received().len(), 2);
    assert_eq!(rig.call("x-key: k1\r\n").await.status, 429);
    assert_eq!(rig.received().len(), 2);
}

fn with_priority(priority: Option<u8>) -> Workspace {
    Workspace {
        priority,
        ..workspace("north", &[])
    }
}

#[test]
fn the_priority_of_a_workspace_goes_before_that_of_the_route() {
    let workspaces = [2, 0, 2].map(|priority| with_priority(Some(priority)));
    let ranks = PriorityRanks::new(&workspaces, [2, 0, 1]);
    let order = [
        (Some(0), 0),
        (Some(0), 1),
        (Some(0), 2),
        (None, 1),
        (Some(2), 0),
        (Some(2), 1),
        (Some(2), 2),
    ];
    let places: Vec<_> = order
        .iter()
        .map(|(workspace, route)| ranks.rank(*workspace, *route, Within))
        .collect();
    assert!(places.windows(2).all(|pair| pair[0].queue < pair[1].queue));
    assert!(
        places
            .windows(2)
            .all(|pair| pair[0].runner < pair[1].runner)
    );
    assert_eq!(places[0], PriorityRank::FIRST);
    assert_eq!(ranks.rank(None, 2, Within), ranks.rank(Some(2), 2, Within));
}

#[test]
fn what_is_beyond_a_fair_share_goes_behind_the_rest_of_the_same_priority() {
    let quota = Quota {
        unit: QuotaUnit::Requests,
        rate_per_s: 1.0,
        burst: 1.0,
    };
    let workspaces = (0..16).map(|priority| Workspace {
        quota: Some(quota),
        ..with_priority(Some(priority))
    });
    let workspaces: Vec<_> = workspaces.collect();
    let ranks = PriorityRanks::new(&workspaces, [0, 1, 2]);
    let mut places = Vec::new();
    for workspace in 0..16 {
        for share in [Within, Beyond] {
            for route in 0..3 {
                places.push(ranks.rank(Some(workspace), route, share));
            }
        }
    }
    assert!(places.windows(2).all(|pair| pair[0].queue < pair[1].queue));
    assert!(
        places
            .windows(2)
            .all(|pair| pair[0].runner <= pair[1].runner)
    );
    assert_eq!(places.iter().map(|place| place.runner).max(), Some(9));
}

#[test]
fn routes_keep_their_priorities_where_no_workspace_has_one() {
    for workspaces in [vec![], vec![with_priority(None)]] {
        let ranks = PriorityRanks::new(&workspaces, [0, 5]);
        let rank = ranks.rank(None, 5, Within);
        assert_eq!((rank.queue, rank.runner), (5, 5));
        assert_eq!(ranks.rank(None, 12, Within).runner, 9);
    }
}
