//! The admission level that an entry learned from the answers to one rule's calls.
//!
//! An answer carries the highest level of all upstreams that its tree went through, so the entry refuses what the
//! bottleneck of the chain would refuse, before any work is done for it.

use std::time::{Duration, Instant};

use crate::priority::Priority;

/// Weight of one answer.
const WEIGHT: f64 = 0.2;
/// Time without news until the level is let down.
const FRESH: Duration = Duration::from_millis(200);
/// Time in which half of an old level goes.
const HALF_LIFE: Duration = Duration::from_millis(200);

/// A level learned from answers.
#[derive(Debug, Clone, Copy)]
pub struct Learned {
    value: f64,
    at: Instant,
}

impl Learned {
    /// A level that admits everything.
    pub fn new(now: Instant) -> Self {
        Self { value: 0.0, at: now }
    }

    /// Takes the level of an answer.
    pub fn learn(&mut self, level: Priority, now: Instant) {
        let current = self.current(now);
        self.value = current + (f64::from(level.0) - current) * WEIGHT;
        self.at = now;
    }

    /// Whether a new tree of this priority is worth sending.
    pub fn admits(&self, priority: Priority, now: Instant) -> bool {
        f64::from(priority.0) >= self.current(now).floor()
    }

    /// The level now.
    pub fn get(&self, now: Instant) -> Priority {
        Priority(self.current(now) as u16)
    }

    fn current(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        let stale = age.saturating_sub(FRESH).as_secs_f64();
        self.value * (-stale / HALF_LIFE.as_secs_f64()).exp2()
    }
}
