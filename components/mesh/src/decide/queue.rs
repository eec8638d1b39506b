//! The slots of a guard's upstream and the short queue for them.
//!
//! Requests are ordered by priority, and within a priority by the target time of their answer.

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
pub struct SlotRequest {
    /// Priority of its root request; 0 is the most urgent.
    pub priority: u8,
    /// Target time of its answer; later answers are worth less.
    pub target_time: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Longest expected wait that its sender accepts.
    pub max_wait: Duration,
}

/// Answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The request runs.
    Run,
    /// The request waits at this position.
    Wait(Position),
    /// The expected wait is too long.
    Refuse {
        /// The expected wait.
        wait: Duration,
    },
}

/// Position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    priority: u8,
    target_time: Instant,
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
    pub held_us: u32,
}

/// Slots of one upstream and the requests that wait for them.
#[derive(Debug)]
pub struct Queue<T> {
    limit: u32,
    running: u32,
    held_secs: f64,
    waiting: BTreeMap<Position, T>,
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
            held_us: (self.held_secs * 1e6) as u32,
        }
    }

    /// Runs, queues or refuses a request; `make_value` makes the value that is stored while it waits.
    pub fn acquire(
        &mut self,
        request: SlotRequest,
        now: Instant,
        make_value: impl FnOnce() -> T,
    ) -> Decision {
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
            return Decision::Run;
        }
        let position = Position {
            priority: request.priority,
            target_time: request.target_time,
            number: self.next_number,
        };
        let wait = self.expected_wait(position);
        if wait > request.max_wait || now + wait >= request.deadline {
            return Decision::Refuse { wait };
        }
        self.next_number += 1;
        self.waiting.insert(position, make_value());
        Decision::Wait(position)
    }

    /// Frees a slot and returns the request that takes it; `complete` if `held` counts for the average.
    pub fn release(&mut self, held: Duration, complete: bool) -> Option<T> {
        if complete {
            self.held_secs += (held.as_secs_f64() - self.held_secs) * HELD_WEIGHT;
        }
        self.running = self.running.saturating_sub(1);
        self.grant_next()
    }

    /// Starts the next request if a slot is free.
    pub fn grant_next(&mut self) -> Option<T> {
        if self.running >= self.limit {
            return None;
        }
        let (_, value) = self.waiting.pop_first()?;
        self.running += 1;
        Some(value)
    }

    /// Removes a waiting request; false if it was started already.
    pub fn cancel(&mut self, position: Position) -> bool {
        self.waiting.remove(&position).is_some()
    }

    fn expected_wait(&self, position: Position) -> Duration {
        let ahead = self.waiting.range(..position).count() as f64 + 1.0;
        Duration::from_secs_f64(ahead * self.held_secs / f64::from(self.limit))
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
