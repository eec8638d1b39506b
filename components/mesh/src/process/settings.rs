//! Settings of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
}
