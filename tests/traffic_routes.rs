//! Route look-up, and activation of configurations with higher versions only.

#[path = "common/traffic_configs.rs"]
mod traffic_configs;

use {
    bytes::Bytes,
    greengagetrail::traffic::{ConfigVersion, Route, RouteKind, RouteMap, Target, TrafficBoard},
    traffic_configs::config,
};

/// Returns a route of idempotent requests.
fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 3_000,
        target_latency_ms: 1_000,
        priority: 0,
        attempts_max: 2,
        session_affinity: false,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
    }
}

fn map(routes: &[(&str, &str, &str)]) -> RouteMap {
    let routes = routes.iter();
    let routes = routes.map(|(name, host, prefix)| route(name, host, prefix));
    RouteMap::new(config(1, routes.collect()), Bytes::new())
}

fn found<'a>(map: &'a RouteMap, host: &str, path: &str) -> Option<&'a str> {
    map.find(host, path).map(|route| route.name.as_str())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let map = map(&[
        ("root", "a.example", "/"),
        ("deep", "a.example", "/p/q/"),
        ("flat", "a.example", "/p/"),
        ("other", "b.example", "/p/q/r/"),
    ]);
    assert_eq!(found(&map, "a.example", "/p/q/r/x"), Some("deep"));
    assert_eq!(found(&map, "a.example", "/p/q/"), Some("deep"));
    assert_eq!(found(&map, "a.example", "/p/q"), Some("flat"));
    assert_eq!(found(&map, "a.example", "/p/qq/x"), Some("flat"));
    assert_eq!(found(&map, "a.example", "/p"), Some("root"));
    assert_eq!(found(&map, "b.example", "/p/q/r/x"), Some("other"));
    assert_eq!(found(&map, "b.example", "/p/q/x"), None);
    assert_eq!(found(&map, "c.example", "/p/q/r/x"), None);
}

#[test]
fn the_port_and_case_of_the_host_are_ignored_but_not_the_case_of_the_path() {
    let map = map(&[("one", "a.example", "/p/")]);
    assert_eq!(found(&map, "A.Example:8149", "/p/x"), Some("one"));
    assert_eq!(found(&map, "a.example", "/P/x"), None);
    assert_eq!(found(&map, "a.example:x", "/p/x"), None);
    assert_eq!(found(&map, "", "/p/x"), None);
}

#[test]
fn malformed_paths_match_no_route() {
    let map = map(&[("one", "a.example", "/p/")]);
    for path in ["", "*", "p/", "//p/x", "/%70/x", "/p%2Fx"] {
        assert_eq!(found(&map, "a.example", path), None, "{path}");
    }
}

#[test]
fn only_higher_versions_are_activated() {
    let board = TrafficBoard::default();
    let offer = |version| board.offer(RouteMap::new(config(version, Vec::new()), Bytes::new()));
    assert_eq!(board.version(), None);
    assert!(offer(5));
    assert!(!offer(5));
    assert!(!offer(3));
    assert_eq!(board.version(), Some(ConfigVersion(5)));
    assert!(offer(900));
    assert!(!offer(899));
    assert_eq!(board.version(), Some(ConfigVersion(900)));
}
