//! Ids of services, nodes, places, requests and versions.

use std::fmt;
use std::str;

use crate::macros;

/// What a name must look like, for error messages.
pub const NAME_WANTED: &str = "a name of 1 to 64 lower-case letters, digits, `.`, `_` or `-`";

const NAME_MAX: usize = 64;

pub(crate) fn is_name(text: &str) -> bool {
    let allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= NAME_MAX && text.bytes().all(allowed)
}

macros::name! {
    /// Name of a service: a set of upstreams that answer the same calls.
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
    /// Name of a region: a group of failure domains with short links between them.
    RegionName
}
macros::name! {
    /// Who published a change.
    Author
}
macros::counter! {
    /// One life of a node's process; a restart has a higher one.
    Incarnation
}
macros::counter! {
    /// Version of the configuration: the log offset of the publish that made it.
    Version
}
macros::counter! {
    /// Position of a record in a stream of the log.
    Offset
}

crate::value! {
    /// Id of a root request, carried by every call of its tree.
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
