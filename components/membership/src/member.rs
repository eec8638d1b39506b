//! The membership record of one node.

use std::net::SocketAddr;

use units::{DomainName, Incarnation, NodeId, RegionName, ServiceName, Version};
use xxhash_rust::xxh3;

units::value! {
    /// Liveness of a node.
    pub enum Status {
        /// It answers probes.
        Alive,
        /// It did not answer a probe, and may still refute the suspicion.
        Suspect,
        /// It did not refute a suspicion in time.
        Dead,
        /// It announced that it is leaving.
        Left,
    }

    /// Whether an upstream accepts new requests.
    pub enum UpstreamState {
        /// It accepts new requests.
        Serving,
        /// It only finishes requests in flight.
        Draining,
    }
}

units::record! {
    /// The upstream that a node serves.
    pub struct ServedUpstream {
        /// Service it belongs to.
        pub service: ServiceName,
        /// Number of requests it runs concurrently.
        pub slots: u32,
        /// Whether it accepts new requests.
        pub state: UpstreamState,
    }

    /// Membership record of a node.
    pub struct Member {
        /// Its id.
        pub node: NodeId,
        /// Its failure domain.
        pub domain: DomainName,
        /// Its region.
        pub region: RegionName,
        /// Incarnation of its process.
        pub incarnation: Incarnation,
        /// Sequence number of the record within the incarnation; only the node itself increments it.
        pub serial: u64,
        /// Its liveness.
        pub status: Status,
        /// Address for calls from other nodes.
        pub peer_address: SocketAddr,
        /// Address for control traffic.
        pub control_address: SocketAddr,
        /// The upstream it serves, once announced.
        pub upstream: Option<ServedUpstream>,
        /// Version of the configuration in force; not part of the record's precedence.
        pub version: Version,
    }
}

impl Member {
    /// Precedence of two records of one node: the higher one wins.
    pub fn precedence(&self) -> (Incarnation, u64, Status) {
        (self.incarnation, self.serial, self.status)
    }

    /// Whether the node counts as running: alive, or only suspected.
    pub fn is_present(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// Whether calls may be sent to its upstream.
    pub fn accepts_requests(&self) -> bool {
        self.is_present() && self.is_serving()
    }

    /// Whether its upstream accepted requests when the node was last heard of, though it counts as dead since.
    pub fn accepted_requests(&self) -> bool {
        self.status == Status::Dead && self.is_serving()
    }

    fn is_serving(&self) -> bool {
        self.upstream.as_ref().is_some_and(|upstream| upstream.state == UpstreamState::Serving)
    }

    /// Hash that this record adds to its domain's digest. A suspicion is settled within the domain, so a suspect counts
    /// as alive.
    pub fn fingerprint(&self) -> u64 {
        let status = if self.status == Status::Suspect { Status::Alive } else { self.status };
        let mut bytes = [0; 17];
        bytes[..8].copy_from_slice(&self.incarnation.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.serial.to_le_bytes());
        bytes[16] = status as u8;
        let seed = xxh3::xxh3_64(self.node.as_str().as_bytes());
        xxh3::xxh3_64_with_seed(&bytes, seed)
    }
}
