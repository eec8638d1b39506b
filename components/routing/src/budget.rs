//! Byte budget of this node for the link to other regions.

use std::time::{Duration, Instant};

/// Maximum saved budget, in seconds at the current rate.
const BURST_SECS: f64 = 2.0;

/// Token bucket in bytes. It may go negative, as the size of an answer is known only afterwards.
#[derive(Debug, Clone)]
pub struct LinkBudget {
    /// Bytes per second.
    byte_rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl LinkBudget {
    /// A budget of `bytes_per_sec`.
    pub fn new(bytes_per_sec: f64, now: Instant) -> Self {
        Self { byte_rate: bytes_per_sec, tokens: bytes_per_sec * BURST_SECS, refilled: now }
    }

    /// Changes the rate, as the number of nodes that share the link changes.
    pub fn set_rate(&mut self, bytes_per_sec: f64, now: Instant) {
        self.refill(now);
        self.byte_rate = bytes_per_sec;
        self.tokens = self.tokens.min(bytes_per_sec * BURST_SECS);
    }

    /// Whether a call to another region is allowed now.
    pub fn admits(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens > 0.0
    }

    /// Charges bytes that were sent over the link.
    pub fn charge(&mut self, bytes: u64) {
        self.tokens -= bytes as f64;
    }

    /// Time until a call to another region is allowed again.
    pub fn retry_after(&self) -> Duration {
        if self.tokens > 0.0 || self.byte_rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.tokens / self.byte_rate)
    }

    fn refill(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + span * self.byte_rate).min(self.byte_rate * BURST_SECS);
    }
}
