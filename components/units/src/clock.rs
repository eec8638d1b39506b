//! The clock interface and its two implementations.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Source of the time; passed in wherever a decision depends on it.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time.
    fn now(&self) -> Instant;
    /// Time of day, for records that other machines read.
    fn wall(&self) -> SystemTime;
}

/// The machine's own clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that stands still until it is moved.
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    passed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// A clock at time zero.
    pub fn new() -> Self {
        Self { start: Instant::now(), passed: Arc::default() }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn passed(&self) -> Duration {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.passed()
    }
    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.passed()
    }
}
