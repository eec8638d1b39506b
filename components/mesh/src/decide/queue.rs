//! The slots of a guard's upstream, its rate limit, and the short queue for both.
//!
//! Requests are ordered by priority, and within a priority by the target time of their answer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use units::Rate;

use super::rate_limit::{Answer, RateLimit};
use super::service_time::{ServiceTime, ServiceTimes};
use super::slow_start::{Cause, Failure, SlowStart, Transition};

/// Share of the announced slots that is used: upstreams slow down when the last ones are taken.
const USABLE_SHARE: f64 = 0.95;
/// Weight of one request in the moving average of the time that a slot is held.
const HELD_WEIGHT: f64 = 0.05;
/// Assumed time that a slot is held, before the first measurement.
const INITIAL_HELD_SECS: f64 = 0.05;

/// Accepted wait from which a request that only waits for the window of a slow start is queued until its deadline: its
/// sender has no other node to go to.
const PATIENT_WAIT: Duration = Duration::from_millis(50);

/// A request for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// Priority of its root request; 0 is the most urgent.
    pub priority: u8,
    /// Target time of its answer; later answers are worth less.
    pub target_time: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Longest expected wait that its sender accepts.
    pub max_wait: Duration,
}

/// Answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The request runs.
    Run,
    /// The request waits at this position.
    Wait(Position),
    /// The expected wait is too long.
    Refuse {
        /// The expected wait.
        wait: Duration,
        /// Whether the rate limit, rather than the slots, causes it.
        rate_limited: bool,
    },
}

/// Position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    priority: u8,
    target_time: Instant,
    number: u64,
}

/// Load of an upstream as reported to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Average time that a slot is held, in microseconds.
    pub held_us: u32,
    /// Requests per second that may be sent, while there is a rate limit.
    pub rate: Option<Rate>,
    /// Requests that may be sent at once within that limit.
    pub tokens: f64,
    /// Requests that may run at once for now, if these are fewer, as the upstream starts or recovers.
    pub window: Option<u32>,
    /// Run time, if the upstream reports its service-time factor.
    pub service_time: Option<ServiceTime>,
}

impl Load {
    /// Average time that a slot is held, in seconds.
    pub fn held_secs(&self) -> f64 {
        f64::from(self.held_us) / 1e6
    }

    /// Slots that may be in use for now.
    pub fn open_slots(&self) -> u32 {
        self.window.map_or(self.limit, |window| window.min(self.limit))
    }

    /// Slots that can be in use once the upstream has started: all, or those that the rate limit fills.
    pub fn usable_slots(&self) -> f64 {
        let rate_slots = self.rate.map_or(f64::INFINITY, |rate| rate.0 * self.held_secs());
        f64::from(self.limit).min(rate_slots)
    }
}

/// Slots of one upstream and the requests that wait for them.
#[derive(Debug)]
pub struct Queue<T> {
    limit: u32,
    running: u32,
    held_secs: f64,
    rate_limit: RateLimit,
    service_times: ServiceTimes,
    slow_start: SlowStart,
    waiting: BTreeMap<Position, T>,
    next_number: u64,
}

impl<T> Queue<T> {
    /// An empty queue with one slot, until the upstream announces more.
    pub fn new() -> Self {
        Self {
            limit: 1,
            running: 0,
            held_secs: INITIAL_HELD_SECS,
            rate_limit: RateLimit::default(),
            service_times: ServiceTimes::default(),
            slow_start: SlowStart::default(),
            waiting: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Sets the number of slots from the number that the upstream announced.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit = ((f64::from(slots) * USABLE_SHARE) as u32).max(1);
    }

    /// Forgets the rate limit: a new incarnation of the upstream has started.
    pub fn reset_rate_limit(&mut self) {
        self.rate_limit = RateLimit::default();
    }

    /// Sets a rate limit that was known before a restart; false if an answer has arrived since.
    pub fn restore_rate_limit(&mut self, limit: Rate, now: Instant) -> bool {
        self.rate_limit.restore(limit, now)
    }

    /// Records that there was no rate limit before a restart.
    pub fn restore_unlimited(&mut self) {
        self.rate_limit.restore_unlimited();
    }

    /// Updates the rate limit from an answer of the upstream.
    pub fn record_answer(&mut self, answer: Answer, now: Instant) {
        let capacity = f64::from(self.limit) / self.held_secs;
        self.rate_limit.record_answer(answer, capacity, now);
    }

    /// Records the service-time factor that the upstream reported.
    pub fn record_factor(&mut self, factor: f64, now: Instant) {
        self.service_times.record_factor(factor, now);
    }

    /// Forgets the service times: a new incarnation of the upstream has started.
    pub fn reset_service_times(&mut self) {
        self.service_times = ServiceTimes::default();
    }

    /// The latest service-time factor and its age.
    pub fn latest_factor(&self, now: Instant) -> Option<(f64, Duration)> {
        self.service_times.latest(now)
    }

    /// Begins a slow start.
    pub fn begin_slow_start(&mut self, cause: Cause, now: Instant) {
        self.slow_start.begin(cause, self.limit, now);
    }

    /// Records that a request failed at the upstream that was sent at `sent_at`.
    pub fn record_failure(&mut self, failure: Failure, sent_at: Instant, now: Instant) {
        self.slow_start.record_failure(failure, sent_at, now);
    }

    /// The latest beginning or end of a slow start that was not reported yet.
    pub fn take_transition(&mut self) -> Option<Transition> {
        self.slow_start.take_transition()
    }

    /// The announced rate limit.
    pub fn announced_limit(&self) -> Option<Rate> {
        self.rate_limit.announced()
    }

    /// Current load.
    pub fn load(&self, now: Instant) -> Load {
        let rate = self.rate_limit.rate_and_tokens(now);
        Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            limit: self.limit,
            held_us: (self.held_secs * 1e6) as u32,
            rate: rate.map(|(rate, _)| rate),
            tokens: rate.map_or(0.0, |(_, tokens)| tokens),
            window: self.slow_start.limit(self.limit),
            service_time: self.service_times.report(now),
        }
    }

    /// Runs, queues or refuses a request; `make_value` makes the value that is stored while it waits.
    pub fn acquire(
        &mut self,
        request: SlotRequest,
        now: Instant,
        make_value: impl FnOnce() -> T,
    ) -> Decision {
        self.slow_start.update(self.limit, now);
        if self.running < self.slots() && self.waiting.is_empty() && self.rate_limit.try_take(now) {
            self.running += 1;
            return Decision::Run;
        }
        let position = Position {
            priority: request.priority,
            target_time: request.target_time,
            number: self.next_number,
        };
        let (slot_wait, token_wait) = self.expected_waits(position, now);
        let wait = slot_wait.max(token_wait);
        let patient = self.is_starting() && request.max_wait >= PATIENT_WAIT;
        let limiting_wait = if patient { token_wait } else { wait };
        if limiting_wait > request.max_wait || now + wait >= request.deadline {
            return Decision::Refuse { wait, rate_limited: token_wait > slot_wait };
        }
        self.next_number += 1;
        self.waiting.insert(position, make_value());
        Decision::Wait(position)
    }

    /// Frees a slot; `complete` if `held` counts for the average.
    pub fn release(&mut self, held: Duration, complete: bool, now: Instant) {
        if complete {
            self.held_secs += (held.as_secs_f64() - self.held_secs) * HELD_WEIGHT;
            self.service_times.record_run(held);
            self.slow_start.record_success(held, self.running, now);
        }
        self.running = self.running.saturating_sub(1);
    }

    /// Frees a slot whose request was not sent.
    pub fn release_unused(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.rate_limit.put_back();
    }

    /// Starts the next request if a slot is free and the rate limit allows it.
    pub fn grant_next(&mut self, now: Instant) -> Option<T> {
        self.slow_start.update(self.limit, now);
        if self.running >= self.slots() || self.waiting.is_empty() {
            return None;
        }
        if !self.rate_limit.try_take(now) {
            return None;
        }
        let (_, value) = self.waiting.pop_first()?;
        self.running += 1;
        Some(value)
    }

    /// Removes a waiting request; false if it was started already.
    pub fn cancel(&mut self, position: Position) -> bool {
        self.waiting.remove(&position).is_some()
    }

    /// Time until the rate limit allows the request at a position; zero if only slots are short.
    pub fn token_wait(&self, position: Position, now: Instant) -> Duration {
        self.rate_limit.wait(self.ahead(position) + 1.0, now)
    }

    /// Slots that may be in use.
    fn slots(&self) -> u32 {
        let slots = self.rate_limit.usable_slots(self.limit);
        self.slow_start.limit(slots).unwrap_or(slots)
    }

    /// Whether requests wait for the window of an upstream that has just started.
    fn is_starting(&self) -> bool {
        self.slow_start.is_starting() && self.slow_start.limit(self.limit).is_some()
    }

    fn ahead(&self, position: Position) -> f64 {
        self.waiting.range(..position).count() as f64
    }

    /// Expected waits for a slot, and for the rate limit.
    fn expected_waits(&self, position: Position, now: Instant) -> (Duration, Duration) {
        let place = self.ahead(position) + 1.0;
        let free = f64::from(self.slots().saturating_sub(self.running));
        let slot_secs = if place <= free {
            0.0
        } else if self.is_starting() {
            let opening = self.slow_start.opening_wait(place, self.held_secs);
            let beyond = (place + f64::from(self.running) - f64::from(self.limit)).max(0.0);
            opening + beyond * self.held_secs / f64::from(self.limit)
        } else {
            place * self.held_secs / f64::from(self.limit)
        };
        (Duration::from_secs_f64(slot_secs), self.token_wait(position, now))
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
