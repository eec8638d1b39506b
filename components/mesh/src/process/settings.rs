//! Settings of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use crate::decide::budgets::RetryBounds;

/// Addresses that a node listens on.
#[derive(Debug, Clone, PartialEq)]
pub struct Listen {
    /// For callers, and the upstream beside the node.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// Address of `peers` as other nodes reach it, which differs behind address translation.
    pub advertised: SocketAddr,
    /// For readiness checks of the platform.
    pub readiness: SocketAddr,
    /// For announcements of the upstream.
    pub announcements: SocketAddr,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
}

/// Settings of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: Arc<str>,
    /// Failure domain of the node.
    pub zone: Arc<str>,
    /// Region of the node.
    pub region: Arc<str>,
    /// Service of the upstream beside the node.
    pub service: Arc<str>,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// Time between two heartbeats of the upstream.
    pub heartbeat_interval: Duration,
    /// Time in which an upstream that announced that it is leaving may still get requests.
    pub drain_time: Duration,
    /// Time after SIGTERM within which the process has to exit.
    pub stop_timeout: Duration,
    /// Processor cores that the node may use.
    pub cores: usize,
    /// Memory that the process may take, in bytes; none if it is not limited.
    pub memory_bytes: Option<u64>,
    /// File descriptors that the process may open; none if they are not limited.
    pub descriptors: Option<u32>,
    /// Tolerance with which quotas of tenants are kept.
    pub quota: QuotaBounds,
    /// Retries that the deployment allows; none if it says nothing.
    pub retries: Option<RetryBounds>,
    /// What becomes of keys while the configuration is not confirmed.
    pub revocation: Revocation,
}

/// Tolerance with which the quota of a tenant is kept, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window in which requests are counted.
    pub window: Duration,
    /// Share of the quota that may be exceeded.
    pub overage: f64,
    /// Requests by which it may be exceeded besides.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self { window: Duration::from_secs(1), overage: 0.0, slack: 0.0 }
    }
}

/// What becomes of keys while the configuration is not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Revocation {
    /// Longest time for which keys are accepted without a confirmation; none if for any time.
    pub after: Option<Duration>,
}
