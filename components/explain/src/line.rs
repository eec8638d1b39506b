//! Log lines, read back.

use std::fmt;

use serde::Deserialize;

/// One line of a node's log.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// Time of day at the node, in milliseconds.
    pub at: u64,
    /// The node.
    pub node: String,
    /// Lines that went missing before this one.
    #[serde(default)]
    pub left_out: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What happened, as far as it explains requests; docs/OPERATIONS.md lists all fields.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[allow(missing_docs, reason = "docs/OPERATIONS.md lists every event with its fields")]
pub enum Event {
    ConfigurationTaken {
        version: u64,
        from: String,
    },
    ConfigurationRefused {
        from: String,
        why: String,
    },
    StoreLost {
        why: String,
    },
    StoreRegained {
        after_ms: u64,
    },
    UpstreamChanged {
        id: String,
        standing: String,
        slots: u32,
    },
    MemberChanged {
        member: String,
        standing: String,
        from: String,
    },
    PeerLost {
        peer: String,
        why: String,
    },
    PlanChanged {
        shares: String,
        loads: String,
    },
    Refused {
        id: String,
        route: String,
        why: String,
        share: f64,
        plan_ms: u64,
        after_ms: u64,
        tries: u32,
        version: u64,
    },
    Unrouted {
        id: String,
        host: String,
        path: String,
        version: u64,
    },
    Retried {
        id: String,
        route: String,
        from: String,
        why: String,
    },
    Failed {
        id: String,
        route: String,
        asked: String,
        why: String,
        status: u16,
        taken_ms: u64,
        version: u64,
    },
    Turned {
        id: String,
        why: String,
        running: u32,
        waiting: u32,
        limit: u32,
        wait_ms: u64,
    },
    Broken {
        id: String,
        upstream: String,
        why: String,
        after_ms: u64,
    },
    Stopping {},
    Woke {
        stood_ms: u64,
    },
    #[serde(other)]
    Other,
}

impl Event {
    /// The request that it is about.
    pub fn id(&self) -> Option<&str> {
        match self {
            Self::Refused { id, .. }
            | Self::Unrouted { id, .. }
            | Self::Retried { id, .. }
            | Self::Failed { id, .. }
            | Self::Turned { id, .. }
            | Self::Broken { id, .. } => Some(id),
            _ => None,
        }
    }
}

impl fmt::Display for Line {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} {}: ", self.at, self.node)?;
        if self.left_out > 0 {
            write!(out, "({} lines missing before) ", self.left_out)?;
        }
        self.event.fmt(out)
    }
}

impl fmt::Display for Event {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigurationTaken { version, from } => {
                write!(out, "version {version} is in force, from {from}")
            }
            Self::ConfigurationRefused { from, why } => {
                write!(out, "a configuration from {from} was refused: {why}")
            }
            Self::StoreLost { why } => write!(out, "the store is lost: {why}"),
            Self::StoreRegained { after_ms } => {
                write!(out, "the store is back after {after_ms} ms")
            }
            Self::UpstreamChanged { id, standing, slots } => {
                write!(out, "its upstream {id} is {standing}, with {slots} slots")
            }
            Self::MemberChanged { member, standing, from } => {
                write!(out, "hears from {from} that {member} is {standing}")
            }
            Self::PeerLost { peer, why } => write!(out, "lost its connection to {peer}: {why}"),
            Self::PlanChanged { shares, loads } => {
                write!(out, "lets in `{shares}`, as loads are `{loads}`")
            }
            Self::Refused { route, why, share, plan_ms, after_ms, tries, version, .. } => write!(
                out,
                "refused ({why}): route {route} of version {version}, {:.0}% let in by a plan {plan_ms} ms old, \
                 {tries} nodes asked, come back after {after_ms} ms",
                share * 100.0
            ),
            Self::Unrouted { host, path, version, .. } => {
                write!(out, "no route for {host}{path} in version {version}")
            }
            Self::Retried { route, from, why, .. } => {
                write!(out, "sent again on {route}, as at {from} it was {why}")
            }
            Self::Failed { asked, why, status, taken_ms, .. } => {
                write!(out, "answered {status} after {taken_ms} ms: {why} at {asked}")
            }
            Self::Turned { why, running, waiting, limit, wait_ms, .. } => write!(
                out,
                "turned away ({why}): {running} of {limit} slots taken, {waiting} wait, {wait_ms} ms to wait"
            ),
            Self::Broken { upstream, why, after_ms, .. } => {
                write!(out, "no answer of upstream {upstream} after {after_ms} ms: {why}")
            }
            Self::Stopping {} => out.write_str("stops"),
            Self::Woke { stood_ms } => write!(out, "stood still for {stood_ms} ms"),
            Self::Other => out.write_str("something else"),
        }
    }
}

/// Reads a line; what stands before the object, as log collectors put it, is passed over. None for other text.
pub fn parse(text: &str) -> Option<Line> {
    let object = &text[text.find('{')?..];
    serde_json::from_str(object).ok()
}
