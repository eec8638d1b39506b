//! Number of connections that other nodes have to this one.
//!
//! The requests of clients of all other nodes may meet at one guard. On connections beyond a share of the descriptors, calls
//! are refused, so that another node can be asked, and messages are still answered. Only beyond those, connections wait to
//! be accepted.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bounds::choice::{CONNECTION_BYTES, max_accepted_peers, max_peer_connections};
use bounds::ledger::Use;
use bounds::{Budget, Holding};
use tokio::sync::Notify;

/// The connections that other nodes have.
pub struct PeerConnections {
    open: Arc<AtomicUsize>,
    /// Notified when one is closed.
    closed: Arc<Notify>,
    /// Connections on which calls are taken, and those that are accepted at all.
    limits: Option<(usize, usize)>,
    memory: Arc<Budget>,
}

/// A connection that is counted until dropped.
pub struct Counted {
    open: Arc<AtomicUsize>,
    closed: Arc<Notify>,
    surplus: bool,
    /// Given back with the connection.
    _memory: Holding,
}

impl PeerConnections {
    /// No connections, in a process that may open `descriptors`.
    pub fn new(descriptors: Option<u32>, memory: Arc<Budget>) -> Self {
        let limits =
            |descriptors| (max_peer_connections(descriptors), max_accepted_peers(descriptors));
        let limits = descriptors.map(limits);
        Self { open: Arc::default(), closed: Arc::default(), limits, memory }
    }

    /// Counts a connection that was accepted.
    pub fn add(&self) -> Counted {
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        let memory = self.memory.holding(Use::Connection);
        // The nodes of a deployment are trusted with it; their number is bounded.
        memory.force(CONNECTION_BYTES);
        Counted {
            open: self.open.clone(),
            closed: self.closed.clone(),
            surplus: self.limits.is_some_and(|(calls, _)| before >= calls),
            _memory: memory,
        }
    }

    /// Whether there are so many that those which are not needed should be closed.
    pub fn is_crowded(&self) -> bool {
        let open = self.open.load(Ordering::Relaxed);
        self.limits.is_some_and(|(calls, _)| open > calls / 4 * 3)
    }

    /// Waits until a further one may be accepted.
    pub async fn settle(&self) {
        loop {
            let mut closed = pin!(self.closed.notified());
            // One that closes between the check and the wait counts, too.
            closed.as_mut().enable();
            let open = self.open.load(Ordering::Relaxed);
            if self.limits.is_none_or(|(_, accepted)| open < accepted) {
                return;
            }
            closed.await;
        }
    }
}

impl Counted {
    /// Whether calls are refused on this connection.
    pub fn is_surplus(&self) -> bool {
        self.surplus
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        self.closed.notify_waiters();
    }
}
