//! Where a node stands and how it is set up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Addresses that a node listens on.
#[derive(Debug, Clone, PartialEq)]
pub struct Listen {
    /// For callers and the upstream beside the node.
    pub calls: SocketAddr,
    /// For other nodes.
    pub nodes: SocketAddr,
    /// Where other nodes reach that, which differs behind a translated address.
    pub advertised: SocketAddr,
    /// For the platform, which asks whether the node takes work.
    pub ready: SocketAddr,
    /// For announcements of the upstream.
    pub upstream: SocketAddr,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
}

/// Settings of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// Name of the node.
    pub node: Arc<str>,
    /// Failure domain.
    pub zone: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Service of the upstream beside the node.
    pub service: Arc<str>,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Time between two announcements of the upstream.
    pub beat: Duration,
    /// Time after an upstream said that it leaves in which it may still get new work.
    pub drain: Duration,
    /// Time after SIGTERM in which the process has to be gone.
    pub grace: Duration,
    /// Processors of the machine.
    pub cores: usize,
}
