//! Ties the calls of an upstream to the requests that it makes them for.
//!
//! Calls carry no id of their parent, but they expire with it. Each request is therefore given a deadline that no
//! other request at the same upstream has, by taking off a few milliseconds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Distance between two deadlines, in milliseconds.
const SPACING: u64 = 4;
/// Most that is taken off a deadline, in milliseconds.
const MOST: u64 = 160;
/// Difference at which a call's deadline is still that of its parent, in milliseconds.
const NEAR: u64 = 1;

/// Deadlines of the requests that run at an upstream.
#[derive(Debug)]
pub struct Family<T> {
    start: Instant,
    running: BTreeMap<u64, T>,
}

impl<T> Family<T> {
    /// No requests.
    pub fn new(start: Instant) -> Self {
        Self { start, running: BTreeMap::new() }
    }

    /// Gives a request a deadline of its own, in whole milliseconds from now; the key ends it.
    pub fn start(&mut self, left: Duration, now: Instant, parent: T) -> (u64, Duration) {
        let now = self.millis(now);
        let latest = now + left.as_millis() as u64;
        let earliest = latest.saturating_sub(MOST.min(left.as_millis() as u64 / 4));
        let mut at = latest;
        while let Some((taken, _)) =
            self.running.range(at.saturating_sub(SPACING - 1)..at + SPACING).next()
        {
            let Some(lower) = taken.checked_sub(SPACING).filter(|lower| *lower >= earliest) else {
                at = latest;
                while self.running.contains_key(&at) {
                    at -= 1;
                }
                break;
            };
            at = lower;
        }
        self.running.insert(at, parent);
        (at, Duration::from_millis(at.saturating_sub(now)))
    }

    /// A request has ended.
    pub fn end(&mut self, key: u64) -> Option<T> {
        self.running.remove(&key)
    }

    /// The request that a call with this time left is made for.
    pub fn parent(&self, left: Duration, now: Instant) -> Option<&T> {
        let at = self.millis(now) + left.as_millis() as u64;
        let near = self.running.range(at.saturating_sub(NEAR)..=at + NEAR);
        near.min_by_key(|(key, _)| key.abs_diff(at)).map(|(_, parent)| parent)
    }

    fn millis(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_millis() as u64
    }
}
