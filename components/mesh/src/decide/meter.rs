//! Rates with exponential decay.

use std::time::{Duration, Instant};

/// Rate per second in which the weight of an event decays exponentially with the time constant `time_constant`.
#[derive(Debug, Clone, Copy)]
pub struct DecayingRate {
    sum: f64,
    at: Instant,
    time_constant: Duration,
}

impl DecayingRate {
    /// A rate of zero.
    pub fn new(time_constant: Duration, now: Instant) -> Self {
        Self { sum: 0.0, at: now, time_constant }
    }

    /// Adds an event of the given size.
    pub fn add(&mut self, size: f64, now: Instant) {
        self.sum = self.decayed(now) + size;
        self.at = self.at.max(now);
    }

    /// Sum of sizes per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / self.time_constant.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        decay(self.sum, self.at, self.time_constant, now)
    }
}

/// A value after exponential decay with the time constant `time_constant`.
pub fn decay(value: f64, since: Instant, time_constant: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(since).as_secs_f64();
    value * (-age / time_constant.as_secs_f64()).exp()
}
