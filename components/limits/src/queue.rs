//! Short queue in front of an upstream, ordered by priority and then by arrival.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Instant;

use crate::priority::Priority;

/// Place of a waiting request: the highest priority and then the oldest is the last in the order.
type Place = (Priority, Reverse<u64>);

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting<K> {
    /// Who waits.
    pub key: K,
    /// Its priority.
    pub priority: Priority,
    /// Until when it may wait.
    pub until: Instant,
}

/// The requests that wait.
#[derive(Debug, Clone)]
pub struct Queue<K> {
    order: BTreeMap<Place, Waiting<K>>,
    places: HashMap<K, Place>,
    next: u64,
}

impl<K: Copy + Eq + Hash> Queue<K> {
    /// An empty queue.
    pub fn new() -> Self {
        Self { order: BTreeMap::new(), places: HashMap::new(), next: 0 }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Number of requests that would be served before one of this priority.
    pub fn ahead(&self, priority: Priority) -> usize {
        self.order.range((priority, Reverse(u64::MAX))..).count()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting<K>) {
        let place = (waiting.priority, Reverse(self.next));
        self.next += 1;
        self.places.insert(waiting.key, place);
        self.order.insert(place, waiting);
    }

    /// Takes out the request to serve next.
    pub fn pop(&mut self) -> Option<Waiting<K>> {
        let (_, waiting) = self.order.pop_last()?;
        self.places.remove(&waiting.key);
        Some(waiting)
    }

    /// Takes out the request to shed next, if its priority is under `priority`.
    pub fn shed_under(&mut self, priority: Priority) -> Option<Waiting<K>> {
        let entry = self.order.first_entry().filter(|entry| entry.get().priority < priority)?;
        let waiting = entry.remove();
        self.places.remove(&waiting.key);
        Some(waiting)
    }

    /// Takes out a request whose caller left.
    pub fn remove(&mut self, key: K) -> bool {
        match self.places.remove(&key) {
            Some(place) => self.order.remove(&place).is_some(),
            None => false,
        }
    }

    /// Takes out every request that has waited too long.
    pub fn expire(&mut self, now: Instant) -> Vec<K> {
        let late: Vec<K> = self
            .order
            .values()
            .filter(|waiting| waiting.until <= now)
            .map(|waiting| waiting.key)
            .collect();
        for key in &late {
            self.remove(*key);
        }
        late
    }
}
