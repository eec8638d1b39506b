//! The local upstream as it announces itself, and the node's own membership record.

use std::net::SocketAddr;

use limits::Config;
use membership::{Member, Status};
use rules::ServiceRule;
use settings::Settings;
use units::{Incarnation, ServiceName, Version};

/// The local upstream, as last announced.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalUpstream {
    /// Service it belongs to.
    pub service: ServiceName,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Concurrent requests it can run.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Path of its load endpoint.
    pub load: Option<String>,
    /// It accepts no more work.
    pub draining: bool,
}

/// Configuration of the admission queue until the upstream announces itself.
pub fn initial_config() -> Config {
    Config { slots: 1, max_wait: ServiceRule::default().max_wait, adaptive: true, use_level: true }
}

/// Membership record of this node at the start.
pub fn own_record(settings: &Settings, incarnation: Incarnation) -> Member {
    let listen = (settings.listen.peers, settings.listen.control);
    let (peers, control) = settings
        .advertise
        .as_ref()
        .map_or(listen, |advertise| (advertise.peers, advertise.control));
    Member {
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        incarnation,
        serial: 0,
        status: Status::Alive,
        peer_address: peers,
        control_address: control,
        upstream: None,
        version: Version(0),
    }
}
