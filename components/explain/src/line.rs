//! Log lines of nodes, parsed.

use std::fmt;

use serde::Deserialize;

/// One line of a node's log.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// Wall-clock time at the node, in milliseconds.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Node that wrote the line.
    pub node: String,
    /// Lines that the node dropped before this one.
    #[serde(default, rename = "left_out")]
    pub dropped: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// Events that help to explain requests; docs/OPERATIONS.md lists all events and fields.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[allow(missing_docs, reason = "docs/OPERATIONS.md lists every event with its fields")]
pub enum Event {
    #[serde(rename = "configuration-taken")]
    ConfigurationApplied {
        version: u64,
        from: String,
    },
    ConfigurationRefused {
        from: String,
        #[serde(rename = "why")]
        reason: String,
    },
    StoreLost {
        #[serde(rename = "why")]
        reason: String,
        /// Missing in logs of earlier versions.
        #[serde(default)]
        asked_ms: u64,
    },
    #[serde(rename = "store-regained")]
    StoreRecovered {
        after_ms: u64,
    },
    StoreRestored {
        before: u64,
        after: u64,
    },
    UpstreamChanged {
        id: String,
        #[serde(rename = "standing")]
        state: String,
        slots: u32,
    },
    RateLimitChanged {
        upstream: String,
        before: Option<f64>,
        after: Option<f64>,
        from: String,
    },
    MemberChanged {
        member: String,
        #[serde(rename = "standing")]
        state: String,
        from: String,
    },
    PeerLost {
        peer: String,
        #[serde(rename = "why")]
        reason: String,
    },
    PlanChanged {
        shares: String,
        loads: String,
    },
    Refused {
        id: String,
        route: String,
        #[serde(rename = "why")]
        reason: String,
        share: f64,
        /// Age of the admission plan.
        plan_ms: u64,
        #[serde(rename = "after_ms")]
        retry_ms: u64,
        #[serde(rename = "tries")]
        attempts: u32,
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
        #[serde(rename = "why")]
        reason: String,
    },
    Failed {
        id: String,
        route: String,
        #[serde(rename = "asked")]
        target: String,
        #[serde(rename = "why")]
        reason: String,
        status: u16,
        #[serde(rename = "taken_ms")]
        elapsed_ms: u64,
        version: u64,
    },
    #[serde(rename = "turned")]
    Rejected {
        id: String,
        #[serde(rename = "why")]
        reason: String,
        running: u32,
        waiting: u32,
        limit: u32,
        #[serde(default)]
        rate: Option<f64>,
        wait_ms: u64,
    },
    #[serde(rename = "broken")]
    UpstreamFailed {
        id: String,
        upstream: String,
        #[serde(rename = "why")]
        reason: String,
        after_ms: u64,
    },
    Stopping {},
    #[serde(rename = "woke")]
    Resumed {
        #[serde(rename = "stood_ms")]
        stalled_ms: u64,
    },
    #[serde(other)]
    Other,
}

impl Event {
    /// Id of the request it belongs to.
    pub fn request_id(&self) -> Option<&str> {
        match self {
            Self::Refused { id, .. }
            | Self::Unrouted { id, .. }
            | Self::Retried { id, .. }
            | Self::Failed { id, .. }
            | Self::Rejected { id, .. }
            | Self::UpstreamFailed { id, .. } => Some(id),
            _ => None,
        }
    }
}

impl fmt::Display for Line {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} {}: ", self.at_ms, self.node)?;
        if self.dropped > 0 {
            write!(out, "({} log lines dropped before this one) ", self.dropped)?;
        }
        self.event.fmt(out)
    }
}

impl Event {
    /// Formats what a node logs of the upstream beside it.
    fn fmt_guard_event(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UpstreamChanged { id, state, slots } => {
                write!(out, "upstream {id} is {state} with {slots} slots")
            }
            Self::RateLimitChanged { upstream, before, after, from } => {
                let rate = |rate: &Option<f64>| {
                    rate.map_or("unlimited".to_owned(), |rate| format!("{rate}/s"))
                };
                let (before, after) = (rate(before), rate(after));
                write!(out, "rate limit of upstream {upstream}: {before} to {after} ({from})")
            }
            Self::Rejected { reason, running, waiting, limit, rate, wait_ms, .. } => {
                write!(
                    out,
                    "rejected ({reason}): {running} of {limit} slots in use, {waiting} queued, wait {wait_ms} ms"
                )?;
                rate.map_or(Ok(()), |rate| write!(out, ", {rate} requests/s allowed"))
            }
            Self::UpstreamFailed { upstream, reason, after_ms, .. } => {
                write!(out, "no answer from upstream {upstream} after {after_ms} ms: {reason}")
            }
            _ => Ok(()),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigurationApplied { version, from } => {
                write!(out, "configuration version {version} in force, received from {from}")
            }
            Self::ConfigurationRefused { from, reason } => {
                write!(out, "configuration from {from} refused: {reason}")
            }
            Self::StoreLost { reason, asked_ms } => {
                write!(out, "store unavailable after {asked_ms} ms: {reason}")
            }
            Self::StoreRecovered { after_ms } => {
                write!(out, "store available again after {after_ms} ms")
            }
            Self::StoreRestored { before, after } => {
                write!(out, "store restored from an older copy: epoch {after} after {before}")
            }
            Self::MemberChanged { member, state, from } => {
                write!(out, "member {member} is {state}, reported by {from}")
            }
            Self::PeerLost { peer, reason } => write!(out, "connection to {peer} lost: {reason}"),
            Self::PlanChanged { shares, loads } => {
                write!(out, "admission plan changed: shares `{shares}`, loads `{loads}`")
            }
            Self::Refused {
                route, reason, share, plan_ms, retry_ms, attempts, version, ..
            } => write!(
                out,
                "refused ({reason}): route {route} of version {version}, {:.0}% admitted by a plan {plan_ms} ms old, \
                 {attempts} nodes tried, retry after {retry_ms} ms",
                share * 100.0
            ),
            Self::Unrouted { host, path, version, .. } => {
                write!(out, "no route for {host}{path} in version {version}")
            }
            Self::Retried { route, from, reason, .. } => {
                write!(out, "retried on route {route}: {reason} at {from}")
            }
            Self::Failed { target, reason, status, elapsed_ms, .. } => {
                write!(out, "answered {status} after {elapsed_ms} ms: {reason} at {target}")
            }
            Self::Stopping {} => out.write_str("stopping"),
            Self::Resumed { stalled_ms } => write!(out, "resumed after a stall of {stalled_ms} ms"),
            Self::UpstreamChanged { .. }
            | Self::RateLimitChanged { .. }
            | Self::Rejected { .. }
            | Self::UpstreamFailed { .. } => self.fmt_guard_event(out),
            Self::Other => out.write_str("other event"),
        }
    }
}

/// Parses a line, skipping any prefix that a log collector put before the JSON object; `None` for other text.
pub fn parse(text: &str) -> Option<Line> {
    let object = &text[text.find('{')?..];
    serde_json::from_str(object).ok()
}
