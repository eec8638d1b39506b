//! Context that a call carries from node to node: the root request's id, class, deadline and retry allowance.

use std::fmt;
use std::str;
use std::time::{Duration, Instant};

use limits::Priority;
use quarantine::Fingerprint;
use retries::RetryAllowance;
use rules::Class;
use units::{ParseError, RootId, ServiceName};

const EXPECTED: &str = "a call context";

/// Context of one call.
#[derive(Debug, Clone)]
pub struct Context {
    /// Id of the root request.
    pub root: RootId,
    /// Class of the root request.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Retries that the call and its nested calls may spend.
    pub retries: RetryAllowance,
    /// Number of calls above this one.
    pub depth: u8,
    /// Running it twice is harmless.
    pub idempotent: bool,
    /// Called service.
    pub service: ServiceName,
    /// It carries an idempotency key and must run at most once.
    pub run_once: bool,
    /// Identifies repeats of the same request.
    pub fingerprint: Fingerprint,
}

impl Context {
    /// Priority of the root request.
    pub fn priority(&self) -> Priority {
        Priority::new(self.class.rank(), self.root)
    }

    /// Time left.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Header form.
    pub fn header(&self, now: Instant) -> Header {
        Header {
            root: self.root,
            class: self.class,
            left_micros: self.left(now).as_micros() as u64,
            retries: self.retries,
            depth: self.depth,
            idempotent: self.idempotent,
            service: self.service.clone(),
            fingerprint: self.fingerprint,
            run_once: self.run_once,
        }
    }
}

/// Header form of a context. It holds the time left instead of the deadline, as the nodes' clocks differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    root: RootId,
    class: Class,
    left_micros: u64,
    retries: RetryAllowance,
    depth: u8,
    idempotent: bool,
    service: ServiceName,
    fingerprint: Fingerprint,
    run_once: bool,
}

impl Header {
    /// Context with a deadline by this node's clock.
    pub fn context(self, now: Instant) -> Context {
        Context {
            root: self.root,
            class: self.class,
            deadline: now + Duration::from_micros(self.left_micros),
            retries: self.retries,
            depth: self.depth,
            idempotent: self.idempotent,
            service: self.service,
            fingerprint: self.fingerprint,
            run_once: self.run_once,
        }
    }
}

impl fmt::Display for Header {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { root, class, left_micros, retries, depth, service, fingerprint, .. } = self;
        let (idempotent, run_once) = (u8::from(self.idempotent), u8::from(self.run_once));
        write!(
            out,
            "1;{root};{class};{left_micros};{retries};{depth};{idempotent};{service};{fingerprint};{run_once}"
        )
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
    if parts.next()? != "1" {
        return None;
    }
    Some(Header {
        root: parts.next()?.parse().ok()?,
        class: parts.next()?.parse().ok()?,
        left_micros: parts.next()?.parse().ok()?,
        retries: parts.next()?.parse().ok()?,
        depth: parts.next()?.parse().ok()?,
        idempotent: parts.next()? == "1",
        service: parts.next()?.parse().ok()?,
        fingerprint: parts.next()?.parse().ok()?,
        run_once: parts.next()? == "1",
    })
}
