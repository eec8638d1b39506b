//! The fields of the settings file and their defaults.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use units::{ByteSize, DomainName, NodeId, RegionName};

/// The newest version of the settings that this program reads.
pub const VERSION: u32 = 1;

units::wire! {
    /// Settings of one node.
    pub struct Settings {
        /// Version of the form of this file.
        pub version: u32,
        /// Id of the node.
        pub node: NodeId,
        /// Failure domain the node's VM is in.
        pub domain: DomainName,
        /// Region the failure domain is in.
        pub region: RegionName,
        /// Addresses to listen on.
        pub listen: Listen,
        /// Addresses that other nodes reach this one by, where they are not those it listens on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub advertise: Option<Advertise>,
        /// Control addresses of some other nodes, to find the rest by.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// The platform's log.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub log: Option<LogSource>,
        /// Rules to start with when neither the log nor a peer has any, relative to this file.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub rules: Option<PathBuf>,
        /// Bounds on requests and on stopping.
        #[serde(default)]
        pub bounds: Bounds,
        /// Pace of the control traffic between nodes.
        #[serde(default)]
        pub control: Control,
        /// Mechanisms that an experiment switches off.
        #[serde(default)]
        pub mechanisms: Mechanisms,
        /// Bearer token of the administration API.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub token: Option<String>,
    }

    /// Addresses that a node listens on; other nodes use the same addresses to reach it.
    pub struct Listen {
        /// For callers outside the system.
        pub callers: SocketAddr,
        /// For the upstream beside the node.
        pub upstream: SocketAddr,
        /// For calls from other nodes.
        pub peers: SocketAddr,
        /// For control traffic from other nodes.
        pub control: SocketAddr,
        /// For operators.
        pub admin: SocketAddr,
    }

    /// Addresses that other nodes reach a node by.
    pub struct Advertise {
        /// For calls.
        pub peers: SocketAddr,
        /// For control traffic.
        pub control: SocketAddr,
    }

    /// Where the platform's log is.
    pub struct LogSource {
        /// Address of its HTTP service.
        pub address: SocketAddr,
        /// Stream that holds the configuration.
        #[serde(default = "rules_stream")]
        pub rules: String,
        /// Stream that nodes announce themselves on.
        #[serde(default = "members_stream")]
        pub members: String,
        /// Name that the streams of claims start with.
        #[serde(default = "claims_streams")]
        pub claims: String,
        /// Time that the log keeps a record.
        #[serde(default = "retention", with = "units::span")]
        pub retention: Duration,
    }

    /// Bounds on requests and on stopping.
    #[serde(default)]
    pub struct Bounds {
        /// Largest request body.
        pub body: ByteSize,
        /// Largest body that is kept in memory so that it can be sent again.
        pub replay: ByteSize,
        /// Deepest nesting of calls.
        pub depth: u8,
        /// Time that a key is remembered; a caller sends a request again within it.
        #[serde(with = "units::span")]
        pub window: Duration,
        /// Longest time that a stop waits for requests in flight.
        #[serde(with = "units::span")]
        pub stop: Duration,
    }

    /// Mechanisms that an experiment switches off to see what each is worth; all are on in production.
    #[serde(default)]
    pub struct Mechanisms {
        /// How the number of requests that run at once is found.
        pub limit: LimitKind,
        /// Trees are refused early by the admission level of the chain.
        pub levels: bool,
        /// Retries draw on the root's allowance; otherwise each hop tries three more times.
        pub allowance: bool,
        /// Requests that kill upstreams are kept from the next one.
        pub quarantine: bool,
    }

    /// How the number of requests that run at once is found.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum LimitKind {
        /// From the announced slots and measured times.
        Adaptive,
        /// The announced slots.
        Static,
        /// There is no limit.
        Off,
    }

    /// Pace of the control traffic between nodes.
    #[serde(default)]
    pub struct Control {
        /// Time between two probes of a peer.
        #[serde(with = "units::span")]
        pub probe: Duration,
        /// Time until a silent peer counts as suspected.
        #[serde(with = "units::span")]
        pub timeout: Duration,
        /// Time until a suspected peer counts as dead.
        #[serde(with = "units::span")]
        pub suspicion: Duration,
        /// Time between two exchanges with another failure domain.
        #[serde(with = "units::span")]
        pub exchange: Duration,
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body: ByteSize(8 << 20),
            replay: ByteSize(64 << 10),
            depth: 24,
            window: Duration::from_secs(600),
            stop: Duration::from_secs(30),
        }
    }
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self { limit: LimitKind::Adaptive, levels: true, allowance: true, quarantine: true }
    }
}

impl Default for Control {
    fn default() -> Self {
        Self {
            probe: Duration::from_millis(500),
            timeout: Duration::from_millis(400),
            suspicion: Duration::from_secs(2),
            exchange: Duration::from_secs(1),
        }
    }
}

fn rules_stream() -> String {
    "rules".to_owned()
}

fn claims_streams() -> String {
    "claims".to_owned()
}

fn retention() -> Duration {
    Duration::from_secs(3_600)
}

fn members_stream() -> String {
    "members".to_owned()
}
