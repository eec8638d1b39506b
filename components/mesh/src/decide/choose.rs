//! Selection of the node of a service that a request is sent to.

use std::time::{Duration, Instant};

use super::meter;
use super::notice::ReceivedNotice;
use super::queue::Load;
use super::service_time::ServiceTime;

/// Time for which a node is avoided after its first failure, and the longest; it doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Least age of a service-time factor that another node relayed: the time between two exchanges.
const RELAY_AGE_MS: u32 = 500;
/// Age from which a load report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Cost, in time, of leaving the failure domain, or the region: traffic over these links is charged.
const CROSS_ZONE_COST: Duration = Duration::from_millis(6);
const CROSS_REGION_COST: Duration = Duration::from_millis(120);
/// Cost of an avoided node: it is used only if all nodes are avoided.
const AVOIDED_COST: Duration = Duration::from_secs(60);

/// Cost of a failed request, in time: it is retried, or its call tree fails.
const FAILURE_COST: Duration = Duration::from_millis(400);
/// Weight of one outcome in the failure rate, and time constant of the rate's decay while nothing is sent.
const FAILURE_WEIGHT: f64 = 0.1;
const FAILURE_DECAY: Duration = Duration::from_secs(3);

/// Time without any answer, while requests are in flight, after which a node counts as silent: the minimum, and the
/// factor on the average time that its slots are held. Well above the variation of run times, and well below the time
/// of a call tree.
const MIN_SILENCE: Duration = Duration::from_millis(250);
const SILENCE_FACTOR: f64 = 3.0;
/// Requests in flight from which that time applies; with fewer it is multiplied, as a single request may just run long.
const SILENCE_MIN_INFLIGHT: u32 = 2;
const SINGLE_REQUEST_FACTOR: u32 = 2;
/// Cost of a silent node, in time: more than any path between regions, so that it is used only if all others are full.
const SILENT_COST: Duration = Duration::from_secs(1);
/// Weight of one answer in the overhead of a node and the path to it, and time constant of the overhead's decay.
const OVERHEAD_WEIGHT: f64 = 0.1;
const OVERHEAD_DECAY: Duration = Duration::from_secs(3);

/// Longest wait that a rate limit is expected to cause, in seconds.
const MAX_TOKEN_WAIT_SECS: f64 = 60.0;

/// Distance of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In the same failure domain.
    Zone,
    /// In another failure domain of the region.
    Region,
    /// In another region.
    Remote,
}

/// Whether a request that was sent to a node may be hedged to another one. A large answer may not cross regions for
/// this: one of the two answers is thrown away, and bytes between regions are the most expensive.
pub fn may_hedge(large: bool, other: Tier) -> bool {
    !large || other < Tier::Remote
}

/// Load, failures and response times of a node, as observed by this one.
#[derive(Debug, Clone)]
pub struct Peer {
    report: Load,
    reported_at: Instant,
    inflight: u32,
    /// Requests in flight at the last report.
    reported_inflight: u32,
    failures: u32,
    avoided_until: Option<Instant>,
    /// Share of failed requests, as of the last outcome.
    failure_rate: f64,
    outcome_at: Instant,
    /// Time of the last answer, or of the first request after a time with none in flight.
    progress_at: Instant,
    /// Seconds that the node and the path to it add to the time at the guard, as of the last answer.
    overhead_secs: f64,
    overhead_at: Instant,
    /// What the upstream beside the node announced, of which the node is reminded with each call.
    pub notice: Option<ReceivedNotice>,
}

impl Peer {
    /// A peer without any reports or outcomes.
    pub fn new(now: Instant) -> Self {
        Self {
            report: Load::default(),
            reported_at: now,
            inflight: 0,
            reported_inflight: 0,
            failures: 0,
            avoided_until: None,
            failure_rate: 0.0,
            outcome_at: now,
            progress_at: now,
            overhead_secs: 0.0,
            overhead_at: now,
            notice: None,
        }
    }

    /// Counts a request that was sent.
    pub fn record_sent(&mut self, now: Instant) {
        if self.inflight == 0 {
            self.progress_at = now;
        }
        self.inflight += 1;
    }

    /// Counts a request that has ended.
    pub fn record_ended(&mut self) {
        self.inflight = self.inflight.saturating_sub(1);
    }

    /// Records a load report of the node itself.
    pub fn record_report(&mut self, load: Load, now: Instant) {
        self.report = load;
        self.reported_at = now;
        self.reported_inflight = self.inflight;
    }

    /// Records a load report that another node relayed. It may be outdated: a recent one of the node itself is kept.
    pub fn record_relayed_report(&mut self, load: Load, now: Instant) {
        if now.saturating_duration_since(self.reported_at) > REPORT_MAX_AGE
            || self.report.open_slots() == 0
        {
            let service_time = load.service_time.map(|time| ServiceTime {
                age_ms: time.age_ms.saturating_add(RELAY_AGE_MS),
                ..time
            });
            self.record_report(Load { service_time, ..load }, now);
        }
    }

    /// Expected run time of a request that is sent now; `None` if the upstream reports no service-time factor.
    pub fn run_time(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.reported_at);
        self.report.service_time.map(|service_time| service_time.run_time(age))
    }

    /// Age of the service-time factor; `None` if the upstream reports none.
    pub fn factor_age(&self, now: Instant) -> Option<Duration> {
        let since_report = now.saturating_duration_since(self.reported_at);
        let age = |time: ServiceTime| since_report + Duration::from_millis(time.age_ms.into());
        self.report.service_time.map(age)
    }

    /// Whether the node is avoided after a failure.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Instant) {
        self.failures = 0;
        self.avoided_until = None;
        self.progress_at = now;
    }

    /// Records the response time of a request and the part of it that was spent at the guard.
    pub fn record_overhead(&mut self, response_time: Duration, guard_time: Duration, now: Instant) {
        let overhead = response_time.saturating_sub(guard_time).as_secs_f64();
        self.overhead_secs =
            meter::decay(self.overhead_secs, self.overhead_at, OVERHEAD_DECAY, now);
        self.overhead_secs += (overhead - self.overhead_secs) * OVERHEAD_WEIGHT;
        self.overhead_at = now;
    }

    /// Time without an answer after which the node counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.report.held_us) / 1e6)
            .mul_f64(SILENCE_FACTOR)
            .max(MIN_SILENCE)
    }

    /// Whether requests are in flight and the node has not answered any for the silence timeout.
    pub fn is_silent(&self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.progress_at);
        match self.inflight {
            0 => false,
            1..SILENCE_MIN_INFLIGHT => passed > self.silence_timeout() * SINGLE_REQUEST_FACTOR,
            _ => passed > self.silence_timeout(),
        }
    }

    /// Records that the node could not be reached, or that the connection was lost.
    pub fn record_failure(&mut self, now: Instant) {
        let backoff = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(6)).min(MAX_BACKOFF);
        self.failures += 1;
        self.avoided_until = Some(now + backoff);
    }

    /// Records an outcome; `success` is false if the upstream lost or refused the request.
    pub fn record_outcome(&mut self, success: bool, now: Instant) {
        let failure = if success { 0.0 } else { 1.0 };
        self.failure_rate =
            self.failure_rate(now) * (1.0 - FAILURE_WEIGHT) + failure * FAILURE_WEIGHT;
        self.outcome_at = now;
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        meter::decay(self.failure_rate, self.outcome_at, FAILURE_DECAY, now)
    }

    /// Expected wait for a slot, if each is held for `held_secs`, and for the rate limit.
    fn expected_wait(&self, held_secs: f64, now: Instant) -> Duration {
        if self.report.open_slots() == 0 {
            return Duration::ZERO;
        }
        let fresh = now.saturating_duration_since(self.reported_at) < REPORT_MAX_AGE;
        let reported = if fresh { self.report.running + self.report.waiting } else { 0 };
        let sent_since =
            self.inflight.saturating_sub(if fresh { self.reported_inflight } else { 0 });
        let excess = (reported + sent_since + 1).saturating_sub(self.report.open_slots());
        let slot_interval = held_secs / f64::from(self.report.open_slots());
        let slot_wait = f64::from(excess) * slot_interval;
        let token_wait = self.report.rate.map_or(0.0, |rate| {
            let (waiting, tokens) = if fresh {
                (self.report.waiting, self.report.tokens)
            } else {
                (0, self.report.tokens.max(1.0))
            };
            let queued = f64::from(waiting + sent_since + 1);
            ((queued - tokens).max(0.0) / rate.0).min(MAX_TOKEN_WAIT_SECS)
        });
        Duration::from_secs_f64(slot_wait.max(token_wait))
    }

    /// Cost of sending a request to the node, as time.
    pub fn cost(&self, tier: Tier, avoid: bool, now: Instant) -> Duration {
        self.cost_at(self.report.held_secs(), tier, avoid, now)
    }

    /// Expected time to the answer of a request that is run for `run_time`, with the same costs.
    pub fn expected_time(
        &self,
        run_time: Duration,
        tier: Tier,
        avoid: bool,
        now: Instant,
    ) -> Duration {
        self.cost_at(run_time.as_secs_f64(), tier, avoid, now) + run_time
    }

    fn cost_at(&self, held_secs: f64, tier: Tier, avoid: bool, now: Instant) -> Duration {
        let path_cost = match tier {
            Tier::Zone => Duration::ZERO,
            Tier::Region => CROSS_ZONE_COST,
            Tier::Remote => CROSS_REGION_COST,
        };
        let avoid = avoid || self.is_avoided(now);
        let failure_cost = FAILURE_COST.mul_f64(self.failure_rate(now));
        let overhead = meter::decay(self.overhead_secs, self.overhead_at, OVERHEAD_DECAY, now);
        let overhead = Duration::from_secs_f64(overhead).saturating_sub(path_cost);
        let silent = if self.is_silent(now) { SILENT_COST } else { Duration::ZERO };
        let avoided = if avoid { AVOIDED_COST } else { Duration::ZERO };
        self.expected_wait(held_secs, now) + path_cost + failure_cost + overhead + silent + avoided
    }
}
