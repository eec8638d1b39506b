//! Which node of a service a request is sent to.

use std::time::{Duration, Instant};

use super::meter;
use super::queue::Load;

/// Time a failed node is avoided at first, and the longest.
const FIRST_REST: Duration = Duration::from_millis(300);
const LONGEST_REST: Duration = Duration::from_secs(3);
/// Time after which a report of load says nothing more.
const STALE: Duration = Duration::from_millis(1_500);
/// What it is worth, in time, not to leave the failure domain, or the region: bytes over these links are paid for.
const ZONE_COST: Duration = Duration::from_millis(6);
const REGION_COST: Duration = Duration::from_millis(120);
/// Cost of a node that is avoided: it is used only if all are.
const AVOIDED: Duration = Duration::from_secs(60);

/// What a request that is spoilt is worth, in time: it is sent again, or its tree has failed.
const SPOILT_COST: Duration = Duration::from_millis(400);
/// Weight of one outcome in the part that is spoilt, and time in which that part fades where nothing is sent.
const SPOILT_WEIGHT: f64 = 0.1;
const SPOILT_FADE: Duration = Duration::from_secs(3);

/// Time without any answer, while requests are out, after which a node counts as silent: at least, and as a multiple
/// of the time that it holds a slot. Long against the spread of work, short against the time of a tree.
const SILENT_LEAST: Duration = Duration::from_millis(250);
const SILENT_TIMES: f64 = 3.0;
/// Requests that have to be out, as one alone may just be a long one, and the multiple of the time that does for one.
const SILENT_OUT: u32 = 2;
const SILENT_ALONE: u32 = 2;
/// Cost of a silent node, in time: more than any path between regions, so that it is used only if the others are full.
const SILENT_COST: Duration = Duration::from_secs(1);
/// Weight of one answer in the time that a node and the path to it add, and time in which that fades.
const ADDED_WEIGHT: f64 = 0.1;
const ADDED_FADE: Duration = Duration::from_secs(3);

/// How far away a node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In the same failure domain.
    Zone,
    /// In another failure domain of the region.
    Region,
    /// In another region.
    Far,
}

/// What this node knows of another as a place to send requests to.
#[derive(Debug, Clone)]
pub struct Peer {
    report: Load,
    at: Instant,
    inflight: u32,
    reported: u32,
    failures: u32,
    rests: Option<Instant>,
    /// Part of its outcomes that were spoilt, at the moment of the last.
    spoilt: f64,
    judged: Instant,
    /// The last answer, or the first request after a time with none out.
    progress: Instant,
    /// Seconds that the node and the path to it add to the time of the guard, at the moment of the last answer.
    added: f64,
    measured: Instant,
}

impl Peer {
    /// A peer of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self {
            report: Load::default(),
            at: now,
            inflight: 0,
            reported: 0,
            failures: 0,
            rests: None,
            spoilt: 0.0,
            judged: now,
            progress: now,
            added: 0.0,
            measured: now,
        }
    }

    /// A request was sent.
    pub fn sent(&mut self, now: Instant) {
        if self.inflight == 0 {
            self.progress = now;
        }
        self.inflight += 1;
    }

    /// A request has ended.
    pub fn ended(&mut self) {
        self.inflight = self.inflight.saturating_sub(1);
    }

    /// It reported its load.
    pub fn reported(&mut self, load: Load, now: Instant) {
        self.report = load;
        self.at = now;
        self.reported = self.inflight;
    }

    /// Others told of its load, which may be older than what it reported itself.
    pub fn heard(&mut self, load: Load, now: Instant) {
        if now.saturating_duration_since(self.at) > STALE || self.report.limit == 0 {
            self.reported(load, now);
        }
    }

    /// Whether it is avoided after a failure.
    pub fn rests(&self, now: Instant) -> bool {
        self.rests.is_some_and(|until| now < until)
    }

    /// It answered.
    pub fn answered(&mut self, now: Instant) {
        self.failures = 0;
        self.rests = None;
        self.progress = now;
    }

    /// An answer came after `taken`, of which the guard had it for `held`.
    pub fn added(&mut self, taken: Duration, held: Duration, now: Instant) {
        let added = taken.saturating_sub(held).as_secs_f64();
        self.added = meter::fade(self.added, self.measured, ADDED_FADE, now);
        self.added += (added - self.added) * ADDED_WEIGHT;
        self.measured = now;
    }

    /// Time without an answer after which it counts as silent.
    pub fn silence(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.report.held) / 1e6)
            .mul_f64(SILENT_TIMES)
            .max(SILENT_LEAST)
    }

    /// Whether it has answered nothing for long, though requests are out.
    pub fn is_silent(&self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.progress);
        match self.inflight {
            0 => false,
            1..SILENT_OUT => passed > self.silence() * SILENT_ALONE,
            _ => passed > self.silence(),
        }
    }

    /// It could not be reached, or the connection was lost.
    pub fn failed(&mut self, now: Instant) {
        let rest = FIRST_REST.saturating_mul(1 << self.failures.min(6)).min(LONGEST_REST);
        self.failures += 1;
        self.rests = Some(now + rest);
    }

    /// Its upstream answered, or lost or refused what it was sent.
    pub fn judge(&mut self, good: bool, now: Instant) {
        let bad = if good { 0.0 } else { 1.0 };
        self.spoilt = self.faded(now) * (1.0 - SPOILT_WEIGHT) + bad * SPOILT_WEIGHT;
        self.judged = now;
    }

    fn faded(&self, now: Instant) -> f64 {
        meter::fade(self.spoilt, self.judged, SPOILT_FADE, now)
    }

    fn wait(&self, now: Instant) -> Duration {
        if self.report.limit == 0 {
            return Duration::ZERO;
        }
        let fresh = now.saturating_duration_since(self.at) < STALE;
        let known = if fresh { self.report.running + self.report.waiting } else { 0 };
        let since = self.inflight.saturating_sub(if fresh { self.reported } else { 0 });
        let over = (known + since + 1).saturating_sub(self.report.limit);
        let turn = f64::from(self.report.held) / 1e6 / f64::from(self.report.limit);
        Duration::from_secs_f64(f64::from(over) * turn)
    }

    /// Cost of sending a request there, as time.
    pub fn cost(&self, tier: Tier, avoid: bool, now: Instant) -> Duration {
        let place = match tier {
            Tier::Zone => Duration::ZERO,
            Tier::Region => ZONE_COST,
            Tier::Far => REGION_COST,
        };
        let avoid = avoid || self.rests(now);
        let spoilt = SPOILT_COST.mul_f64(self.faded(now));
        let added = meter::fade(self.added, self.measured, ADDED_FADE, now);
        let added = Duration::from_secs_f64(added).saturating_sub(place);
        let silent = if self.is_silent(now) { SILENT_COST } else { Duration::ZERO };
        let avoided = if avoid { AVOIDED } else { Duration::ZERO };
        self.wait(now) + place + spoilt + added + silent + avoided
    }
}
