//! One version of the configuration.

pub mod tenants;

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use units::ParseError;
use xxhash_rust::xxh3;

pub use tenants::{Quota, Tenant, Tenants};

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// How requests of one host under one path prefix are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, stable across versions.
    pub name: Arc<str>,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Services that receive the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Whether a request may safely run twice.
    pub idempotent: bool,
    /// Whether its answers are large.
    pub large: bool,
    /// Whether its requests need no key of a tenant.
    pub public: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Target latency; later answers are worth less to the caller.
    pub target_latency: Duration,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Most upstreams that one attempt of a caller may be sent to.
    pub max_attempts: u8,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time in which a request head has to arrive, from its first byte on.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

units::value! {
    /// Digest of a configuration document. Two documents may bear one version.
    pub struct Digest(pub u64);
}
units::text_serde!(Digest, "16 hexadecimal digits");

impl Digest {
    /// Digest of a document.
    pub fn of(source: &[u8]) -> Self {
        Self(xxh3::xxh3_64(source))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseError::Expected(text.to_owned(), "16 hexadecimal digits");
        if text.len() != 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| invalid())
    }
}

/// A validated configuration.
#[derive(Clone)]
pub struct Configuration {
    /// Version number; only increases.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Paths of health checks, by service.
    health_paths: HashMap<String, String>,
    tenants: Option<Tenants>,
    /// The document as the operator wrote it, for nodes that can't reach the store.
    pub source: Bytes,
    /// Digest of `source`.
    pub digest: Digest,
}

impl fmt::Debug for Configuration {
    /// Without the document, which holds the keys of tenants.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { version, digest, routes, tenants, .. } = self;
        let mut out = out.debug_struct("Configuration");
        out.field("version", version).field("digest", digest);
        out.field("routes", routes).field("tenants", tenants).finish_non_exhaustive()
    }
}

impl Configuration {
    /// Groups the routes by host, longest prefix first.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: impl IntoIterator<Item = (String, Route)>,
        source: Bytes,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for (host, route) in routes {
            hosts.entry(host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for group in hosts.values_mut() {
            group.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let digest = Digest::of(&source);
        let health_paths = HashMap::new();
        Self { version, limits, routes: hosts, health_paths, tenants: None, source, digest }
    }

    /// The same with the paths of health checks, by service.
    pub fn with_health_paths(self, paths: impl IntoIterator<Item = (String, String)>) -> Self {
        Self { health_paths: paths.into_iter().collect(), ..self }
    }

    /// The path at which an upstream of a service answers health checks, if it is known.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        self.health_paths.get(service).map(String::as_str)
    }

    /// The same with tenants, whose keys requests then need.
    pub fn with_tenants(self, tenants: Option<Tenants>) -> Self {
        Self { tenants, ..self }
    }

    /// The tenants; `None` if requests need no key.
    pub fn tenants(&self) -> Option<&Tenants> {
        self.tenants.as_ref()
    }

    /// The route with the longest matching prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let group = match self.routes.get(host) {
            Some(group) => group,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        group.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
