//! Admission level of one upstream: the priority below which new trees are refused at once.
//!
//! The level rides on every answer, so that entries refuse early what this upstream would refuse late. It follows
//! DAGOR (Zhou et al., SoCC 2018) with two changes. How far it rises comes from the arrivals counted by priority
//! and the share that could be served. How far it falls doubles with each window that leaves room, so that nothing
//! holds requests back once the load is gone.

use std::time::{Duration, Instant};

use crate::priority::Priority;

const WINDOW: Duration = Duration::from_millis(100);
const BUCKETS: usize = 96;
const BUCKET: u16 = Priority::END / BUCKETS as u16;
/// Least and most of the arrivals that one rise may leave.
const RISE: (f64, f64) = (0.5, 0.98);
/// Use of the limit under which the level falls.
const ROOM: f64 = 0.97;
/// Use of the limit under which the fall doubles from window to window.
const AMPLE: f64 = 0.85;
const LARGEST_FALL: u16 = Priority::END / 3;

/// The admission level and what it is worked out from.
#[derive(Debug, Clone)]
pub struct Level {
    value: u16,
    fall: u16,
    since: Instant,
    arrivals: [u32; BUCKETS],
    finished: u32,
    refused: u32,
    /// Busy slot-seconds and slot-seconds of the limit.
    used: f64,
    offered: f64,
    touched: Instant,
}

impl Level {
    /// A level that admits everything.
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0,
            fall: BUCKET,
            since: now,
            arrivals: [0; BUCKETS],
            finished: 0,
            refused: 0,
            used: 0.0,
            offered: 0.0,
            touched: now,
        }
    }

    /// The level now.
    pub fn get(&self) -> Priority {
        Priority(self.value)
    }

    /// Whether a new tree of this priority is admitted.
    pub fn admits(&self, priority: Priority) -> bool {
        priority.0 >= self.value
    }

    /// Counts an arrival.
    pub fn arrived(&mut self, priority: Priority) {
        let bucket = usize::from(priority.0 / BUCKET).min(BUCKETS - 1);
        self.arrivals[bucket] += 1;
    }

    /// Counts a finished request.
    pub fn finished(&mut self) {
        self.finished += 1;
    }

    /// Counts a request that the queue refused.
    pub fn refused(&mut self) {
        self.refused += 1;
    }

    /// Accounts for the use of the limit up to now; called before each change of it.
    pub fn account(&mut self, running: u32, limit: u32, now: Instant) {
        let span = now.saturating_duration_since(self.touched).as_secs_f64();
        self.touched = self.touched.max(now);
        self.used += f64::from(running) * span;
        self.offered += f64::from(limit) * span;
        if now.saturating_duration_since(self.since) >= WINDOW {
            self.close(now);
        }
    }

    fn close(&mut self, now: Instant) {
        let usage = if self.offered > 0.0 { self.used / self.offered } else { 0.0 };
        if self.refused > 0 {
            self.rise();
        } else if usage < ROOM {
            self.sink(usage);
        }
        self.since = now;
        self.arrivals = [0; BUCKETS];
        (self.finished, self.refused) = (0, 0);
        (self.used, self.offered) = (0.0, 0.0);
    }

    /// Rises to where the arrivals above are the share that could be served.
    fn rise(&mut self) {
        self.fall = BUCKET;
        let first = usize::from(self.value / BUCKET).min(BUCKETS - 1);
        let admitted: u32 = self.arrivals[first..].iter().sum();
        if admitted == 0 {
            return;
        }
        let share = (f64::from(admitted.saturating_sub(self.refused)) / f64::from(admitted))
            .clamp(RISE.0, RISE.1);
        let mut excess = f64::from(admitted) * (1.0 - share);
        let mut value = self.value;
        for (bucket, count) in self.arrivals.iter().enumerate().skip(first) {
            let end = (bucket as u16 + 1) * BUCKET;
            let count = f64::from(*count);
            if count < excess {
                excess -= count;
                value = end;
                continue;
            }
            value += (f64::from(end - value) * excess / count.max(1.0)) as u16;
            break;
        }
        self.value = value.min(Priority::END - 1);
    }

    fn sink(&mut self, usage: f64) {
        self.value = self.value.saturating_sub(self.fall);
        self.fall = if usage < AMPLE { (self.fall * 2).min(LARGEST_FALL) } else { BUCKET };
    }
}
