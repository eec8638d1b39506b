//! Short queue in front of an upstream, ordered by class, then calls within running trees before new trees, then
//! priority.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Instant;

use crate::controller::AdmissionRequest;
use crate::priority::Priority;

/// Position of a queued request. The highest rank sorts last, and within a rank the oldest request.
type Position = (Rank, Reverse<u64>);

units::value! {
    /// Order in which queued requests are served; the lowest is shed first.
    pub struct Rank {
        /// Rank of the root request's class.
        class_rank: u16,
        /// The call belongs to a running tree: shedding it would waste the work done so far.
        in_tree: bool,
        /// Priority within the class.
        priority: Priority,
    }
}

impl Rank {
    /// Rank of an offered request.
    pub fn of<K>(request: &AdmissionRequest<K>) -> Self {
        Self {
            class_rank: request.priority.class_rank(),
            in_tree: !request.is_root,
            priority: request.priority,
        }
    }
}

/// A queued request.
#[derive(Debug, Clone)]
pub struct WaitingRequest<K> {
    /// Identifies the request.
    pub key: K,
    /// Its rank.
    pub rank: Rank,
    /// When its wait times out.
    pub expires_at: Instant,
}

/// Queued requests, ordered by rank and age.
#[derive(Debug, Clone)]
pub struct Queue<K> {
    order: BTreeMap<Position, WaitingRequest<K>>,
    positions: HashMap<K, Position>,
    next_number: u64,
}

impl<K: Copy + Eq + Hash> Queue<K> {
    /// An empty queue.
    pub fn new() -> Self {
        Self { order: BTreeMap::new(), positions: HashMap::new(), next_number: 0 }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Number of requests that would be served before a new one of this rank.
    pub fn ahead(&self, rank: Rank) -> usize {
        self.order.range((rank, Reverse(u64::MAX))..).count()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: WaitingRequest<K>) {
        let position = (waiting.rank, Reverse(self.next_number));
        self.next_number += 1;
        self.positions.insert(waiting.key, position);
        self.order.insert(position, waiting);
    }

    /// Removes the request to serve next.
    pub fn pop(&mut self) -> Option<WaitingRequest<K>> {
        let (_, waiting) = self.order.pop_last()?;
        self.positions.remove(&waiting.key);
        Some(waiting)
    }

    /// Removes the request to shed next, if its rank is below `rank`.
    pub fn shed_below(&mut self, rank: Rank) -> Option<WaitingRequest<K>> {
        let entry = self.order.first_entry().filter(|entry| entry.get().rank < rank)?;
        let waiting = entry.remove();
        self.positions.remove(&waiting.key);
        Some(waiting)
    }

    /// Removes a request whose caller is gone; false when it is not queued.
    pub fn remove(&mut self, key: K) -> bool {
        match self.positions.remove(&key) {
            Some(position) => self.order.remove(&position).is_some(),
            None => false,
        }
    }

    /// Removes every request whose wait has timed out.
    pub fn expire(&mut self, now: Instant) -> Vec<K> {
        let expired: Vec<K> = self
            .order
            .values()
            .filter(|waiting| waiting.expires_at <= now)
            .map(|waiting| waiting.key)
            .collect();
        for key in &expired {
            self.remove(*key);
        }
        expired
    }
}
