//! Rates that fade.

use std::time::{Duration, Instant};

/// Events a second, with the weight of an event fading over `span`.
#[derive(Debug, Clone, Copy)]
pub struct Meter {
    sum: f64,
    at: Instant,
    span: Duration,
}

impl Meter {
    /// A rate of zero.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self { sum: 0.0, at: now, span }
    }

    /// Counts an event of some size.
    pub fn add(&mut self, size: f64, now: Instant) {
        self.sum = self.faded(now) + size;
        self.at = self.at.max(now);
    }

    /// Size a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.faded(now) / self.span.as_secs_f64()
    }

    fn faded(&self, now: Instant) -> f64 {
        fade(self.sum, self.at, self.span, now)
    }
}

/// What is left of a value that fades over `span`.
pub fn fade(value: f64, since: Instant, span: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(since).as_secs_f64();
    value * (-age / span.as_secs_f64()).exp()
}
