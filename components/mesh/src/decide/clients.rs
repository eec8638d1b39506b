//! Bound on the connections of clients, and which of them is closed for a new one.
//!
//! At the bound, the connection that has been unused for longest is closed: one that is idle, or whose request head is
//! not complete. If all are busy with a request, the new one is refused. Designed for some thousand connections; each
//! decision looks at all of them, and is made only at the bound.

use std::time::Instant;

/// Part of the descriptors of a process that connections of clients may take. Each request may need one more to a node,
/// and each call of a node one to the upstream.
const CLIENT_SHARE: u32 = 2;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request has begun.
    Idle,
    /// A part of a request head has arrived.
    Head,
    /// A request is being handled.
    Busy,
}

/// Connections that clients may have, in a process that may open `descriptors`.
pub fn max_connections(descriptors: u32) -> usize {
    (descriptors / CLIENT_SHARE).max(1) as usize
}

/// The connection to close for a new one: the one that is not busy and has been in its phase for longest.
pub fn longest_unused<K>(connections: impl Iterator<Item = (K, Phase, Instant)>) -> Option<K> {
    let unused = connections.filter(|(_, phase, _)| *phase != Phase::Busy);
    unused.min_by_key(|(_, _, since)| *since).map(|(key, _, _)| key)
}
