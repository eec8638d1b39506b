//! What lives for one version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

/// A service that a route leads to.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The service.
    pub service: Arc<str>,
    /// Its share among the parts.
    pub weight: u32,
}

/// What happens to requests of one host under one path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, the same in every version.
    pub name: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Services it leads to; never empty.
    pub parts: Vec<Part>,
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Time in which an answer is worth most.
    pub aim: Duration,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Upstreams that one attempt of a caller may be sent to.
    pub attempts: u8,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Time that a connection may be idle.
    pub idle: Duration,
}

/// A configuration as the operator wrote it.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Version; only goes up.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// As it was written, for nodes that can't reach the store.
    pub source: Bytes,
}

impl Configuration {
    /// Routes by host; the longest prefix is matched first.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: impl IntoIterator<Item = (String, Route)>,
        source: Bytes,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for (host, route) in routes {
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for group in hosts.values_mut() {
            group.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, limits, routes: hosts, source }
    }

    /// The route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let group = match self.routes.get(host) {
            Some(group) => group,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        group.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
