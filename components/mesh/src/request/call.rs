//! What a call carries from the entry to the guard in addition to the request.

use std::fmt;
use std::str;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use units::ParseError;

use crate::decide::budget::{self, Rank};

/// Header with the [`Call`], sent to another node.
pub const CALL: HeaderName = HeaderName::from_static("almondknot-call");
/// Header with the outcome of the call.
pub const OUTCOME: HeaderName = HeaderName::from_static("almondknot-outcome");
/// Header with the load of the upstream.
pub const LOAD: HeaderName = HeaderName::from_static("almondknot-load");

/// Header with a [`Notice`](crate::decide::notice::Notice): from a guard about its upstream, and back to it.
pub const NOTICE: HeaderName = HeaderName::from_static("almondknot-notice");

/// Start of the names of all headers that only nodes set.
const INTERNAL_PREFIX: &str = "almondknot-";
const EXPECTED: &str = "a call";

const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRANSFER_ENCODING,
    header::TRAILER,
    header::UPGRADE,
];

/// Attributes of a root request that all calls of its tree inherit.
#[derive(Debug, Clone, PartialEq)]
pub struct Root {
    /// Class of the root request, named like its route where its priority is the route's.
    pub route: Arc<str>,
    /// Priority of the root request; 0 is the most urgent.
    pub priority: u8,
    /// When the root request's target latency is reached.
    pub target_time: Instant,
    /// Number given at random, which orders the trees of a priority.
    pub number: u16,
}

impl Root {
    /// Order in which the tree gets retries.
    pub fn rank(&self) -> Rank {
        Rank::new(self.priority, self.number)
    }
}

/// A call on its way to a guard.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Attributes of the root request.
    pub root: Root,
    /// Service that runs the call.
    pub service: Arc<str>,
    /// Service of the machine where the call started.
    pub caller: Arc<str>,
    /// Deadline, after which the caller no longer waits.
    pub deadline: Instant,
    /// Longest wait for a slot that the entry accepts at this guard.
    pub max_wait: Duration,
    /// Whether the call may safely run twice.
    pub idempotent: bool,
    /// Whether an upstream makes the call for a request that it is running.
    pub internal: bool,
}

impl Call {
    /// Time until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// The call as a header, with durations in place of instants, as clocks of machines differ.
    pub fn header(&self, now: Instant) -> Header {
        let target_ms = self.root.target_time.saturating_duration_since(now).as_millis() as u64;
        let overdue_ms = now.saturating_duration_since(self.root.target_time).as_millis() as u64;
        Header {
            service: self.service.clone(),
            caller: self.caller.clone(),
            route: self.root.route.clone(),
            priority: self.root.priority,
            number: self.root.number,
            target_ms: target_ms as i64 - overdue_ms as i64,
            remaining_ms: self.remaining(now).as_millis() as u64,
            wait_ms: self.max_wait.as_millis() as u64,
            idempotent: self.idempotent,
            internal: self.internal,
        }
    }
}

/// A call as a header.
#[derive(Debug, Clone, PartialEq)]
pub struct Header {
    service: Arc<str>,
    caller: Arc<str>,
    route: Arc<str>,
    priority: u8,
    number: u16,
    target_ms: i64,
    remaining_ms: u64,
    wait_ms: u64,
    idempotent: bool,
    internal: bool,
}

impl Header {
    /// The call, with instants of this node's clock.
    pub fn call(self, now: Instant) -> Call {
        let distance = Duration::from_millis(self.target_ms.unsigned_abs());
        let target_time = if self.target_ms < 0 {
            now.checked_sub(distance).unwrap_or(now)
        } else {
            now + distance
        };
        Call {
            root: Root {
                route: self.route,
                priority: self.priority,
                target_time,
                number: self.number,
            },
            service: self.service,
            caller: self.caller,
            deadline: now + Duration::from_millis(self.remaining_ms),
            max_wait: Duration::from_millis(self.wait_ms),
            idempotent: self.idempotent,
            internal: self.internal,
        }
    }
}

impl fmt::Display for Header {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, caller, route, priority, number, target_ms, .. } = self;
        let Self { remaining_ms, wait_ms, .. } = self;
        let (idempotent, internal) = (u8::from(self.idempotent), u8::from(self.internal));
        write!(out, "{service};{caller};{route};{priority};{target_ms};{remaining_ms};")?;
        write!(out, "{wait_ms};{idempotent};{internal};{number}")
    }
}

impl str::FromStr for Header {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseError::Expected(text.to_owned(), EXPECTED))
    }
}

fn parse(text: &str) -> Option<Header> {
    let mut parts = text.split(';');
    let header = Header {
        service: parts.next()?.into(),
        caller: parts.next()?.into(),
        route: parts.next()?.into(),
        priority: parts.next()?.parse().ok()?,
        target_ms: parts.next()?.parse().ok()?,
        remaining_ms: parts.next()?.parse().ok()?,
        wait_ms: parts.next()?.parse().ok()?,
        idempotent: parts.next()? == "1",
        internal: parts.next()? == "1",
        // A node of an earlier version sends none.
        number: parts.next().map_or(Some(budget::UNKNOWN), |number| number.parse().ok())?,
    };
    parts.next().is_none().then_some(header)
}

/// Head of a request without hop-by-hop headers.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: http::uri::PathAndQuery,
    /// Headers.
    pub headers: HeaderMap,
    /// Id of the caller's attempt.
    pub id: HeaderValue,
}

/// Whether a status is that of a final response; one outside of the five classes (RFC 9110, section 15) is not, as no
/// client has to understand it.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1) and those that only nodes set.
pub fn strip_headers(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        let named: Vec<HeaderName> = headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .filter_map(|name| name.trim().parse().ok())
            // Required of every request, so that it can't be a hop-by-hop header.
            .filter(|name| *name != header::HOST)
            .collect();
        for name in named {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP.iter().chain([&header::EXPECT]) {
        headers.remove(name);
    }
    let is_internal = |name: &&HeaderName| name.as_str().starts_with(INTERNAL_PREFIX);
    let internal: Vec<HeaderName> = headers.keys().filter(is_internal).cloned().collect();
    for name in internal {
        headers.remove(name);
    }
}

/// Parses the value of a header.
pub fn parse_header<T: str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Sets a header to a displayed value.
pub fn set_header(headers: &mut HeaderMap, name: HeaderName, value: impl fmt::Display) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}
