//! Messages between nodes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Moment;

/// A quota leader's timestamp, which is valid at the process that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Random number of the process.
    pub process: u64,
    /// The time, by its clocks.
    pub at: Moment,
}

/// A renewal of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// Last timestamp of the quota leader.
    pub stamp: Stamp,
    /// Random number of the contributing process.
    pub process: u64,
    /// Number of the renewal; later ones are higher.
    pub number: u64,
    /// The leased share of each tenant's bucket.
    pub share: f64,
}

/// Silent nodes that count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silent {
    /// Their number.
    pub nodes: u32,
    /// Milliseconds since it was counted.
    pub age_ms: u64,
}

/// What one node tells another with an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Present time of the sender, to be echoed in a renewal.
    pub stamp: Stamp,
    /// Silent nodes that the sender counts.
    pub silent: Silent,
    /// Renewal of the sender's lease to the reader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub renewal: Option<Renewal>,
    /// The sender uses no shares of others any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stopping: bool,
    /// Another process with the reader's name leases its share.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub rival: bool,
}

/// The end of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantEnd {
    /// Id of the grant.
    pub id: u64,
    /// Tokens that were not used and never will be.
    pub unspent: u32,
}

/// A request for tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Name of the tenant.
    pub tenant: Arc<str>,
    /// Number of the request at its sender.
    pub number: u64,
    /// Tokens that are asked for.
    pub wanted: u32,
    /// Process whose grants have ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process: Option<u64>,
    /// Its grants that have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<GrantEnd>,
}

/// The response to a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenResponse {
    /// Number of the request.
    pub number: u64,
    /// The granting process.
    pub process: u64,
    /// Id of the grant.
    pub id: u64,
    /// Granted tokens.
    pub tokens: u32,
    /// Milliseconds until the next token is expected.
    pub wait_ms: u64,
}
