//! Idempotency keys as callers send them.

use std::fmt;
use std::str;
use std::time::Duration;

use units::{Incarnation, NodeId, ParseError};

const TICKET_PREFIX: &str = "tk1";
const MAX_KEY_BYTES: usize = 200;

units::json_record! {
    /// One incarnation of a node.
    #[derive(Eq, Hash)]
    pub struct Holder {
        /// The node.
        pub node: NodeId,
        /// The incarnation of its process.
        pub incarnation: Incarnation,
    }
}

units::record! {
    /// A key of a request that must run at most once.
    #[derive(Eq, Hash)]
    pub enum Key {
        /// Chosen by the caller; its holder is decided by the log.
        Plain(String),
        /// Issued by the system.
        Ticket {
            /// The only holder that may run it.
            holder: Holder,
            /// Time of issue since the Unix epoch.
            issued_at: Duration,
            /// Distinguishes tickets of the same time of issue.
            nonce: u64,
        },
    }
}

impl Key {
    /// Whether a ticket was issued so long ago that its holder may no longer have it recorded. `wall_time` is the
    /// time since the Unix epoch.
    pub fn is_expired(&self, window: Duration, wall_time: Duration) -> bool {
        match self {
            Self::Plain(_) => false,
            Self::Ticket { issued_at, .. } => wall_time.saturating_sub(*issued_at) > window,
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plain(text) => out.write_str(text),
            Self::Ticket { holder: Holder { node, incarnation }, issued_at, nonce } => {
                write!(
                    out,
                    "{TICKET_PREFIX}:{node}:{incarnation}:{}:{nonce:016x}",
                    issued_at.as_millis()
                )
            }
        }
    }
}

impl str::FromStr for Key {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = |expected: &'static str| ParseError::Expected(text.to_owned(), expected);
        if text.is_empty()
            || text.len() > MAX_KEY_BYTES
            || !text.bytes().all(|byte| byte.is_ascii_graphic())
        {
            return Err(error("a key of 1 to 200 visible ASCII characters"));
        }
        match text.strip_prefix(TICKET_PREFIX).and_then(|rest| rest.strip_prefix(':')) {
            Some(rest) => parse_ticket(rest).ok_or_else(|| error("a ticket")),
            None => Ok(Self::Plain(text.to_owned())),
        }
    }
}

fn parse_ticket(text: &str) -> Option<Key> {
    let mut parts = text.split(':');
    let holder =
        Holder { node: parts.next()?.parse().ok()?, incarnation: parts.next()?.parse().ok()? };
    let issued_at = Duration::from_millis(parts.next()?.parse().ok()?);
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    parts.next().is_none().then_some(Key::Ticket { holder, issued_at, nonce })
}
