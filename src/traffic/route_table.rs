//! Looks up the route of a request.

use {
    super::{Route, TrafficConfig},
    crate::{http::compress, workspaces::PriorityRanks},
    bytes::Bytes,
    std::sync::{Arc, OnceLock},
};

/// A configuration whose routes are sorted by host and path prefix for look-up.
#[derive(Debug)]
pub struct RouteTable {
    config: TrafficConfig,
    priorities: PriorityRanks,
    published_bytes: Bytes,
    /// The same, compressed when a peer first requests it.
    compressed_bytes: OnceLock<Option<Bytes>>,
}

impl RouteTable {
    /// Sorts the routes of a configuration; `published_bytes` is the configuration as published.
    pub fn new(mut config: TrafficConfig, published_bytes: Bytes) -> Self {
        config
            .routes
            .sort_by(|a, b| look_up_key(a).cmp(&look_up_key(b)));
        let workspaces = config.workspaces.workspaces().iter();
        let priorities = PriorityRanks::new(
            workspaces.map(Arc::as_ref),
            config.routes.iter().map(|route| route.priority),
        );
        Self {
            config,
            priorities,
            published_bytes,
            compressed_bytes: OnceLock::new(),
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &TrafficConfig {
        &self.config
    }

    /// Returns the order of the priorities of workspaces and routes.
    pub fn priorities(&self) -> &PriorityRanks {
        &self.priorities
    }

    /// Returns the configuration as published, which peers can request.
    pub fn published_bytes(&self) -> Bytes {
        self.published_bytes.clone()
    }

    /// Returns the configuration as published, compressed with gzip; `None` if that failed.
    pub fn compressed_bytes(&self) -> Option<Bytes> {
        let compressed = || compress(&self.published_bytes);
        self.compressed_bytes.get_or_init(compressed).clone()
    }

    /// Returns the route of a host with the longest path prefix that matches.
    ///
    /// The port and the case of the host are ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = strip_port(host).to_ascii_lowercase();
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = self.find_exact(&host, &path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    fn find_exact(&self, host: &str, prefix: &str) -> Option<&Route> {
        let routes = &self.config.routes;
        let found = routes.binary_search_by(|route| look_up_key(route).cmp(&(host, prefix)));
        found.ok().map(|position| &routes[position])
    }
}

fn look_up_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
