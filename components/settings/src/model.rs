//! The fields of the settings file and their defaults.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use units::{ByteSize, DomainName, NodeId, RegionName};

/// Newest version of the settings format that this program reads.
pub const VERSION: u32 = 1;

units::json_record! {
    /// Settings of one node.
    pub struct Settings {
        /// Version of the file format.
        pub version: u32,
        /// Id of the node.
        pub node: NodeId,
        /// Failure domain the node's VM is in.
        pub domain: DomainName,
        /// Region the failure domain is in.
        pub region: RegionName,
        /// Addresses to listen on.
        pub listen: Listen,
        /// Addresses at which other nodes reach this one, where they differ from those it listens on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub advertise: Option<Advertise>,
        /// Control addresses of some other nodes, used to discover the rest.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// The platform's log.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub log: Option<LogSource>,
        /// File with the rules to start with when neither the log nor a peer has any, relative to this file.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub rules: Option<PathBuf>,
        /// Limits on requests and on shutdown.
        #[serde(default)]
        pub bounds: Bounds,
        /// Timing of the control traffic between nodes.
        #[serde(default)]
        pub control: Control,
        /// Mechanisms that an experiment can disable.
        #[serde(default)]
        pub mechanisms: Mechanisms,
        /// Bearer token of the administration API.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub token: Option<String>,
    }

    /// Addresses that a node listens on; other nodes reach it there unless `advertise` is set.
    pub struct Listen {
        /// For callers outside the system.
        pub callers: SocketAddr,
        /// For the local upstream of the node.
        pub upstream: SocketAddr,
        /// For calls from other nodes.
        pub peers: SocketAddr,
        /// For control traffic from other nodes.
        pub control: SocketAddr,
        /// For operators.
        pub admin: SocketAddr,
    }

    /// Addresses at which other nodes reach a node.
    pub struct Advertise {
        /// For calls.
        pub peers: SocketAddr,
        /// For control traffic.
        pub control: SocketAddr,
    }

    /// Location of the platform's log.
    pub struct LogSource {
        /// Address of its HTTP service.
        pub address: SocketAddr,
        /// Stream that holds the configuration.
        #[serde(default = "default_rules_stream")]
        pub rules: String,
        /// Stream on which nodes announce themselves.
        #[serde(default = "default_members_stream")]
        pub members: String,
        /// Name prefix of the streams of claims.
        #[serde(default = "default_claims_prefix")]
        pub claims: String,
        /// Time for which the log retains a record.
        #[serde(default = "default_retention", with = "units::span")]
        pub retention: Duration,
    }

    /// Limits on requests and on shutdown.
    #[serde(default)]
    pub struct Bounds {
        /// Largest request body.
        pub body: ByteSize,
        /// Largest body that is buffered in memory for retries.
        pub replay: ByteSize,
        /// Maximum nesting depth of calls.
        pub depth: u8,
        /// Connections that callers may have.
        pub connections: u32,
        /// Memory for everything that callers make the node hold.
        pub memory: ByteSize,
        /// Time for which an idempotency key is remembered; a caller must retry within it.
        #[serde(with = "units::span")]
        pub window: Duration,
        /// Longest time that a shutdown waits for requests in flight.
        #[serde(with = "units::span")]
        pub stop: Duration,
    }

    /// Mechanisms that an experiment can disable to measure the effect of each; all are enabled in production.
    #[serde(default)]
    pub struct Mechanisms {
        /// How the concurrency limit of an upstream is determined.
        pub limit: LimitKind,
        /// Whether requests are refused early according to the admission level of the call chain.
        pub levels: bool,
        /// Whether retries draw on the allowance of the root request; otherwise each hop retries up to three times.
        pub allowance: bool,
        /// Whether requests that crash upstreams are kept from further upstreams.
        pub quarantine: bool,
    }

    /// How the concurrency limit of an upstream is determined.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum LimitKind {
        /// From the announced slots and the measured response times.
        Adaptive,
        /// The number of announced slots.
        Static,
        /// No limit.
        Off,
    }

    /// Timing of the control traffic between nodes.
    #[serde(default)]
    pub struct Control {
        /// Interval between probes.
        #[serde(with = "units::span")]
        pub probe: Duration,
        /// Time-out of a control message; a peer that no node reaches in time is suspected.
        #[serde(with = "units::span")]
        pub timeout: Duration,
        /// Time until a suspected peer is declared dead.
        #[serde(with = "units::span")]
        pub suspicion: Duration,
        /// Interval between exchanges with other failure domains.
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
            connections: 1_024,
            memory: ByteSize(256 << 20),
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

fn default_rules_stream() -> String {
    "rules".to_owned()
}

fn default_claims_prefix() -> String {
    "claims".to_owned()
}

fn default_retention() -> Duration {
    Duration::from_secs(3_600)
}

fn default_members_stream() -> String {
    "members".to_owned()
}
