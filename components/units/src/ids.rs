//! Ids of services, nodes, failure domains, regions, requests and versions.

use std::fmt;
use std::str;

use crate::macros;

/// Description of a valid name, for error messages.
pub const NAME_EXPECTED: &str = "a name of 1 to 64 lower-case letters, digits, `.`, `_` or `-`";

const MAX_NAME_BYTES: usize = 64;

pub(crate) fn is_name(text: &str) -> bool {
    let allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

macros::name! {
    /// Name of a service: a set of upstreams that handle the same calls.
    ServiceName
}
macros::name! {
    /// Id of a node, unique in the whole system.
    NodeId
}
macros::name! {
    /// Name of a failure domain.
    DomainName
}
macros::name! {
    /// Name of a region: a group of failure domains with low latency between them.
    RegionName
}
macros::name! {
    /// Author of a published configuration.
    Author
}
macros::counter! {
    /// Incarnation of a node's process; each restart has a higher one.
    Incarnation
}
macros::counter! {
    /// Version of the configuration: one more than the log offset of its publish; 0 if there is none.
    Version
}
macros::counter! {
    /// Position of a record in a stream of the log.
    Offset
}

crate::value! {
    /// Id of a root request, propagated to every call of its tree.
    pub struct RootId(pub u64);
}

impl fmt::Display for RootId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

impl str::FromStr for RootId {
    type Err = macros::ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| {
            macros::ParseError::Expected(text.to_owned(), "a hexadecimal number of up to 16 digits")
        })
    }
}
