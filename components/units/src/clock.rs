//! The clock interface and its two implementations.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Source of time, passed to every decision that depends on it.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time.
    fn now(&self) -> Instant;
    /// Wall-clock time, for records that other machines read.
    fn wall_time(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that is advanced by hand, for tests.
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// A clock at time zero.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Arc::default() }
    }

    /// Advances the clock.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }
    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
