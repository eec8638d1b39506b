//! Bounds on the connections of clients, and which of them is closed for a new one or for the memory of others.
//!
//! Their number is bounded by the descriptors of the process, and the sum of what they may hold by its memory: each
//! connection is counted with the most that it can make the process and the kernel hold.
//!
//! At a bound, the connection is closed that is least likely to belong to a caller that is being served: first those that
//! stall in a head, in a body or in reading a response, then those that never had a request, then idle ones. If all are
//! busy with a request, a new one is refused. Designed for some thousand connections; each decision looks at all of them,
//! and is made only at a bound.

use std::time::{Duration, Instant};

/// Part of the descriptors of a process that connections of clients may take.
const CLIENT_SHARE: u32 = 2;
/// The same for connections of other nodes, each with a request, and for those to other nodes.
const PEER_SHARE: u32 = 6;
const OUTGOING_SHARE: u32 = 6;
/// Connections of other nodes beyond their share, for messages and refusals.
const SURPLUS_SHARE: u32 = 64;

/// Most that a connection takes: its task and buffers, and the smaller queues of the kernel.
pub const CONNECTION_BYTES: u64 = 80 << 10;
/// Further bytes of a connection whose queues are large.
pub const QUEUE_BYTES: u64 = 320 << 10;
/// Further bytes of a request head that is longer than [`SHORT_HEAD_BYTES`].
pub const HEAD_BYTES: u64 = 40 << 10;
/// Longest request head that is covered by [`CONNECTION_BYTES`].
pub const SHORT_HEAD_BYTES: usize = 4 << 10;
/// Most that a request to another node takes, besides its body and its response.
pub const FORWARD_BYTES: u64 = 32 << 10;
/// Further bytes of one whose body is larger than a send queue.
pub const SEND_QUEUE_BYTES: u64 = 96 << 10;
/// Most that a response takes while it is passed on as it arrives.
pub const STREAM_BYTES: u64 = 192 << 10;

/// Time without progress after which a client counts as stalled. Clients that send or read do so within milliseconds.
pub const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes of a body that count as progress.
pub const PROGRESS_BYTES: usize = 16 << 10;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request has begun, or its response is being written.
    Idle,
    /// A part of a request head has arrived.
    Head,
    /// A request head has arrived, and a part of the body.
    Body,
    /// A request is being handled.
    Busy,
}

/// State of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Activity {
    /// What it is used for.
    pub phase: Phase,
    /// Since when, or since the latest progress.
    pub since: Instant,
    /// Whether a request on it has been answered.
    pub used: bool,
    /// Whether the client doesn't take what is written.
    pub blocked: bool,
}

impl Activity {
    /// A new connection.
    pub fn new(now: Instant) -> Self {
        Self { phase: Phase::Idle, since: now, used: false, blocked: false }
    }

    /// Order in which connections are closed; none if it is not closed for others.
    fn rank(&self, now: Instant) -> Option<u8> {
        let waits_for_client = self.blocked || matches!(self.phase, Phase::Head | Phase::Body);
        match self.phase {
            Phase::Busy => None,
            _ if waits_for_client && now.saturating_duration_since(self.since) >= STALL_TIME => {
                Some(0)
            }
            Phase::Idle if self.blocked => Some(4),
            Phase::Idle if !self.used => Some(1),
            Phase::Head => Some(2),
            Phase::Idle => Some(3),
            Phase::Body => Some(4),
        }
    }
}

/// Connections that clients may have, in a process that may open `descriptors`.
pub fn max_connections(descriptors: u32) -> usize {
    (descriptors / CLIENT_SHARE).max(1) as usize
}

/// Connections of other nodes whose calls are taken.
pub fn max_peer_connections(descriptors: u32) -> usize {
    (descriptors / PEER_SHARE).max(1) as usize
}

/// Connections of other nodes that are accepted at all: on those beyond the others, calls are refused.
pub fn max_accepted_peers(descriptors: u32) -> usize {
    max_peer_connections(descriptors) + (descriptors / SURPLUS_SHARE).max(1) as usize
}

/// Connections to other nodes.
pub fn max_outgoing(descriptors: u32) -> usize {
    (descriptors / OUTGOING_SHARE).max(1) as usize
}

/// The connection to close for a new one, or for its memory.
pub fn to_close<K>(connections: impl Iterator<Item = (K, Activity)>, now: Instant) -> Option<K> {
    let ranked = connections
        .filter_map(|(key, activity)| Some((key, (activity.rank(now)?, activity.since))));
    ranked.min_by_key(|(_, rank)| *rank).map(|(key, _)| key)
}
