//! The guard's slots and the short queue before them.
//!
//! Requests wait by rank, and within a rank by the moment at which their answer loses worth.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Part of the announced slots that is used: upstreams slow down when the last ones are taken.
const KNEE: f64 = 0.95;
/// Weight of one request in the mean time that a slot is held.
const HELD_WEIGHT: f64 = 0.05;
/// Time a slot is taken to be held before any was.
const HELD_AT_FIRST: f64 = 0.05;

/// A request that asks to run.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Rank of its root request; 0 goes first.
    pub rank: u8,
    /// When its answer loses worth.
    pub due: Instant,
    /// When its caller is gone.
    pub until: Instant,
    /// Longest wait that its sender expects to accept.
    pub patience: Duration,
}

/// Answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It runs.
    Run,
    /// It waits under this place.
    Wait(Slot),
    /// It would wait longer than it may.
    Refuse {
        /// The wait that was expected.
        wait: Duration,
    },
}

/// Place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot {
    rank: u8,
    due: Instant,
    number: u64,
}

/// Load as reports carry it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Mean time that a slot is held, in microseconds.
    pub held: u32,
}

/// Slots of one upstream and who waits for them.
#[derive(Debug)]
pub struct Queue<T> {
    limit: u32,
    running: u32,
    held: f64,
    waiting: BTreeMap<Slot, T>,
    next: u64,
}

impl<T> Queue<T> {
    /// An upstream of which nothing is known.
    pub fn new() -> Self {
        Self { limit: 1, running: 0, held: HELD_AT_FIRST, waiting: BTreeMap::new(), next: 0 }
    }

    /// Takes the announced slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit = ((f64::from(slots) * KNEE) as u32).max(1);
    }

    /// Load now.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            limit: self.limit,
            held: (self.held * 1e6) as u32,
        }
    }

    /// Decides on a request; `keep` is kept while it waits.
    pub fn offer(&mut self, offer: Offer, now: Instant, keep: impl FnOnce() -> T) -> Decision {
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
            return Decision::Run;
        }
        let slot = Slot { rank: offer.rank, due: offer.due, number: self.next };
        let wait = self.expected(slot);
        if wait > offer.patience || now + wait >= offer.until {
            return Decision::Refuse { wait };
        }
        self.next += 1;
        self.waiting.insert(slot, keep());
        Decision::Wait(slot)
    }

    /// A run has ended; the request that takes its place is returned.
    pub fn finish(&mut self, held: Duration, whole: bool) -> Option<T> {
        if whole {
            self.held += (held.as_secs_f64() - self.held) * HELD_WEIGHT;
        }
        self.running = self.running.saturating_sub(1);
        self.fill()
    }

    /// Lets the next request run if there is a slot.
    pub fn fill(&mut self) -> Option<T> {
        if self.running >= self.limit {
            return None;
        }
        let (_, kept) = self.waiting.pop_first()?;
        self.running += 1;
        Some(kept)
    }

    /// A request that waits has gone; false when it was let in already.
    pub fn leave(&mut self, slot: Slot) -> bool {
        self.waiting.remove(&slot).is_some()
    }

    /// Wait of a request in that place.
    fn expected(&self, slot: Slot) -> Duration {
        let ahead = self.waiting.range(..slot).count() as f64 + 1.0;
        Duration::from_secs_f64(ahead * self.held / f64::from(self.limit))
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
