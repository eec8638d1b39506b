//! The admission level that an entry node learned from the answers to one rule's calls.
//!
//! An answer carries the highest level of all upstreams in its call tree, so the entry node can refuse what the
//! bottleneck would refuse, before any work is done.

use std::time::{Duration, Instant};

use crate::priority::Priority;

/// Weight of one answer in the moving average.
const ANSWER_WEIGHT: f64 = 0.2;
/// Time since the last answer after which the level starts to decay.
const DECAY_DELAY: Duration = Duration::from_millis(200);
/// Half-life of the level once it decays.
const HALF_LIFE: Duration = Duration::from_millis(200);

/// Moving average of the levels in answers.
#[derive(Debug, Clone, Copy)]
pub struct LearnedLevel {
    value: f64,
    updated: Instant,
}

impl LearnedLevel {
    /// A level that admits everything.
    pub fn new(now: Instant) -> Self {
        Self { value: 0.0, updated: now }
    }

    /// Adds the level of an answer.
    pub fn update(&mut self, level: Priority, now: Instant) {
        let current = self.current(now);
        self.value = current + (f64::from(level.0) - current) * ANSWER_WEIGHT;
        self.updated = now;
    }

    /// Whether a new call tree of this priority would be admitted.
    pub fn admits(&self, priority: Priority, now: Instant) -> bool {
        f64::from(priority.0) >= self.current(now).floor()
    }

    /// The current level.
    pub fn get(&self, now: Instant) -> Priority {
        Priority(self.current(now) as u16)
    }

    fn current(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        let decaying = age.saturating_sub(DECAY_DELAY).as_secs_f64();
        self.value * (-decaying / HALF_LIFE.as_secs_f64()).exp2()
    }
}
