//! Correlates the calls of an upstream with the requests that it makes them for.
//!
//! Calls carry no id of their parent request, but they expire with it, unless their own limit is shorter. Each request
//! is therefore given a deadline that is unique at its upstream, by shortening it by a few milliseconds. A call that
//! matches no deadline is attributed to the running request with the fewest pending calls; requests that are
//! themselves internal calls are preferred, as call chains consist of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Least distance between two deadlines.
const SPACING_MS: u64 = 4;
/// Largest reduction of a deadline, as a time and as a divisor of the time left.
const MAX_REDUCTION_MS: u64 = 160;
const MAX_REDUCTION_DIVISOR: u64 = 4;
/// Largest difference between the deadlines of a call and its parent request.
const TOLERANCE_MS: u64 = 1;

/// A running request.
#[derive(Debug)]
struct Running<T> {
    parent: T,
    since: Instant,
    /// Whether it is itself a call of an upstream.
    internal: bool,
    /// Calls that have not been answered.
    pending: u32,
}

/// Identifies a running request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key(u64);

/// Running requests of an upstream, by deadline.
#[derive(Debug)]
pub struct ParentTracker<T> {
    start: Instant,
    running: BTreeMap<u64, Running<T>>,
}

impl<T> ParentTracker<T> {
    /// A tracker without running requests, which stores deadlines relative to `start`.
    pub fn new(start: Instant) -> Self {
        Self { start, running: BTreeMap::new() }
    }

    /// Adds a request and returns the time left to its unique deadline, in whole milliseconds.
    pub fn add(
        &mut self,
        left: Duration,
        now: Instant,
        parent: T,
        internal: bool,
    ) -> (Key, Duration) {
        let since = now;
        let now = self.millis(now);
        let left = left.as_millis() as u64;
        let deadline =
            self.free_deadline(now + left, MAX_REDUCTION_MS.min(left / MAX_REDUCTION_DIVISOR));
        self.running.insert(deadline, Running { parent, since, internal, pending: 0 });
        (Key(deadline), Duration::from_millis(deadline.saturating_sub(now)))
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, key: Key) {
        self.running.remove(&key.0);
    }

    /// Whether a request runs that was added before `time`.
    pub fn has_older_than(&self, time: Instant) -> bool {
        self.running.values().any(|running| running.since < time)
    }

    /// The request whose deadline matches that of a call.
    pub fn match_deadline(&mut self, left: Duration, now: Instant) -> Option<(Key, &T)> {
        let deadline = self.millis(now) + left.as_millis() as u64;
        let near =
            self.running.range(deadline.saturating_sub(TOLERANCE_MS)..=deadline + TOLERANCE_MS);
        let key = near.min_by_key(|(key, _)| key.abs_diff(deadline)).map(|(key, _)| *key)?;
        self.count_call(key)
    }

    /// The request that a call without a matching deadline most likely belongs to.
    pub fn most_likely(&mut self, left: Duration, now: Instant) -> Option<(Key, &T)> {
        let deadline = self.millis(now) + left.as_millis() as u64;
        let candidates = self.running.range(deadline.saturating_sub(TOLERANCE_MS)..);
        let key = candidates.min_by_key(|(_, running)| (!running.internal, running.pending))?.0;
        self.count_call(*key)
    }

    /// Counts a call of the request as answered.
    pub fn call_ended(&mut self, key: Key) {
        if let Some(running) = self.running.get_mut(&key.0) {
            running.pending = running.pending.saturating_sub(1);
        }
    }

    fn count_call(&mut self, key: u64) -> Option<(Key, &T)> {
        let running = self.running.get_mut(&key)?;
        running.pending += 1;
        Some((Key(key), &running.parent))
    }

    /// The latest deadline at the required distance from all others, or else the latest one that is not taken.
    fn free_deadline(&self, latest: u64, reduction: u64) -> u64 {
        let mut deadline = latest;
        while deadline + reduction >= latest {
            let near =
                self.running.range(deadline.saturating_sub(SPACING_MS - 1)..deadline + SPACING_MS);
            let Some(taken) = near.map(|(taken, _)| *taken).next() else { return deadline };
            let Some(lower) = taken.checked_sub(SPACING_MS) else { break };
            deadline = lower;
        }
        let mut deadline = latest;
        while self.running.contains_key(&deadline) {
            deadline -= 1;
        }
        deadline
    }

    fn millis(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_millis() as u64
    }
}
