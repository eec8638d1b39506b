//! The slots of a guard's upstream and the short queue for them.
//!
//! Requests are ordered by rank, and within a rank by the target time of their answer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Share of the announced slots that is used: upstreams slow down when the last ones are taken.
const USABLE_SHARE: f64 = 0.95;
/// Weight of one request in the moving average of the time that a slot is held.
const HELD_WEIGHT: f64 = 0.05;
/// Assumed time that a slot is held, before the first measurement.
const INITIAL_HELD_SECS: f64 = 0.05;

/// A request for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Rank of its root request; 0 goes first.
    pub rank: u8,
    /// Target time of its answer; later answers are worth less.
    pub due: Instant,
    /// When its caller stops waiting.
    pub until: Instant,
    /// Longest expected wait that its sender accepts.
    pub patience: Duration,
}

/// Answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It runs.
    Run,
    /// It waits at this position.
    Wait(Slot),
    /// Its expected wait is too long.
    Refuse {
        /// The expected wait.
        wait: Duration,
    },
}

/// Position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot {
    rank: u8,
    due: Instant,
    number: u64,
}

/// Load of an upstream as reported to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Average time that a slot is held, in microseconds.
    pub held: u32,
}

/// Slots of one upstream and the requests that wait for them.
#[derive(Debug)]
pub struct Queue<T> {
    limit: u32,
    running: u32,
    held_secs: f64,
    waiting: BTreeMap<Slot, T>,
    next_number: u64,
}

impl<T> Queue<T> {
    /// An empty queue with one slot, until the upstream announces more.
    pub fn new() -> Self {
        Self {
            limit: 1,
            running: 0,
            held_secs: INITIAL_HELD_SECS,
            waiting: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Sets the number of slots from the number that the upstream announced.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit = ((f64::from(slots) * USABLE_SHARE) as u32).max(1);
    }

    /// Current load.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            limit: self.limit,
            held: (self.held_secs * 1e6) as u32,
        }
    }

    /// Runs, queues or refuses a request; `make_value` makes the value that is stored while it waits.
    pub fn offer(
        &mut self,
        offer: Offer,
        now: Instant,
        make_value: impl FnOnce() -> T,
    ) -> Decision {
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
            return Decision::Run;
        }
        let slot = Slot { rank: offer.rank, due: offer.due, number: self.next_number };
        let wait = self.expected_wait(slot);
        if wait > offer.patience || now + wait >= offer.until {
            return Decision::Refuse { wait };
        }
        self.next_number += 1;
        self.waiting.insert(slot, make_value());
        Decision::Wait(slot)
    }

    /// Frees a slot and returns the request that takes it; `completed` if `held` counts for the average.
    pub fn finish(&mut self, held: Duration, completed: bool) -> Option<T> {
        if completed {
            self.held_secs += (held.as_secs_f64() - self.held_secs) * HELD_WEIGHT;
        }
        self.running = self.running.saturating_sub(1);
        self.fill()
    }

    /// Starts the next request if a slot is free.
    pub fn fill(&mut self) -> Option<T> {
        if self.running >= self.limit {
            return None;
        }
        let (_, value) = self.waiting.pop_first()?;
        self.running += 1;
        Some(value)
    }

    /// Removes a waiting request; false if it was started already.
    pub fn leave(&mut self, slot: Slot) -> bool {
        self.waiting.remove(&slot).is_some()
    }

    /// Expected wait at a position.
    fn expected_wait(&self, slot: Slot) -> Duration {
        let ahead = self.waiting.range(..slot).count() as f64 + 1.0;
        Duration::from_secs_f64(ahead * self.held_secs / f64::from(self.limit))
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
