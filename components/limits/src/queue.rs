//! Short queue in front of an upstream, ordered by class, then calls of started trees first, then priority.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Instant;

use crate::guard::Offer;
use crate::priority::Priority;

/// Place of a waiting request: the highest rank and then the oldest is the last in the order.
type Place = (Rank, Reverse<u64>);

units::value! {
    /// What decides who is served next and who is shed.
    pub struct Rank {
        /// Class of the root request.
        class: u16,
        /// The call belongs to a tree that has started: shedding it would waste the work done so far.
        started: bool,
        /// Priority within the class.
        priority: Priority,
    }
}

impl Rank {
    /// Rank of an offer.
    pub fn of<K>(offer: &Offer<K>) -> Self {
        Self { class: offer.priority.class(), started: !offer.root, priority: offer.priority }
    }
}

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting<K> {
    /// Who waits.
    pub key: K,
    /// Its rank.
    pub rank: Rank,
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

    /// Number of requests that would be served before one of this rank.
    pub fn ahead(&self, rank: Rank) -> usize {
        self.order.range((rank, Reverse(u64::MAX))..).count()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting<K>) {
        let place = (waiting.rank, Reverse(self.next));
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

    /// Takes out the request to shed next, if its rank is under `rank`.
    pub fn shed_under(&mut self, rank: Rank) -> Option<Waiting<K>> {
        let entry = self.order.first_entry().filter(|entry| entry.get().rank < rank)?;
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
