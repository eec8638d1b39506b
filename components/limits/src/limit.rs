//! Concurrency limit of one upstream.
//!
//! The announced slots are the cap. Below it the limit climbs hills on throughput: when requests take longer than
//! they used to, a lower limit is tried for a window, and kept only if as many requests finish. So a limit that is
//! too high (an upstream that announces slots it doesn't have, and queues inside) comes down, while an upstream that
//! is slow for another reason keeps its concurrency, which a plain gradient on latency would take away.

use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_millis(250);
/// Samples from which a change of throughput can be told, and from which a limit that was not reached may grow.
const TRIAL_SAMPLES: u32 = 100;
const GROWTH_SAMPLES: u32 = 5;
/// Own time, over the least seen, at which a lower limit is worth a try.
const INFLATED: f64 = 1.5;
/// Part of the limit that is left in a try.
const STEP_DOWN: f64 = 0.85;
/// Throughput, of that before, at which a lower limit is kept.
const KEPT: f64 = 0.95;
const STEP_UP: f64 = 1.05;
const RAMP_UP: f64 = 1.3;
const RAMP_START: f64 = 0.25;
/// Windows until the next try after one that was not kept.
const HOLD: u32 = 20;
/// Busy windows after which a lower limit is tried even where nothing looks inflated.
const PERIODIC: u32 = 80;
/// Growth of the least own time a window, so that it follows a lasting change.
const FORGET: f64 = 1.002;
/// Time that a load report of the upstream holds the cap down.
const HINT_LIFE: Duration = Duration::from_secs(3);

/// How many requests may run at once.
#[derive(Debug, Clone)]
pub struct Limit {
    value: f64,
    cap: u32,
    hint: Option<(u32, Instant)>,
    window: Window,
    /// Least mean own time of a window, in seconds.
    least: f64,
    state: State,
    /// Windows until the next try.
    hold: u32,
    /// Busy windows since the last try.
    busy: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// After a start: grows fast.
    Ramp,
    /// Stays at the cap.
    Fixed,
    /// Follows the measurements.
    Steady,
    /// A lower limit is being tried; the limit and throughput before it.
    Trial { value: f64, rate: f64 },
}

#[derive(Debug, Clone, Copy)]
struct Window {
    since: Instant,
    samples: u32,
    /// Samples taken while the limit was reached.
    full: u32,
    /// Sum of own times, in seconds.
    time: f64,
}

impl Window {
    fn new(since: Instant) -> Self {
        Self { since, samples: 0, full: 0, time: 0.0 }
    }
}

impl Limit {
    /// A limit for an upstream that has just started.
    pub fn new(cap: u32, now: Instant) -> Self {
        let cap = cap.max(1);
        Self {
            value: (f64::from(cap) * RAMP_START).max(1.0),
            cap,
            hint: None,
            window: Window::new(now),
            least: f64::INFINITY,
            state: State::Ramp,
            hold: 0,
            busy: 0,
        }
    }

    /// A limit that stays where it is.
    pub fn fixed(cap: u32, now: Instant) -> Self {
        let cap = cap.max(1);
        Self { value: f64::from(cap), state: State::Fixed, ..Self::new(cap, now) }
    }

    /// The limit now.
    pub fn get(&self, now: Instant) -> u32 {
        (self.value as u32).min(self.ceiling(now)).max(1)
    }

    /// The limit apart from a lower one that is being tried.
    pub fn settled(&self, now: Instant) -> u32 {
        match self.state {
            State::Trial { value, .. } => (value as u32).min(self.ceiling(now)).max(1),
            _ => self.get(now),
        }
    }

    /// Changes the announced slots.
    pub fn set_cap(&mut self, cap: u32) {
        self.cap = cap.max(1);
        self.value = if self.state == State::Fixed {
            f64::from(self.cap)
        } else {
            self.value.min(f64::from(self.cap))
        };
    }

    /// Takes the upstream's own load report, which may lower the limit for a while and never raises it.
    pub fn hint(&mut self, busy: u32, waiting: u32, now: Instant) {
        if waiting > 0 && busy > 0 && self.state != State::Fixed {
            self.hint = Some((busy, now + HINT_LIFE));
        }
    }

    /// Takes the own time of a finished request; `full` when the limit was reached while it ran.
    pub fn sample(&mut self, own: Duration, full: bool, now: Instant) {
        if self.state == State::Fixed {
            return;
        }
        self.window.samples += 1;
        self.window.full += u32::from(full);
        self.window.time += own.as_secs_f64();
        let span = now.saturating_duration_since(self.window.since);
        if span >= WINDOW && self.window.samples >= self.wanted() {
            self.close(span, now);
        }
    }

    fn ceiling(&self, now: Instant) -> u32 {
        match self.hint {
            Some((hint, until)) if now < until => hint.min(self.cap),
            _ => self.cap,
        }
    }

    fn wanted(&self) -> u32 {
        let full = self.window.full * 2 >= self.window.samples;
        if full && self.state != State::Ramp { TRIAL_SAMPLES } else { GROWTH_SAMPLES }
    }

    fn close(&mut self, span: Duration, now: Instant) {
        let window = std::mem::replace(&mut self.window, Window::new(now));
        let full = window.full * 2 >= window.samples;
        match self.state {
            State::Fixed => {}
            State::Ramp => self.grow(RAMP_UP),
            // The load fell during the try, so it says nothing.
            State::Trial { value, .. } if !full => {
                self.value = value;
                self.state = State::Steady;
            }
            State::Steady if !full => self.grow(STEP_UP),
            State::Trial { .. } | State::Steady => self.weigh(window, span),
        }
    }

    /// Looks at a window in which the limit was reached, and that holds enough samples to tell a change by.
    fn weigh(&mut self, window: Window, span: Duration) {
        let mean = window.time / f64::from(window.samples);
        let rate = f64::from(window.samples) / span.as_secs_f64();
        self.least = (self.least * FORGET).min(mean);
        self.hold = self.hold.saturating_sub(1);
        self.busy += 1;
        let inflated = mean > self.least * INFLATED;
        match self.state {
            State::Trial { value, rate: before } => self.judge(value, before, rate),
            _ if self.wants_trial(inflated) => self.try_lower(rate),
            _ => self.grow(STEP_UP),
        }
    }

    fn wants_trial(&self, inflated: bool) -> bool {
        self.hold == 0 && self.value > 1.0 && (inflated || self.busy >= PERIODIC)
    }

    fn try_lower(&mut self, rate: f64) {
        self.state = State::Trial { value: self.value, rate };
        self.value = (self.value * STEP_DOWN).max(1.0);
        self.busy = 0;
    }

    /// Keeps a lower limit if as many requests finished under it; goes on trying while that holds.
    fn judge(&mut self, value: f64, before: f64, rate: f64) {
        if rate >= before * KEPT {
            self.state = State::Steady;
            self.try_lower(rate.max(before));
            return;
        }
        self.value = value;
        self.state = State::Steady;
        self.hold = HOLD;
    }

    fn grow(&mut self, factor: f64) {
        let cap = f64::from(self.cap);
        let grown = (self.value * factor).max(self.value + 1.0);
        self.value = grown.min(cap);
        match self.state {
            State::Ramp if self.value < cap => {}
            _ => self.state = State::Steady,
        }
    }
}
