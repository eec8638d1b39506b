//! Concurrency limit of one upstream.
//!
//! The announced slots are the cap. Below it the limit is found by hill climbing on throughput: when requests take
//! longer than the baseline, a lower limit is tried for a window and kept only if throughput holds. So a limit that is
//! too high (the upstream announces slots it doesn't have and queues internally) comes down, while an upstream that is
//! slow for another reason keeps its concurrency, which a gradient on latency would take away.

use std::time::{Duration, Instant};

/// Minimum length of a measurement window.
const WINDOW: Duration = Duration::from_millis(250);
/// Samples needed to detect a change of throughput.
const TRIAL_SAMPLES: u32 = 100;
/// Samples needed to raise a limit that ramps up or was not reached.
const GROWTH_SAMPLES: u32 = 5;
/// Ratio of self time to the baseline above which a lower limit is tried.
const INFLATION_RATIO: f64 = 1.5;
/// Factor on the limit in a trial.
const TRIAL_FACTOR: f64 = 0.85;
/// Share of the earlier throughput that a trial must reach for its limit to be kept.
const KEEP_RATIO: f64 = 0.95;
/// Factor on the limit per window in which it grows, and while it ramps up after a start.
const GROWTH_FACTOR: f64 = 1.05;
const RAMP_FACTOR: f64 = 1.3;
/// Initial limit as a share of the cap.
const RAMP_START_SHARE: f64 = 0.25;
/// Saturated windows without a trial after one whose limit was not kept.
const TRIAL_COOLDOWN_WINDOWS: u32 = 20;
/// Saturated windows after which a lower limit is tried even without inflated self times.
const TRIAL_INTERVAL_WINDOWS: u32 = 80;
/// Growth of the baseline per saturated window, so that it follows a lasting change.
const BASELINE_GROWTH: f64 = 1.002;
/// How long a load report of the upstream lowers the limit.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(3);

/// Number of requests that may run at once.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    value: f64,
    cap: u32,
    /// Cap from the last load report, and when it expires.
    reported: Option<(u32, Instant)>,
    window: Window,
    /// Lowest mean self time of a saturated window, raised slowly over time.
    baseline_secs: f64,
    state: State,
    /// Saturated windows until the next trial is allowed.
    cooldown: u32,
    /// Saturated windows since the last trial.
    since_trial: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// Grows fast after a start.
    Ramp,
    /// Stays at the cap.
    Fixed,
    /// Adapts to the measurements.
    Steady,
    /// A lower limit is on trial; holds the limit and throughput before it.
    Trial { value: f64, rate: f64 },
}

#[derive(Debug, Clone, Copy)]
struct Window {
    since: Instant,
    samples: u32,
    /// Samples taken while the limit was reached.
    saturated: u32,
    /// Sum of self times.
    self_secs: f64,
}

impl Window {
    fn new(since: Instant) -> Self {
        Self { since, samples: 0, saturated: 0, self_secs: 0.0 }
    }
}

impl ConcurrencyLimit {
    /// A limit for an upstream that has just started.
    pub fn new(cap: u32, now: Instant) -> Self {
        let cap = cap.max(1);
        Self {
            value: (f64::from(cap) * RAMP_START_SHARE).max(1.0),
            cap,
            reported: None,
            window: Window::new(now),
            baseline_secs: f64::INFINITY,
            state: State::Ramp,
            cooldown: 0,
            since_trial: 0,
        }
    }

    /// A limit that stays at the cap.
    pub fn fixed(cap: u32, now: Instant) -> Self {
        let cap = cap.max(1);
        Self { value: f64::from(cap), state: State::Fixed, ..Self::new(cap, now) }
    }

    /// The current limit.
    pub fn get(&self, now: Instant) -> u32 {
        (self.value as u32).min(self.ceiling(now)).max(1)
    }

    /// The current limit, or during a trial the one before it.
    pub fn outside_trial(&self, now: Instant) -> u32 {
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

    /// Applies the upstream's own load report, which can lower the limit for a while but never raise it.
    pub fn report_load(&mut self, busy: u32, waiting: u32, now: Instant) {
        if waiting > 0 && busy > 0 && self.state != State::Fixed {
            self.reported = Some((busy, now + LOAD_REPORT_TTL));
        }
    }

    /// Records the self time of a finished request; `saturated` when the limit was reached as it finished.
    pub fn record(&mut self, self_time: Duration, saturated: bool, now: Instant) {
        if self.state == State::Fixed {
            return;
        }
        self.window.samples += 1;
        self.window.saturated += u32::from(saturated);
        self.window.self_secs += self_time.as_secs_f64();
        let span = now.saturating_duration_since(self.window.since);
        if span >= WINDOW && self.window.samples >= self.min_samples() {
            self.close(span, now);
        }
    }

    fn ceiling(&self, now: Instant) -> u32 {
        match self.reported {
            Some((reported, until)) if now < until => reported.min(self.cap),
            _ => self.cap,
        }
    }

    fn min_samples(&self) -> u32 {
        let saturated = self.window.saturated * 2 >= self.window.samples;
        if saturated && self.state != State::Ramp { TRIAL_SAMPLES } else { GROWTH_SAMPLES }
    }

    fn close(&mut self, span: Duration, now: Instant) {
        let window = std::mem::replace(&mut self.window, Window::new(now));
        let saturated = window.saturated * 2 >= window.samples;
        match self.state {
            State::Fixed => {}
            State::Ramp => self.grow(RAMP_FACTOR),
            // The load fell during the trial, so its throughput is not comparable.
            State::Trial { value, .. } if !saturated => {
                self.value = value;
                self.state = State::Steady;
            }
            State::Steady if !saturated => self.grow(GROWTH_FACTOR),
            State::Trial { .. } | State::Steady => self.evaluate(window, span),
        }
    }

    /// Evaluates a saturated window, which holds enough samples to detect a change of throughput.
    fn evaluate(&mut self, window: Window, span: Duration) {
        let mean = window.self_secs / f64::from(window.samples);
        let rate = f64::from(window.samples) / span.as_secs_f64();
        self.baseline_secs = (self.baseline_secs * BASELINE_GROWTH).min(mean);
        self.cooldown = self.cooldown.saturating_sub(1);
        self.since_trial += 1;
        let inflated = mean > self.baseline_secs * INFLATION_RATIO;
        match self.state {
            State::Trial { value, rate: before } => self.finish_trial(value, before, rate),
            _ if self.needs_trial(inflated) => self.start_trial(rate),
            _ => self.grow(GROWTH_FACTOR),
        }
    }

    fn needs_trial(&self, inflated: bool) -> bool {
        self.cooldown == 0
            && self.value > 1.0
            && (inflated || self.since_trial >= TRIAL_INTERVAL_WINDOWS)
    }

    fn start_trial(&mut self, rate: f64) {
        self.state = State::Trial { value: self.value, rate };
        self.value = (self.value * TRIAL_FACTOR).max(1.0);
        self.since_trial = 0;
    }

    /// Keeps the lower limit and tries the next one if throughput held; otherwise restores the limit.
    fn finish_trial(&mut self, value: f64, before: f64, rate: f64) {
        if rate >= before * KEEP_RATIO {
            self.state = State::Steady;
            self.start_trial(rate.max(before));
            return;
        }
        self.value = value;
        self.state = State::Steady;
        self.cooldown = TRIAL_COOLDOWN_WINDOWS;
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
