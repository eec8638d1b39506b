//! Outcome of a call at a guard, and its form as a header.

use std::fmt;
use std::str;
use std::time::Duration;

use http::response;
use units::ParseError;

use super::body::Payload;
use crate::platform::Platform;

/// Why a request was refused before any of it was sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No configuration is active yet.
    Unconfigured,
    /// The configuration is not confirmed, so that keys may have been revoked.
    Unconfirmed,
    /// No upstream of the service is known or has announced itself.
    NoUpstream,
    /// The upstream is leaving.
    Leaving,
    /// The expected or actual wait for a slot is too long.
    Full,
    /// The rate limit that the upstream announced allows the request only later.
    RateLimited,
    /// The tenant has used up its quota.
    Quota,
    /// A service in the request's call tree is overloaded.
    Overload,
    /// The deadline passed.
    Deadline,
    /// The deadline passed before the request's body was in.
    BodyLate,
    /// Other bodies take up the budget of the node.
    BodyBudget,
    /// The node has no descriptor left for the request.
    Connections,
    /// The node or the upstream can't be reached.
    Unreachable,
    /// The node is about to exit.
    Stopping,
}

impl RefusalReason {
    const ALL: [(Self, &'static str); 14] = [
        (Self::Unconfigured, "unconfigured"),
        (Self::Unconfirmed, "unconfirmed"),
        (Self::NoUpstream, "no-upstream"),
        (Self::Leaving, "leaving"),
        (Self::Full, "full"),
        (Self::RateLimited, "limited"),
        (Self::Quota, "quota"),
        (Self::Overload, "overload"),
        (Self::Deadline, "deadline"),
        (Self::BodyLate, "body-late"),
        (Self::BodyBudget, "body-budget"),
        (Self::Connections, "connections"),
        (Self::Unreachable, "unreachable"),
        (Self::Stopping, "stopping"),
    ];

    /// Name in logs, metrics and headers.
    pub fn as_str(self) -> &'static str {
        Self::ALL.iter().find(|(reason, _)| *reason == self).map_or("", |(_, name)| name)
    }
}

/// A refusal: the request has not run and will not run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Expected wait until a slot is free and the rate limit allows the request.
    pub wait: Duration,
}

impl Refusal {
    /// A refusal without an expected wait.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, wait: Duration::ZERO }
    }
}

/// Why a request that was sent to an upstream, and may have run, got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The connection to the upstream, or to its node, was lost.
    ConnectionLost,
    /// The response does not belong to the request.
    Mismatch,
    /// The upstream crashed while it ran the request.
    Crashed,
    /// No answer arrived in time.
    Timeout,
    /// Upstreams crashed while running the same request earlier.
    Quarantined,
    /// A node had to exit before the answer arrived.
    Stopped,
}

impl Fault {
    const ALL: [(Self, &'static str); 6] = [
        (Self::ConnectionLost, "lost"),
        (Self::Mismatch, "foreign"),
        (Self::Crashed, "died"),
        (Self::Timeout, "late"),
        (Self::Quarantined, "quarantined"),
        (Self::Stopped, "stopped"),
    ];

    /// Name in logs, metrics and headers.
    pub fn as_str(self) -> &'static str {
        Self::ALL.iter().find(|(fault, _)| *fault == self).map_or("", |(_, name)| name)
    }
}

/// Outcome of a call.
pub enum Outcome<P: Platform> {
    /// The upstream answered.
    Answer {
        /// Status and headers.
        head: Box<response::Parts>,
        /// Body.
        body: Payload<P>,
        /// Whether the upstream says that it did not run the request.
        not_run: bool,
    },
    /// Refused; the request did not run.
    Refused(Refusal),
    /// Failed; the request may have run.
    Failed(Fault),
}

/// An outcome as a header.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Header {
    /// The upstream answered; the flag says that it did not run the request.
    Answer(bool),
    /// Refused; the request did not run.
    Refused(Refusal),
    /// Failed; the request may have run.
    Failed(Fault),
}

impl fmt::Display for Header {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer(not_run) => write!(out, "answer;{}", u8::from(*not_run)),
            Self::Refused(Refusal { reason, wait }) => {
                write!(out, "refused;{};{}", reason.as_str(), wait.as_millis())
            }
            Self::Failed(fault) => write!(out, "failed;{}", fault.as_str()),
        }
    }
}

impl str::FromStr for Header {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseError::Expected(text.to_owned(), "an outcome"))
    }
}

fn parse(text: &str) -> Option<Header> {
    let mut parts = text.split(';');
    match (parts.next()?, parts.next()?, parts.next()) {
        ("answer", not_run, None) => Some(Header::Answer(not_run == "1")),
        ("refused", reason, Some(wait)) => {
            let (reason, _) = RefusalReason::ALL.into_iter().find(|(_, name)| *name == reason)?;
            Some(Header::Refused(Refusal {
                reason,
                wait: Duration::from_millis(wait.parse().ok()?),
            }))
        }
        ("failed", fault, None) => {
            let (fault, _) = Fault::ALL.into_iter().find(|(_, name)| *name == fault)?;
            Some(Header::Failed(fault))
        }
        _ => None,
    }
}
