//! The concurrency window of an upstream that has just started, or recovers from a spell of failures.
//!
//! Designed for upstreams of 1 to some 1,000 slots, whatever the number of entries: one guard sees all requests of its
//! upstream. The window starts with a few slots and grows by two with each response while responses are as fast as the
//! first ones, so that it triples in each run time. While they get slower it grows by one in each round of
//! responses, as long as the number of responses a second still rises. The responses are compared with the first ones
//! since the start, not with those of an earlier incarnation: an upstream that runs twice as long while it is cold gets
//! its slots as fast as any other. A failure halves the window, once in each run time. At the number of slots the window
//! ends, and after `MAX_OPENING` without failures in any case, so that a wrong measurement is of limited effect.

use std::time::{Duration, Instant};

/// Least slots at the start of a window, and after failures.
const FIRST_SLOTS: u32 = 4;
/// Share of the slots at the start of a new incarnation: a service whose upstreams all start at once then needs two run
/// times to open, whatever the number of their slots.
const FIRST_SHARE: f64 = 1.0 / 5.0;
/// Growth with each response while responses are fast. With 1, and 4 slots at the start, a simulated service of 36 slots
/// whose upstreams all started at once and were cold answered late or refused 1.3 to 1.4% of its requests.
const FAST_GROWTH: f64 = 2.0;
/// Responses in a round at least: with fewer, the variation of the work exceeds the differences that matter.
const MIN_ROUND: u32 = 8;
/// Ratio of the run time to that at the start up to which responses count as fast: with 2, an upstream that can run few
/// requests while it is cold got all slots at once; with 1.3, one that can run all of them waited for its slots.
const FAST_RATIO: f64 = 1.5;
/// Least gain of responses a second in a round for which the window grows further.
const MIN_GAIN: f64 = 0.02;
/// Time after which a window ends, and time without failures that this takes.
const MAX_OPENING: Duration = Duration::from_secs(10);
const CALM: Duration = Duration::from_secs(2);

/// Weight of one request in the share of those that the upstream lost, and share from which it is a spell of failures:
/// seven in a row.
const LOST_WEIGHT: f64 = 0.1;
const LOST_SHARE: f64 = 0.5;
/// The same for all failures. An overloaded service that sheds half of its requests, or fails some kinds of requests,
/// is no upstream that has to recover: 45 in a row.
const FAILED_WEIGHT: f64 = 0.05;
const FAILED_SHARE: f64 = 0.9;

/// Age of an incarnation up to which it counts as just started: the time between its start and its first heartbeat.
const MAX_START_AGE: Duration = Duration::from_secs(3);

/// How a request failed at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The upstream could not be reached, or the connection was lost.
    Lost,
    /// It answered with an error or a refusal, or not in time.
    Failed,
}

/// Whether an error or a refusal tells of the upstream itself. A run that ends with an error at a service that `calls`
/// others mostly lacked one of its calls: while a leaf service shed 55% of its calls, slow starts of all services above
/// it kept their slots idle.
pub fn is_own_failure(not_run: bool, calls: bool) -> bool {
    not_run || !calls
}

/// Why a window began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// A new incarnation has started.
    Start,
    /// The upstream lost or failed most requests.
    Failures,
}

/// A change to report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// A window began.
    Began(Cause),
    /// All slots are in use again, after this time.
    Opened(Duration),
}

/// Whether an incarnation of which the node hears for the first time has just started, rather than been running while
/// the node was restarted. `replaced` if the node knew another incarnation before it.
pub fn is_starting(started_ms: u64, now_ms: u64, warmup: Duration, replaced: bool) -> bool {
    // Some upstreams don't tell when they started.
    let age = (started_ms > 0).then(|| Duration::from_millis(now_ms.saturating_sub(started_ms)));
    !warmup.is_zero() || age.map_or(replaced, |age| age <= MAX_START_AGE)
}

/// Responses of a round, and the sums of their run times and of the requests that ran with them.
#[derive(Debug, Clone, Copy, Default)]
struct Round {
    responses: u32,
    run_secs: f64,
    running: f64,
}

impl Round {
    fn mean_run_secs(&self) -> f64 {
        (self.run_secs / f64::from(self.responses)).max(1e-6)
    }

    /// Responses a second: requests that run, by the time that each takes.
    fn rate(&self) -> f64 {
        self.running / f64::from(self.responses) / self.mean_run_secs()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Growth {
    Fast,
    Slow,
    None,
}

#[derive(Debug)]
struct Window {
    cause: Cause,
    slots: f64,
    began_at: Instant,
    growth: Growth,
    round: Round,
    /// The first responses, and those that were as fast.
    usual: Round,
    /// Responses a second of the best round.
    best_rate: f64,
    /// Time of the last failure, and of the beginning or the last time that a failure reduced the window.
    failed_at: Option<Instant>,
    reduced_at: Instant,
}

/// Slow start of one upstream.
#[derive(Debug, Default)]
pub struct SlowStart {
    window: Option<Window>,
    lost_share: f64,
    failed_share: f64,
    transition: Option<Transition>,
}

impl SlowStart {
    /// Begins a window for an upstream of that many slots.
    pub fn begin(&mut self, cause: Cause, slots: u32, now: Instant) {
        let share = if cause == Cause::Start { FIRST_SHARE } else { 0.0 };
        let first = (f64::from(slots) * share).max(f64::from(FIRST_SLOTS));
        *self = Self {
            window: Some(Window::new(cause, first, now)),
            lost_share: 0.0,
            failed_share: 0.0,
            transition: Some(Transition::Began(cause)),
        };
    }

    /// Slots that the window allows, if they are fewer than `slots`.
    pub fn limit(&self, slots: u32) -> Option<u32> {
        let allowed = self.window.as_ref()?.slots as u32;
        (allowed < slots).then_some(allowed)
    }

    /// Whether a window of a new incarnation is open.
    pub fn is_starting(&self) -> bool {
        self.window.as_ref().is_some_and(|window| window.cause == Cause::Start)
    }

    /// Expected wait, in seconds, of the request at a place of the queue, if each run takes `run_secs`.
    pub fn opening_wait(&self, place: f64, run_secs: f64) -> f64 {
        let Some(window) = &self.window else { return 0.0 };
        // The window grows by this factor in each run time, and each response lets a further request run.
        let (growth, grants) = (FAST_GROWTH, FAST_GROWTH + 1.0);
        run_secs / growth * (1.0 + place * growth / (grants * window.slots)).ln()
    }

    /// Records a response without an error that took `held`, while `running` requests ran, itself included.
    pub fn record_success(&mut self, held: Duration, running: u32, now: Instant) {
        self.lost_share *= 1.0 - LOST_WEIGHT;
        self.failed_share *= 1.0 - FAILED_WEIGHT;
        // Requests that were sent before tell of the incarnation or the time before.
        if let Some(window) = &mut self.window
            && now.saturating_duration_since(window.began_at) >= held
        {
            window.record_response(held, running);
        }
    }

    /// Records a failure of a request that was sent at `sent_at`.
    pub fn record_failure(&mut self, failure: Failure, sent_at: Instant, now: Instant) {
        let lost = if failure == Failure::Lost { 1.0 } else { 0.0 };
        self.lost_share += (lost - self.lost_share) * LOST_WEIGHT;
        self.failed_share += (1.0 - self.failed_share) * FAILED_WEIGHT;
        match &mut self.window {
            Some(window) => window.record_failure(sent_at, now),
            None if self.lost_share > LOST_SHARE || self.failed_share > FAILED_SHARE => {
                self.begin(Cause::Failures, 0, now);
            }
            None => {}
        }
    }

    /// Ends the window if it has reached `slots`, or its time is over.
    pub fn update(&mut self, slots: u32, now: Instant) {
        let Some(window) = &self.window else { return };
        if window.slots >= f64::from(slots) || window.is_over(now) {
            let after = now.saturating_duration_since(window.began_at);
            self.window = None;
            self.transition = Some(Transition::Opened(after));
        }
    }

    /// The latest change that was not reported yet.
    pub fn take_transition(&mut self) -> Option<Transition> {
        self.transition.take()
    }
}

impl Window {
    fn new(cause: Cause, slots: f64, now: Instant) -> Self {
        Self {
            cause,
            slots,
            began_at: now,
            growth: Growth::Fast,
            round: Round::default(),
            usual: Round::default(),
            best_rate: 0.0,
            failed_at: None,
            reduced_at: now,
        }
    }

    fn record_response(&mut self, held: Duration, running: u32) {
        let held_secs = held.as_secs_f64();
        let fast = self.usual.responses < FIRST_SLOTS
            || held_secs <= self.usual.mean_run_secs() * FAST_RATIO;
        if fast {
            self.usual.responses += 1;
            self.usual.run_secs += held_secs;
        }
        self.slots += match self.growth {
            Growth::Fast if fast => FAST_GROWTH,
            Growth::Fast => 0.0,
            Growth::Slow => 1.0 / self.slots,
            Growth::None => 0.0,
        };
        self.round.responses += 1;
        self.round.run_secs += held_secs;
        self.round.running += f64::from(running);
        if self.round.responses >= MIN_ROUND.max(self.slots as u32 / 2) {
            self.end_round();
        }
    }

    fn end_round(&mut self) {
        let round = std::mem::take(&mut self.round);
        let ratio = round.mean_run_secs() / self.usual.mean_run_secs();
        self.growth = if ratio <= FAST_RATIO {
            Growth::Fast
        } else if round.rate() > self.best_rate * (1.0 + MIN_GAIN) {
            Growth::Slow
        } else {
            Growth::None
        };
        self.best_rate = self.best_rate.max(round.rate());
    }

    fn record_failure(&mut self, sent_at: Instant, now: Instant) {
        self.failed_at = Some(now);
        // Requests that ran together fail together, and those of a former incarnation with it.
        if sent_at >= self.reduced_at {
            self.slots = (self.slots / 2.0).max(f64::from(FIRST_SLOTS));
            self.reduced_at = now;
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        let proven = self.usual.responses > 0;
        proven
            && since(self.began_at) >= MAX_OPENING
            && self.failed_at.is_none_or(|at| since(at) >= CALM)
    }
}
