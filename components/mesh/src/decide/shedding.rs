//! The share of its calls that a service sheds, as one node sees it, and the trees whose calls can all be retried.
//!
//! A call that is retried until it succeeds needs s / (1 - s) retries on average, s being the share that is shed. With
//! retries of a share r of the calls, r (1 - s) / s of the calls can be retried whenever they are shed. The share is
//! the same at all nodes, so that they choose the same trees without an exchange. How the calls are divided among
//! priorities is learned while the service sheds few calls: later, trees that get no retries make fewer calls.
//!
//! Designed for nodes that make 10 to some hundred calls a second to a service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::meter::DecayingRate;

/// Time constant of the shed share: shedding is to be noticed and forgotten within a second.
const SHED_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Time constant of the calls by priority.
const CALLS_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Attempts that are assumed to have succeeded, so that a single shed call is no shedding.
const ASSUMED_ATTEMPTS: f64 = 3.0;
/// Share of calls that can be retried under which a service counts as shedding.
const MIN_SHARE: f64 = 0.8;

/// Attempts at one service, those that were shed, and calls by the priority of their trees.
#[derive(Debug, Clone)]
pub struct Shedding {
    attempts: DecayingRate,
    shed: DecayingRate,
    calls: BTreeMap<u8, DecayingRate>,
    active: bool,
}

/// A change of the state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The service sheds calls. All trees of more urgent priorities than this one, and this share of its trees, can be
    /// completed.
    Started(u8, f64),
    /// It no longer does.
    Ended,
}

impl Shedding {
    /// No attempts so far.
    pub fn new(now: Instant) -> Self {
        Self {
            attempts: DecayingRate::new(SHED_TIME_CONSTANT, now),
            shed: DecayingRate::new(SHED_TIME_CONSTANT, now),
            calls: BTreeMap::new(),
            active: false,
        }
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, priority: u8, now: Instant) {
        self.attempts.add(1.0, now);
        if !self.active {
            let calls = self.calls.entry(priority);
            calls.or_insert_with(|| DecayingRate::new(CALLS_TIME_CONSTANT, now)).add(1.0, now);
        }
    }

    /// Counts another attempt of a call.
    pub fn record_retry(&mut self, now: Instant) {
        self.attempts.add(1.0, now);
    }

    /// Counts an attempt that did not succeed.
    pub fn record_shed(&mut self, now: Instant) {
        self.shed.add(1.0, now);
    }

    /// Share of the attempts that did not succeed.
    pub fn share(&self, now: Instant) -> f64 {
        let assumed = ASSUMED_ATTEMPTS / SHED_TIME_CONSTANT.as_secs_f64();
        (self.shed.rate(now) / (self.attempts.rate(now) + assumed)).min(1.0)
    }

    /// Notices that shedding has started or ended; `ratio` is the retries per call that are available.
    pub fn update(&mut self, ratio: f64, now: Instant) -> Option<Change> {
        let shed = self.share(now);
        let share = if shed > 0.0 { ratio * (1.0 - shed) / shed } else { f64::INFINITY };
        if self.active && share >= 1.0 {
            self.active = false;
            return Some(Change::Ended);
        }
        if self.active || share >= MIN_SHARE {
            return None;
        }
        self.active = true;
        let total: f64 = self.calls.values().map(|calls| calls.rate(now)).sum();
        let mut left = share * total;
        for (priority, calls) in &self.calls {
            let calls = calls.rate(now);
            if calls >= left {
                return Some(Change::Started(*priority, left / calls));
            }
            left -= calls;
        }
        None
    }
}
