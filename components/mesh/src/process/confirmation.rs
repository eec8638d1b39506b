//! Age of the latest confirmation of the configuration: a read of the store that showed nothing newer.
//!
//! A confirmation counts from when the read was asked for, as a process that was suspended reads an answer long after it
//! was sent. Other nodes tell the age of the latest one that they know; it counts from when they were asked. Ages are
//! taken by the clock that shows more elapsed time, so that the time of a suspension counts. One node of each failure
//! domain reads the store, at intervals of about two seconds, and the others hear of it every half second.

use std::time::Duration;

use super::upstream::Moment;

/// Part of the bound after which a node that hears of no confirmation reads the store by itself: later than with a reader
/// that is served, and early enough for two exchanges before the bound of 5 s.
const OVERDUE_FRACTION: f64 = 0.7;
/// Part of the bound in which the store is read at intervals.
const INTERVAL_FRACTION: f64 = 0.4;

/// The latest confirmation, and how old it may be.
#[derive(Debug, Default)]
pub struct Confirmation {
    max_age: Option<Duration>,
    latest: Option<Moment>,
}

impl Confirmation {
    /// No confirmation so far; without a greatest age, none is needed.
    pub fn new(max_age: Option<Duration>) -> Self {
        Self { max_age, latest: None }
    }

    /// Records that a read which was asked for at `asked` showed nothing newer than what is in force.
    pub fn confirmed(&mut self, asked: Moment, now: Moment) {
        if self.latest.is_none_or(|latest| now.since(asked) < now.since(latest)) {
            self.latest = Some(asked);
        }
    }

    /// Records the age of a confirmation that another node told when it was asked at `asked`.
    pub fn relayed(&mut self, age: Duration, asked: Moment, now: Moment) {
        self.confirmed(asked.earlier(age), now);
    }

    /// Age of the latest confirmation; none without one.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.latest.map(|latest| now.since(latest))
    }

    /// Whether keys may be accepted.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.is_within(1.0, now)
    }

    /// Whether a confirmation from elsewhere is so late that this node reads by itself.
    pub fn is_overdue(&self, now: Moment) -> bool {
        !self.is_within(OVERDUE_FRACTION, now)
    }

    /// Longest interval of the reads; none if no confirmation is needed.
    pub fn interval(&self) -> Option<Duration> {
        self.max_age.map(|max_age| max_age.mul_f64(INTERVAL_FRACTION))
    }

    fn is_within(&self, fraction: f64, now: Moment) -> bool {
        let Some(max_age) = self.max_age else { return true };
        self.age(now).is_some_and(|age| age <= max_age.mul_f64(fraction))
    }
}
