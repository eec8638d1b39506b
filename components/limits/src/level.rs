//! Admission level of one upstream: the priority below which new call trees are refused.
//!
//! Every answer carries the level, so that entry nodes refuse early what this upstream would refuse late, as in DAGOR
//! (Zhou et al., SoCC 2018). DAGOR moves its level up and down in steps, which overshoot because entry nodes learn of
//! the level with a delay. Here the level is computed in each window from demand and capacity. Priorities are spread
//! evenly within a class, so the arrivals above all recent levels, which every entry node admits, give an estimate of
//! the demand below them. A factor per class, adjusted by the utilization of the upstream, corrects estimation errors.

use std::time::{Duration, Instant};

use crate::priority::Priority;

/// Length of a measurement window, except at the onset of overload.
const WINDOW: Duration = Duration::from_millis(100);
const CLASS_RANKS: usize = Priority::CLASS_RANKS as usize;
const CLASS_SIZE: u16 = Priority::END / Priority::CLASS_RANKS;
/// Windows during which entry nodes may still apply an earlier level.
const RECENT_WINDOWS: usize = 6;
/// Weight of one window in the moving averages.
const WINDOW_WEIGHT: f64 = 0.1;
/// Refusals that close a window early at the onset of overload, and its minimum length then.
const ONSET_REFUSALS: u32 = 3;
const ONSET_WINDOW: Duration = Duration::from_millis(30);
/// Weight of the window in which the queue first overflows.
const ONSET_WEIGHT: f64 = 0.7;
/// Minimum share of a class above the level for estimating its demand.
const MIN_VISIBLE_SHARE: f64 = 0.02;
/// Target mean queue length, as a share of the limit: enough to keep every slot busy.
const TARGET_QUEUE_SHARE: f64 = 0.8;
/// Relative change of the factor per window, per unit of deviation from the target queue length.
const FACTOR_GAIN: f64 = 0.04;
/// Utilization below which the overload has ended, and the change of the factor then.
const LOW_UTILIZATION: f64 = 0.8;
const LOW_UTILIZATION_CHANGE: f64 = 1.2;
const FACTOR_BOUNDS: (f64, f64) = (0.5, 100.0);

/// The admission level and the measurements that it is computed from.
#[derive(Debug, Clone)]
pub struct AdmissionLevel {
    value: u16,
    /// Levels of the last windows, newest first.
    recent: [u16; RECENT_WINDOWS],
    /// Estimated arrivals per second of each class, above and below the level.
    demand: [f64; CLASS_RANKS],
    /// Requests per second that the upstream can serve.
    capacity: f64,
    /// Correction of the capacity left for each class.
    factors: [f64; CLASS_RANKS],
    window: Window,
    observed: Instant,
}

#[derive(Debug, Clone)]
struct Window {
    since: Instant,
    /// Arrivals of each class above all recent levels.
    arrivals: [u32; CLASS_RANKS],
    refused: u32,
    /// Integrals over the window of running requests, the limit and queued requests.
    running_secs: f64,
    limit_secs: f64,
    waiting_secs: f64,
}

impl Window {
    fn new(since: Instant) -> Self {
        Self {
            since,
            arrivals: [0; CLASS_RANKS],
            refused: 0,
            running_secs: 0.0,
            limit_secs: 0.0,
            waiting_secs: 0.0,
        }
    }
}

impl AdmissionLevel {
    /// A level that admits everything.
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0,
            recent: [0; RECENT_WINDOWS],
            demand: [0.0; CLASS_RANKS],
            capacity: f64::INFINITY,
            factors: [1.0; CLASS_RANKS],
            window: Window::new(now),
            observed: now,
        }
    }

    /// The current level.
    pub fn get(&self) -> Priority {
        Priority(self.value)
    }

    /// Whether a new call tree of this priority is admitted.
    pub fn admits(&self, priority: Priority) -> bool {
        priority.0 >= self.value
    }

    /// Counts an arriving request.
    pub fn record_arrival(&mut self, priority: Priority) {
        if priority.0 >= self.highest_recent() {
            self.window.arrivals[class_of(priority.0)] += 1;
        }
    }

    /// Counts a refusal that indicates overload.
    pub fn record_refusal(&mut self) {
        self.window.refused += 1;
    }

    /// Records the load since the last call; called before each change of it. `capacity` is the requests per second
    /// that the upstream can serve.
    pub fn observe(&mut self, running: u32, waiting: u32, limit: u32, capacity: f64, now: Instant) {
        let span = now.saturating_duration_since(self.observed).as_secs_f64();
        self.observed = self.observed.max(now);
        self.window.running_secs += f64::from(running) * span;
        self.window.limit_secs += f64::from(limit) * span;
        self.window.waiting_secs += f64::from(waiting) * span;
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
        let highest = self.highest_recent();
        let onset = self.value == 0 && window.refused > 0;
        for (class, arrivals) in window.arrivals.iter().enumerate() {
            let visible = visible_share(class, highest);
            if visible < MIN_VISIBLE_SHARE {
                continue;
            }
            let arrivals = f64::from(*arrivals);
            let estimate = self.demand[class];
            let weight = if onset && is_surge(arrivals, estimate * span.as_secs_f64() * visible) {
                ONSET_WEIGHT
            } else {
                WINDOW_WEIGHT
            };
            self.demand[class] += (arrivals / span.as_secs_f64() / visible - estimate) * weight;
        }
        self.adjust_factors(&window);
        self.value = self.compute();
        self.recent.rotate_right(1);
        self.recent[0] = self.value;
    }

    /// Adjusts the factor of the class that the level is in; the factors of other classes return to 1.
    fn adjust_factors(&mut self, window: &Window) {
        let level_class = class_of(self.value);
        for (class, factor) in self.factors.iter_mut().enumerate() {
            if class != level_class || self.value == 0 || window.limit_secs == 0.0 {
                *factor += (1.0 - *factor) * WINDOW_WEIGHT;
                continue;
            }
            let utilization = window.running_secs / window.limit_secs;
            let queue = window.waiting_secs / window.limit_secs;
            let proportional = 1.0 + FACTOR_GAIN * (TARGET_QUEUE_SHARE - queue).max(-1.0);
            let change =
                if utilization < LOW_UTILIZATION { LOW_UTILIZATION_CHANGE } else { proportional };
            *factor = (*factor * change).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        }
    }

    /// The level above which the demand equals the corrected capacity.
    fn compute(&self) -> u16 {
        let mut remaining = self.capacity;
        for (class, demand) in self.demand.iter().enumerate().rev() {
            let available = remaining * self.factors[class];
            if *demand > available {
                let end = (class as u16 + 1) * CLASS_SIZE;
                return end - (f64::from(CLASS_SIZE) * available / demand) as u16;
            }
            remaining = (remaining - demand).max(0.0);
        }
        0
    }

    /// The highest recent level; every entry node admits requests above it, whichever level it has learned.
    fn highest_recent(&self) -> u16 {
        self.recent.iter().copied().max().unwrap_or_default()
    }
}

/// Whether arrivals exceed the expected number by more than three standard deviations of a Poisson process.
fn is_surge(arrivals: f64, expected: f64) -> bool {
    arrivals - expected > 3.0 * expected.max(1.0).sqrt()
}

fn class_of(priority: u16) -> usize {
    usize::from(priority / CLASS_SIZE).min(CLASS_RANKS - 1)
}

/// Share of a class's priorities that are above a level.
fn visible_share(class: usize, level: u16) -> f64 {
    let (start, end) = (class as u16 * CLASS_SIZE, (class as u16 + 1) * CLASS_SIZE);
    f64::from(end.saturating_sub(level.max(start))) / f64::from(CLASS_SIZE)
}
