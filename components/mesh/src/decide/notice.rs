//! What an incarnation of an upstream has announced in its answers, as nodes pass it to each other.
//!
//! The node beside the upstream adds it to its answers, and entries return it with their calls: a node that was
//! restarted so learns it before it sends the first request.

use std::fmt;
use std::str;

use units::{ParseError, Rate};

/// Announcements of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// Identifies the incarnation.
    pub incarnation: u64,
    /// Requests per second that it accepts from all callers together.
    pub rate_limit: Option<Rate>,
}

impl fmt::Display for Notice {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:x};", self.incarnation)?;
        self.rate_limit.map_or(Ok(()), |rate| rate.fmt(out))
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
    parts.next().is_none().then_some(Notice { incarnation, rate_limit })
}
