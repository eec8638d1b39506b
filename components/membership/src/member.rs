//! One node, as others know it.

use std::net::SocketAddr;

use units::{DomainName, Incarnation, NodeId, RegionName, ServiceName, Version};
use xxhash_rust::xxh3;

units::value! {
    /// Whether a node is there.
    pub enum Status {
        /// It answers.
        Alive,
        /// It didn't answer a probe; it may refute that.
        Suspect,
        /// It didn't refute a suspicion in time.
        Dead,
        /// It said that it leaves.
        Left,
    }

    /// Whether an upstream takes new work.
    pub enum State {
        /// It takes new work.
        Serving,
        /// It finishes what it has.
        Draining,
    }
}

units::record! {
    /// The upstream beside a node.
    pub struct Serving {
        /// Service it belongs to.
        pub service: ServiceName,
        /// Requests it runs at once.
        pub slots: u32,
        /// Whether it takes new work.
        pub state: State,
    }

    /// A node.
    pub struct Member {
        /// Its id.
        pub node: NodeId,
        /// Failure domain it is in.
        pub domain: DomainName,
        /// Region it is in.
        pub region: RegionName,
        /// Life of its process.
        pub incarnation: Incarnation,
        /// Number of the record within that life; only the node itself raises it.
        pub serial: u64,
        /// Whether it is there.
        pub status: Status,
        /// Address for calls.
        pub peers: SocketAddr,
        /// Address for control traffic.
        pub control: SocketAddr,
        /// The upstream beside it, once announced.
        pub upstream: Option<Serving>,
        /// Configuration it has in force; not part of the record's order.
        pub version: Version,
    }
}

impl Member {
    /// Order of two records of one node: the later wins.
    pub fn order(&self) -> (Incarnation, u64, Status) {
        (self.incarnation, self.serial, self.status)
    }

    /// Whether the node may be there.
    pub fn is_present(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// Whether calls may be sent to its upstream.
    pub fn takes_work(&self) -> bool {
        self.is_present()
            && self.upstream.as_ref().is_some_and(|upstream| upstream.state == State::Serving)
    }

    /// Share of this record in its domain's digest. A suspicion is the domain's own affair and doesn't count.
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
