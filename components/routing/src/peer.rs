//! What a node knows of the load of another.

use std::time::{Duration, Instant};

/// Age at which a report counts for little more than a third.
const FADE: Duration = Duration::from_millis(500);
/// Time that a report of a full upstream keeps new calls away.
const FULL_LIFE: Duration = Duration::from_millis(100);
const LATENCY_WEIGHT: f64 = 0.1;
const FIRST_EJECTION: Duration = Duration::from_millis(500);
const LONGEST_EJECTION: Duration = Duration::from_secs(8);

units::value! {
    /// Load of an upstream, as its guard reports it on each answer.
    #[derive(Default)]
    pub struct Report {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests that may run at once.
        pub limit: u32,
    }
}

/// State kept for each node that calls are sent to.
#[derive(Debug, Clone)]
pub struct Peer {
    report: Report,
    at: Instant,
    /// Calls of this node that are in flight there.
    inflight: u32,
    /// Mean latency, in seconds.
    latency: f64,
    full: Option<Instant>,
    failures: u32,
    ejected: Option<Instant>,
}

impl Peer {
    /// A peer that nothing is known of but its announced slots.
    pub fn new(slots: u32, now: Instant) -> Self {
        let report = Report { limit: slots.max(1), ..Report::default() };
        Self { report, at: now, inflight: 0, latency: 0.0, full: None, failures: 0, ejected: None }
    }

    /// A call was sent.
    pub fn sent(&mut self) {
        self.inflight += 1;
    }

    /// A call ended in whatever way.
    pub fn ended(&mut self) {
        self.inflight = self.inflight.saturating_sub(1);
    }

    /// An answer came with a report.
    pub fn answered(&mut self, report: Report, latency: Duration, now: Instant) {
        self.reported(report, now);
        let weight = if self.latency == 0.0 { 1.0 } else { LATENCY_WEIGHT };
        self.latency += (latency.as_secs_f64() - self.latency) * weight;
    }

    /// A report came without a useful latency, as with a refusal.
    pub fn reported(&mut self, report: Report, now: Instant) {
        self.report = report;
        self.at = now;
        self.failures = 0;
        self.ejected = None;
        self.full =
            (report.waiting > 0 && report.running >= report.limit).then_some(now + FULL_LIFE);
    }

    /// The upstream had no room for a call.
    pub fn refused(&mut self, now: Instant) {
        self.full = Some(now + FULL_LIFE);
    }

    /// The node could not be reached, or the connection to it was lost.
    pub fn failed(&mut self, now: Instant) {
        let span = FIRST_EJECTION.saturating_mul(1 << self.failures.min(8)).min(LONGEST_EJECTION);
        self.failures += 1;
        self.ejected = Some(now + span);
    }

    /// Whether it is known to have no room.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full.is_some_and(|until| now < until)
    }

    /// Whether calls should avoid it because it failed lately.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected.is_some_and(|until| now < until)
    }

    /// Load as a share of the limit; lower is better.
    pub fn score(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let fresh = (-age / FADE.as_secs_f64()).exp();
        let elsewhere =
            f64::from((self.report.running + self.report.waiting).saturating_sub(self.inflight));
        (elsewhere * fresh + f64::from(self.inflight) + 1.0) / f64::from(self.report.limit.max(1))
    }

    /// Mean latency.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency)
    }
}
