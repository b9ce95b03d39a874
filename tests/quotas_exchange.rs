//! Quotas between nodes over real sockets.

use {
    greengagetrail::{
        leader::PeerNode,
        quotas::{
            AllowanceAnswer, AllowanceRefusal, HomeAnswer, QuotaBounds, QuotaExchange, QuotaLink,
            QuotaMessage, SpentAllowance,
        },
        security::KeyRing,
        traffic::{ActiveConfig, CallerLimits, ConfigVersion, RouteTable, TrafficConfig},
        workspaces::{Quota, QuotaUnit, Workspace, WorkspaceDirectory, WorkspaceName},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, sync::watch, time::Instant},
};

const RATE_PER_S: f64 = 200.0;
const BURST: f64 = 60.0;

fn traffic() -> Arc<ActiveConfig> {
    let workspace = Workspace {
        name: "w".into(),
        keys: Vec::new(),
        priority: None,
        quota: Some(Quota {
            unit: QuotaUnit::Requests,
            rate_per_s: RATE_PER_S,
            burst: BURST,
        }),
    };
    let config = TrafficConfig {
        version: ConfigVersion(1),
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            head_max_bytes: 1,
            body_max_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        workspaces: WorkspaceDirectory::new(vec![workspace]).unwrap(),
    };
    let traffic = Arc::new(ActiveConfig::default());
    traffic.activate_if_newer(RouteTable::new(config, bytes::Bytes::new()));
    traffic
}

fn peer(node: usize, port: u16) -> PeerNode {
    let address = SocketAddr::new([127, 0, 0, node as u8 + 1].into(), port);
    PeerNode {
        name: format!("n{node}").as_str().into(),
        gossip_address: address,
        control_address: address,
        zone: "z".into(),
    }
}

/// Starts nodes on addresses of their own with one port; those beyond `running` are only listed.
async fn nodes(running: usize, listed: usize, may_grant: bool) -> Vec<Arc<QuotaExchange>> {
    let first = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let port = first.local_addr().unwrap().port();
    let mut sockets = vec![first];
    for node in 1..running {
        let address = peer(node, port).gossip_address;
        sockets.push(UdpSocket::bind(address).await.unwrap());
    }
    let start = |(node, socket): (usize, UdpSocket)| {
        let others = (0..listed).filter(|other| *other != node);
        let peers = watch::Sender::new(others.map(|other| peer(other, port)).collect());
        let link = QuotaLink {
            socket,
            port,
            keys: KeyRing::default(),
        };
        let exchange = QuotaExchange::new(
            peer(node, port).name,
            traffic(),
            peers.subscribe(),
            QuotaBounds::default(),
            Some(link),
            move || may_grant,
        );
        tokio::spawn(exchange.clone().run());
        exchange
    };
    sockets.into_iter().enumerate().map(start).collect()
}

async fn acquire_sent(exchange: &Arc<QuotaExchange>) -> Result<SpentAllowance, AllowanceRefusal> {
    let workspace: WorkspaceName = "w".into();
    let mut allowance = exchange.acquire(&workspace, 1).await?;
    allowance.set_sent(true);
    Ok(allowance)
}

#[tokio::test]
async fn nodes_share_one_quota_through_its_homes() {
    let nodes = nodes(5, 5, true).await;
    let started_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut granted = 0;
    for _ in 0..60 {
        for node in &nodes {
            granted += u32::from(acquire_sent(node).await.is_ok());
        }
    }
    let most = BURST + RATE_PER_S * started_at.elapsed().as_secs_f64();
    assert!(granted >= BURST as u32, "{granted}");
    assert!(f64::from(granted) <= most, "{granted} of {most}");
    // The bucket fills again.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(acquire_sent(&nodes[0]).await.is_ok());
}

#[tokio::test]
async fn without_an_answer_of_a_home_there_is_no_allowance() {
    let alone = nodes(1, 40, false).await;
    let refused = acquire_sent(&alone[0]).await.map(drop);
    assert_eq!(refused, Err(AllowanceRefusal::NoAnswer));
    let unregistered = nodes(3, 3, false).await;
    let refused = acquire_sent(&unregistered[0]).await.map(drop);
    assert_eq!(refused, Err(AllowanceRefusal::NoAnswer));
}

#[test]
fn messages_keep_their_bytes_and_others_are_ignored() {
    let message = QuotaMessage::Ask {
        number: 300,
        workspace: "north".into(),
        least: 1_500,
        most: 2,
    };
    let bytes = message.encode();
    assert_eq!(bytes, *b"ggq\x01\x00\xac\x02\x05north\xdc\x0b\x02");
    assert_eq!(QuotaMessage::decode(&bytes), Some(message));
    let answer = |answer| HomeAnswer {
        answer,
        demand_permille: 3,
    };
    let granted = answer(AllowanceAnswer::Granted(2));
    let denied = answer(AllowanceAnswer::Denied(Duration::from_millis(2)));
    let numbers = [
        (QuotaMessage::answer(1, Some(granted)), vec![1, 1, 2, 3]),
        (QuotaMessage::answer(1, Some(denied)), vec![2, 1, 2, 3]),
        (QuotaMessage::answer(1, None), vec![3, 1]),
    ];
    for (message, body) in numbers {
        assert_eq!(message.encode()[4..], body);
    }
    for length in 0..bytes.len() {
        assert_eq!(QuotaMessage::decode(&bytes[..length]), None);
    }
    assert_eq!(QuotaMessage::decode(b"ggt\x03\x00\x01"), None);
}
