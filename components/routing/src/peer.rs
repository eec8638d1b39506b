//! Load and health of another node, as seen by this node.

use std::time::{Duration, Instant};

/// Time constant of the exponential decay of a report's weight.
const REPORT_DECAY: Duration = Duration::from_millis(500);
/// How long an upstream counts as having no capacity after a report or a refusal that says so.
const AT_CAPACITY_TTL: Duration = Duration::from_millis(100);
const LATENCY_WEIGHT: f64 = 0.1;
/// Ejection after one failure; it doubles with each further failure.
const MIN_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(8);

units::value! {
    /// Load of an upstream, reported by its node with each answer.
    #[derive(Default)]
    pub struct LoadReport {
        /// Running requests.
        pub running: u32,
        /// Queued requests.
        pub waiting: u32,
        /// Concurrency limit.
        pub limit: u32,
    }
}

/// State of a node that calls are sent to.
#[derive(Debug, Clone)]
pub struct Peer {
    report: LoadReport,
    reported_at: Instant,
    /// Calls that this node has in flight there.
    inflight: u32,
    /// Mean latency; zero until the first answer.
    latency_secs: f64,
    full_until: Option<Instant>,
    /// Failures since the last report.
    failures: u32,
    ejected_until: Option<Instant>,
}

impl Peer {
    /// A peer of which only the announced slots are known.
    pub fn new(slots: u32, now: Instant) -> Self {
        let report = LoadReport { limit: slots.max(1), ..LoadReport::default() };
        Self {
            report,
            reported_at: now,
            inflight: 0,
            latency_secs: 0.0,
            full_until: None,
            failures: 0,
            ejected_until: None,
        }
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self) {
        self.inflight += 1;
    }

    /// Records that a call ended, with or without an answer.
    pub fn record_ended(&mut self) {
        self.inflight = self.inflight.saturating_sub(1);
    }

    /// Records the report and latency of an answer.
    pub fn record_answer(&mut self, report: LoadReport, latency: Duration, now: Instant) {
        self.record_report(report, now);
        let weight = if self.latency_secs == 0.0 { 1.0 } else { LATENCY_WEIGHT };
        self.latency_secs += (latency.as_secs_f64() - self.latency_secs) * weight;
    }

    /// Records a report without a meaningful latency, such as that of a refusal.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        self.report = report;
        self.reported_at = now;
        self.failures = 0;
        self.ejected_until = None;
        self.full_until =
            (report.waiting > 0 && report.running >= report.limit).then_some(now + AT_CAPACITY_TTL);
    }

    /// Records that the upstream refused a call for lack of capacity.
    pub fn record_refusal(&mut self, now: Instant) {
        self.full_until = Some(now + AT_CAPACITY_TTL);
    }

    /// Records that the node was unreachable or its connection was lost.
    pub fn record_failure(&mut self, now: Instant) {
        let span = MIN_EJECTION.saturating_mul(1 << self.failures.min(8)).min(MAX_EJECTION);
        self.failures += 1;
        self.ejected_until = Some(now + span);
    }

    /// Whether it is known to have no capacity.
    pub fn is_at_capacity(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether calls should avoid it because it failed recently.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Load as a share of the limit; lower is better.
    pub fn score(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported_at).as_secs_f64();
        let freshness = (-age / REPORT_DECAY.as_secs_f64()).exp();
        let from_others =
            f64::from((self.report.running + self.report.waiting).saturating_sub(self.inflight));
        (from_others * freshness + f64::from(self.inflight) + 1.0)
            / f64::from(self.report.limit.max(1))
    }

    /// Mean latency.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_secs)
    }
}
