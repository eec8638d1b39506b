//! What an incarnation of an upstream has announced in its answers, as nodes pass it to each other.
//!
//! The node beside the upstream adds it to its answers, and entries return it with their calls: a node that was
//! restarted so learns it before it sends the first request.

use std::fmt;
use std::str;
use std::time::{Duration, Instant};

use units::{ParseError, Rate};

/// Announcements of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// Identifies the incarnation.
    pub incarnation: u64,
    /// Requests per second that it accepts from all callers together.
    pub rate_limit: Option<Rate>,
    /// How long ago it announced that it is leaving.
    pub leaving: Option<Duration>,
}

/// A notice as it was when it was received.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedNotice {
    notice: Notice,
    at: Instant,
}

impl ReceivedNotice {
    /// A notice received at `at`.
    pub fn new(notice: Notice, at: Instant) -> Self {
        Self { notice, at }
    }

    /// The notice as it is now.
    pub fn aged(&self, now: Instant) -> Notice {
        let passed = now.saturating_duration_since(self.at);
        Notice { leaving: self.notice.leaving.map(|age| age + passed), ..self.notice }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:x};", self.incarnation)?;
        if let Some(rate) = self.rate_limit {
            write!(out, "{rate}")?;
        }
        self.leaving.map_or(Ok(()), |age| write!(out, ";{}", age.as_millis()))
    }
}

impl str::FromStr for Notice {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseError::Expected(text.to_owned(), "a notice"))
    }
}

fn parse(text: &str) -> Option<Notice> {
    let mut parts = text.split(';');
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let rate_limit = match parts.next()? {
        "" => None,
        rate => Some(rate.parse().ok()?),
    };
    let leaving = match parts.next() {
        None => None,
        Some(age_ms) => Some(Duration::from_millis(age_ms.parse().ok()?)),
    };
    parts.next().is_none().then_some(Notice { incarnation, rate_limit, leaving })
}
