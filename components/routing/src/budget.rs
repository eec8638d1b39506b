//! Byte budget of this node on the link to other regions.

use std::time::{Duration, Instant};

/// Seconds of budget that may be saved up.
const BURST: f64 = 2.0;

/// Token bucket in bytes; it may go into debt, as the size of an answer is known only afterwards.
#[derive(Debug, Clone)]
pub struct LinkBudget {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl LinkBudget {
    /// A budget of `rate` bytes a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self { rate, tokens: rate * BURST, at: now }
    }

    /// Changes the rate, as nodes that share the link come and go.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate * BURST);
    }

    /// Whether a call may cross.
    pub fn admits(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens > 0.0
    }

    /// Accounts for bytes that crossed.
    pub fn charge(&mut self, bytes: u64) {
        self.tokens -= bytes as f64;
    }

    /// Time until a call may cross again.
    pub fn wait(&self) -> Duration {
        if self.tokens > 0.0 || self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.tokens / self.rate)
    }

    fn refill(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + span * self.rate).min(self.rate * BURST);
    }
}
