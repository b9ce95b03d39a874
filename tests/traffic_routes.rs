//! Route look-up, and activation of configurations with higher versions only.

#[path = "common/traffic_configs.rs"]
mod traffic_configs;

use {
    bytes::Bytes,
    greengagetrail::traffic::{
        ActiveConfig, ConfigVersion, Route, RouteKind, RouteTable, RouteTarget,
    },
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
        is_anonymous: false,
        targets: vec![RouteTarget {
            service: "s".into(),
            weight: 1,
        }],
    }
}

fn table(routes: &[(&str, &str, &str)]) -> RouteTable {
    let routes = routes.iter();
    let routes = routes.map(|(name, host, prefix)| route(name, host, prefix));
    RouteTable::new(config(1, routes.collect()), Bytes::new())
}

fn found<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table
        .find_route(host, path)
        .map(|route| route.name.as_str())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(&[
        ("root", "a.example", "/"),
        ("deep", "a.example", "/p/q/"),
        ("flat", "a.example", "/p/"),
        ("other", "b.example", "/p/q/r/"),
    ]);
    assert_eq!(found(&table, "a.example", "/p/q/r/x"), Some("deep"));
    assert_eq!(found(&table, "a.example", "/p/q/"), Some("deep"));
    assert_eq!(found(&table, "a.example", "/p/q"), Some("flat"));
    assert_eq!(found(&table, "a.example", "/p/qq/x"), Some("flat"));
    assert_eq!(found(&table, "a.example", "/p"), Some("root"));
    assert_eq!(found(&table, "b.example", "/p/q/r/x"), Some("other"));
    assert_eq!(found(&table, "b.example", "/p/q/x"), None);
    assert_eq!(found(&table, "c.example", "/p/q/r/x"), None);
}

#[test]
fn the_port_and_case_of_the_host_are_ignored_but_not_the_case_of_the_path() {
    let table = table(&[("one", "a.example", "/p/")]);
    assert_eq!(found(&table, "A.Example:8149", "/p/x"), Some("one"));
    assert_eq!(found(&table, "a.example", "/P/x"), None);
    assert_eq!(found(&table, "a.example:x", "/p/x"), None);
    assert_eq!(found(&table, "", "/p/x"), None);
}

#[test]
fn malformed_paths_match_no_route() {
    let table = table(&[("one", "a.example", "/p/")]);
    for path in ["", "*", "p/", "//p/x", "/%70/x", "/p%2Fx"] {
        assert_eq!(found(&table, "a.example", path), None, "{path}");
    }
}

#[test]
fn only_higher_versions_are_activated() {
    let active = ActiveConfig::default();
    let activate = |version| {
        active.activate_if_newer(RouteTable::new(config(version, Vec::new()), Bytes::new()))
    };
    assert_eq!(active.version(), None);
    assert!(activate(5));
    assert!(!activate(5));
    assert!(!activate(3));
    assert_eq!(active.version(), Some(ConfigVersion(5)));
    assert!(activate(900));
    assert!(!activate(899));
    assert_eq!(active.version(), Some(ConfigVersion(900)));
}
