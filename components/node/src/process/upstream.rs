//! The upstream beside this node, as it announces itself, and the node's own record.

use std::net::SocketAddr;

use limits::Config;
use membership::{Member, Status};
use rules::ServiceRule;
use settings::Settings;
use units::{Incarnation, ServiceName, Version};

/// The upstream beside this node, as it last announced itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Announced {
    /// Service it belongs to.
    pub service: ServiceName,
    /// Address it serves on.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
    /// Path of its load report.
    pub load: Option<String>,
    /// It takes no more work.
    pub draining: bool,
}

/// What the guard goes by until the upstream announces itself.
pub fn unannounced() -> Config {
    Config { slots: 1, queue: ServiceRule::default().queue, adaptive: true, levels: true }
}

/// The record that this node starts with.
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
        peers,
        control,
        upstream: None,
        version: Version(0),
    }
}
