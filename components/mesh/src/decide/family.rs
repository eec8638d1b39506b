//! Ties the calls of an upstream to the requests that it makes them for.
//!
//! Calls carry no id of their parent, but they expire with it, unless their own limit is shorter. Each request is
//! therefore given a deadline that no other request at the same upstream has, by taking off a few milliseconds. A
//! call that expires earlier than any request is one of those that run and have the fewest calls out; requests that
//! are calls themselves come first, as chains are made of calls.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Distance between two deadlines, in milliseconds.
const SPACING: u64 = 4;
/// Most that is taken off a deadline, in milliseconds, and as a part of it.
const MOST: u64 = 160;
const MOST_PART: u64 = 4;
/// Difference at which a call's deadline is still that of its parent, in milliseconds.
const NEAR: u64 = 1;

/// A request that runs.
#[derive(Debug)]
struct Running<T> {
    parent: T,
    /// It is itself a call of an upstream.
    called: bool,
    /// Calls that it has out.
    out: u32,
}

/// Names a request that runs, until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key(u64);

/// Deadlines of the requests that run at an upstream.
#[derive(Debug)]
pub struct Family<T> {
    start: Instant,
    running: BTreeMap<u64, Running<T>>,
}

impl<T> Family<T> {
    /// No requests.
    pub fn new(start: Instant) -> Self {
        Self { start, running: BTreeMap::new() }
    }

    /// Gives a request a deadline of its own, in whole milliseconds from now.
    pub fn start(
        &mut self,
        left: Duration,
        now: Instant,
        parent: T,
        called: bool,
    ) -> (Key, Duration) {
        let now = self.millis(now);
        let left = left.as_millis() as u64;
        let at = self.free(now + left, MOST.min(left / MOST_PART));
        self.running.insert(at, Running { parent, called, out: 0 });
        (Key(at), Duration::from_millis(at.saturating_sub(now)))
    }

    /// A request has ended.
    pub fn end(&mut self, key: Key) {
        self.running.remove(&key.0);
    }

    /// The request that expires just when a call does.
    pub fn exact(&mut self, left: Duration, now: Instant) -> Option<(Key, &T)> {
        let at = self.millis(now) + left.as_millis() as u64;
        let near = self.running.range(at.saturating_sub(NEAR)..=at + NEAR);
        let key = near.min_by_key(|(key, _)| key.abs_diff(at)).map(|(key, _)| *key)?;
        self.call(key)
    }

    /// The request that a call is most likely made for.
    pub fn likely(&mut self, left: Duration, now: Instant) -> Option<(Key, &T)> {
        let at = self.millis(now) + left.as_millis() as u64;
        let able = self.running.range(at.saturating_sub(NEAR)..);
        let key = able.min_by_key(|(_, running)| (!running.called, running.out))?.0;
        self.call(*key)
    }

    /// A call has ended.
    pub fn returned(&mut self, key: Key) {
        if let Some(running) = self.running.get_mut(&key.0) {
            running.out = running.out.saturating_sub(1);
        }
    }

    fn call(&mut self, key: u64) -> Option<(Key, &T)> {
        let running = self.running.get_mut(&key)?;
        running.out += 1;
        Some((Key(key), &running.parent))
    }

    /// The latest moment that is far enough from all others, or just not taken where there is none.
    fn free(&self, latest: u64, most: u64) -> u64 {
        let mut at = latest;
        while at + most >= latest {
            let near = self.running.range(at.saturating_sub(SPACING - 1)..at + SPACING);
            let Some(taken) = near.map(|(taken, _)| *taken).next() else { return at };
            let Some(lower) = taken.checked_sub(SPACING) else { break };
            at = lower;
        }
        let mut at = latest;
        while self.running.contains_key(&at) {
            at -= 1;
        }
        at
    }

    fn millis(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_millis() as u64
    }
}
