//! A point in time on both clocks of a process.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time: the monotonic clock stops while the machine is suspended, the wall clock may jump.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Moment {
    /// Monotonic time since a start that is the same for all moments of a process.
    pub monotonic: Duration,
    /// Wall-clock time in milliseconds.
    pub wall_ms: u64,
}

impl Moment {
    /// Time since an earlier moment on the clock that shows more, to end the use of something in time.
    pub fn since(self, earlier: Self) -> Duration {
        self.surely_since(earlier)
            .max(Duration::from_millis(self.wall_ms.saturating_sub(earlier.wall_ms)))
    }

    /// Time that has surely passed since an earlier moment, to begin the use of something no earlier than allowed.
    pub fn surely_since(self, earlier: Self) -> Duration {
        self.monotonic.saturating_sub(earlier.monotonic)
    }
}
