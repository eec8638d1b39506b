//! Keys as callers send them.

use std::fmt;
use std::str;
use std::time::Duration;

use units::{Incarnation, NodeId, ParseError};

const TICKET: &str = "tk1";
const LONGEST: usize = 200;

units::wire! {
    /// One life of one node.
    #[derive(Eq, Hash)]
    pub struct Holder {
        /// The node.
        pub node: NodeId,
        /// The life of its process.
        pub incarnation: Incarnation,
    }
}

units::record! {
    /// A key of a request that must run at most once.
    #[derive(Eq, Hash)]
    pub enum Key {
        /// Chosen by the caller; its holder is settled by the log.
        Plain(String),
        /// Given out by the system.
        Ticket {
            /// Who may run it.
            holder: Holder,
            /// When it was given out, since the epoch.
            at: Duration,
            /// Tells it from others.
            nonce: u64,
        },
    }
}

impl Key {
    /// Whether a ticket was given out too long ago for its holder to remember it.
    pub fn is_older(&self, window: Duration, wall: Duration) -> bool {
        match self {
            Self::Plain(_) => false,
            Self::Ticket { at, .. } => wall.saturating_sub(*at) > window,
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plain(text) => out.write_str(text),
            Self::Ticket { holder: Holder { node, incarnation }, at, nonce } => {
                write!(out, "{TICKET}:{node}:{incarnation}:{}:{nonce:016x}", at.as_millis())
            }
        }
    }
}

impl str::FromStr for Key {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = |wanted: &'static str| ParseError::Expected(text.to_owned(), wanted);
        if text.is_empty()
            || text.len() > LONGEST
            || !text.bytes().all(|byte| byte.is_ascii_graphic())
        {
            return Err(wrong("a key of 1 to 200 visible ASCII characters"));
        }
        match text.strip_prefix(TICKET).and_then(|rest| rest.strip_prefix(':')) {
            Some(rest) => ticket(rest).ok_or_else(|| wrong("a ticket")),
            None => Ok(Self::Plain(text.to_owned())),
        }
    }
}

fn ticket(text: &str) -> Option<Key> {
    let mut parts = text.split(':');
    let holder =
        Holder { node: parts.next()?.parse().ok()?, incarnation: parts.next()?.parse().ok()? };
    let at = Duration::from_millis(parts.next()?.parse().ok()?);
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    parts.next().is_none().then_some(Key::Ticket { holder, at, nonce })
}
