//! Admission level of one upstream: the priority below which new trees are refused at once.
//!
//! The level rides on every answer, so that entries refuse early what this upstream would refuse late, as in DAGOR
//! (Zhou et al., SoCC 2018). DAGOR moves its level up and down by steps, and with the delay between a guard and the
//! entries that heed it the steps overshoot. Here the level is worked out anew in each window from the demand and the
//! capacity. Within a class priorities are spread evenly, so the arrivals above a level, which entries let through
//! whatever they have learned, tell how many there would be below it. What that misjudges is corrected by a factor
//! that follows the use of the upstream.

use std::time::{Duration, Instant};

use crate::priority::Priority;

const WINDOW: Duration = Duration::from_millis(100);
const RANKS: usize = Priority::RANKS as usize;
const RANK_SIZE: u16 = Priority::END / Priority::RANKS;
/// Windows in which entries may still go by an earlier level.
const DELAY: usize = 6;
/// Weight of one window in the demand.
const WEIGHT: f64 = 0.1;
/// Refusals that end a window early, and the least it lasts then.
const ONSET_REFUSALS: u32 = 3;
const ONSET_WINDOW: Duration = Duration::from_millis(30);
/// Weight of the window in which the queue first overflows.
const ONSET_WEIGHT: f64 = 0.7;
/// Least part of a rank above the level from which its demand can be told.
const VISIBLE: f64 = 0.02;
/// Requests that wait on the mean, as a share of the limit: enough that no slot idles for want of work.
const WAITING: f64 = 0.8;
/// Change of the factor in a window for each part of the limit that waits too little or too much.
const GAIN: f64 = 0.04;
/// Use of the limit under which the load is gone, and the change that answers it.
const AMPLE: f64 = 0.8;
const MUCH_MORE: f64 = 1.2;
const FACTORS: (f64, f64) = (0.5, 100.0);

/// The admission level and what it is worked out from.
#[derive(Debug, Clone)]
pub struct Level {
    value: u16,
    /// Levels of the last windows.
    recent: [u16; DELAY],
    /// Demand a second, for each rank as a whole.
    demand: [f64; RANKS],
    /// Requests a second that the upstream can do.
    capacity: f64,
    /// Correction of the room for each rank.
    factors: [f64; RANKS],
    window: Window,
    touched: Instant,
}

#[derive(Debug, Clone)]
struct Window {
    since: Instant,
    /// Arrivals of each rank above all recent levels.
    arrivals: [u32; RANKS],
    refused: u32,
    /// Busy slot-seconds and slot-seconds of the limit.
    used: f64,
    offered: f64,
    /// Seconds that requests waited.
    waited: f64,
}

impl Window {
    fn new(since: Instant) -> Self {
        Self { since, arrivals: [0; RANKS], refused: 0, used: 0.0, offered: 0.0, waited: 0.0 }
    }
}

impl Level {
    /// A level that admits everything.
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0,
            recent: [0; DELAY],
            demand: [0.0; RANKS],
            capacity: f64::INFINITY,
            factors: [1.0; RANKS],
            window: Window::new(now),
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
        if priority.0 >= self.floor() {
            self.window.arrivals[rank(priority.0)] += 1;
        }
    }

    /// Counts a request that the queue refused.
    pub fn refused(&mut self) {
        self.window.refused += 1;
    }

    /// Accounts for the use of the limit up to now; called before each change of it. `capacity` is the requests a
    /// second that the upstream can do.
    pub fn account(&mut self, running: u32, waiting: u32, limit: u32, capacity: f64, now: Instant) {
        let span = now.saturating_duration_since(self.touched).as_secs_f64();
        self.touched = self.touched.max(now);
        self.window.used += f64::from(running) * span;
        self.window.offered += f64::from(limit) * span;
        self.window.waited += f64::from(waiting) * span;
        self.capacity = capacity;
        let span = now.saturating_duration_since(self.window.since);
        let overflow =
            self.value == 0 && self.window.refused >= ONSET_REFUSALS && span >= ONSET_WINDOW;
        if span >= WINDOW || overflow {
            self.close(span, now);
        }
    }

    fn close(&mut self, span: Duration, now: Instant) {
        let window = std::mem::replace(&mut self.window, Window::new(now));
        let floor = self.floor();
        let onset = self.value == 0 && window.refused > 0;
        for (rank, arrivals) in window.arrivals.iter().enumerate() {
            let visible = visible(rank, floor);
            if visible < VISIBLE {
                continue;
            }
            let arrivals = f64::from(*arrivals);
            let known = self.demand[rank];
            let weight = if onset && is_surge(arrivals, known * span.as_secs_f64() * visible) {
                ONSET_WEIGHT
            } else {
                WEIGHT
            };
            self.demand[rank] += (arrivals / span.as_secs_f64() / visible - known) * weight;
        }
        self.correct(&window);
        self.value = self.worked_out();
        self.recent.rotate_right(1);
        self.recent[0] = self.value;
    }

    /// Corrects the factor of the rank that the level is in; the ranks above it are none of its business.
    fn correct(&mut self, window: &Window) {
        let level = rank(self.value);
        for (rank, factor) in self.factors.iter_mut().enumerate() {
            if rank != level || self.value == 0 || window.offered == 0.0 {
                *factor += (1.0 - *factor) * WEIGHT;
                continue;
            }
            let usage = window.used / window.offered;
            let waiting = window.waited / window.offered;
            let few = 1.0 + GAIN * (WAITING - waiting).max(-1.0);
            let change = if usage < AMPLE { MUCH_MORE } else { few };
            *factor = (*factor * change).clamp(FACTORS.0, FACTORS.1);
        }
    }

    /// The level above which the demand is what the upstream can do.
    fn worked_out(&self) -> u16 {
        let mut room = self.capacity;
        for (rank, demand) in self.demand.iter().enumerate().rev() {
            let share = room * self.factors[rank];
            if *demand > share {
                let end = (rank as u16 + 1) * RANK_SIZE;
                return end - (f64::from(RANK_SIZE) * share / demand) as u16;
            }
            room = (room - demand).max(0.0);
        }
        0
    }

    /// The level that every entry lets pass, whichever of the recent ones it goes by.
    fn floor(&self) -> u16 {
        self.recent.iter().copied().max().unwrap_or_default()
    }
}

/// Whether there are more arrivals than chance explains: more than three standard deviations over the expected number.
fn is_surge(arrivals: f64, expected: f64) -> bool {
    arrivals - expected > 3.0 * expected.max(1.0).sqrt()
}

fn rank(priority: u16) -> usize {
    usize::from(priority / RANK_SIZE).min(RANKS - 1)
}

/// Share of a rank's priorities that is above a level.
fn visible(rank: usize, floor: u16) -> f64 {
    let (start, end) = (rank as u16 * RANK_SIZE, (rank as u16 + 1) * RANK_SIZE);
    f64::from(end.saturating_sub(floor.max(start))) / f64::from(RANK_SIZE)
}
