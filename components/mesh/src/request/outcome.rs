//! What becomes of a call at a guard, and how it travels back to the entry.

use std::fmt;
use std::str;
use std::time::Duration;

use http::response;
use units::ParseError;

use super::body::Payload;
use crate::platform::Platform;

/// Why a request was refused before a byte of it went to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Why {
    /// No configuration is known yet.
    Unconfigured,
    /// No upstream of the service is known, or it has not been heard of.
    NoUpstream,
    /// The upstream is leaving.
    Leaving,
    /// It would have waited, or has waited, too long for a slot.
    Full,
    /// A service in its tree has no room for it.
    Overload,
    /// Its time was up.
    Deadline,
    /// The node or the upstream could not be reached.
    Unreachable,
}

impl Why {
    const ALL: [(Self, &'static str); 7] = [
        (Self::Unconfigured, "unconfigured"),
        (Self::NoUpstream, "no-upstream"),
        (Self::Leaving, "leaving"),
        (Self::Full, "full"),
        (Self::Overload, "overload"),
        (Self::Deadline, "deadline"),
        (Self::Unreachable, "unreachable"),
    ];

    /// Its name in logs, metrics and headers.
    pub fn as_str(self) -> &'static str {
        Self::ALL.iter().find(|(why, _)| *why == self).map_or("", |(_, name)| name)
    }
}

/// A refusal: the request has not run and never will.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Why.
    pub why: Why,
    /// Wait that was expected, after which there may be room.
    pub wait: Duration,
}

impl Refusal {
    /// A refusal that says nothing of when to come back.
    pub fn new(why: Why) -> Self {
        Self { why, wait: Duration::ZERO }
    }
}

/// Why there is no answer of an upstream that was sent the request: it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The connection to the upstream, or to its node, was lost.
    Lost,
    /// What came back is not the answer to this request.
    Foreign,
    /// The upstream died while it ran the request.
    Died,
    /// No answer came in time.
    Late,
    /// Upstreams died while they ran the same request earlier.
    Quarantined,
}

impl Fault {
    const ALL: [(Self, &'static str); 5] = [
        (Self::Lost, "lost"),
        (Self::Foreign, "foreign"),
        (Self::Died, "died"),
        (Self::Late, "late"),
        (Self::Quarantined, "quarantined"),
    ];

    /// Its name in logs, metrics and headers.
    pub fn as_str(self) -> &'static str {
        Self::ALL.iter().find(|(fault, _)| *fault == self).map_or("", |(_, name)| name)
    }
}

/// What became of a call.
pub enum Outcome<P: Platform> {
    /// The upstream answered.
    Answer {
        /// Status and headers.
        head: Box<response::Parts>,
        /// Body.
        body: Payload<P>,
        /// The upstream says that it did not run the request.
        unrun: bool,
    },
    /// Refused, not run.
    Refused(Refusal),
    /// It may have run.
    Failed(Fault),
}

/// An outcome as a header.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Header {
    /// An answer of the upstream, and whether it says that it did not run the request.
    Answer(bool),
    /// A refusal.
    Refused(Refusal),
    /// A failure.
    Failed(Fault),
}

impl fmt::Display for Header {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer(unrun) => write!(out, "answer;{}", u8::from(*unrun)),
            Self::Refused(Refusal { why, wait }) => {
                write!(out, "refused;{};{}", why.as_str(), wait.as_millis())
            }
            Self::Failed(fault) => write!(out, "failed;{}", fault.as_str()),
        }
    }
}

impl str::FromStr for Header {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        read(text).ok_or_else(|| ParseError::Expected(text.to_owned(), "an outcome"))
    }
}

fn read(text: &str) -> Option<Header> {
    let mut parts = text.split(';');
    match (parts.next()?, parts.next()?, parts.next()) {
        ("answer", unrun, None) => Some(Header::Answer(unrun == "1")),
        ("refused", why, Some(wait)) => {
            let (why, _) = Why::ALL.into_iter().find(|(_, name)| *name == why)?;
            Some(Header::Refused(Refusal { why, wait: Duration::from_millis(wait.parse().ok()?) }))
        }
        ("failed", fault, None) => {
            let (fault, _) = Fault::ALL.into_iter().find(|(_, name)| *name == fault)?;
            Some(Header::Failed(fault))
        }
        _ => None,
    }
}
