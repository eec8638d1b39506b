//! Counters and gauges of the node.

use board::MetricsRegistry;
use bounds::connections::Bound;
use prometheus::{IntCounter, IntCounterVec, IntGauge};
use routing::Tier;
use verdict::{Reason, Verdict};

use super::call_stats::CallOutcome;

/// Metrics of one node, in a registry of its own.
pub struct Metrics {
    registry: MetricsRegistry,
    calls: IntCounterVec,
    refusals: IntCounterVec,
    client_refusals: IntCounterVec,
    retries: IntCounterVec,
    attempts: IntCounter,
    path_bytes: IntCounterVec,
    control_bytes: IntCounterVec,
    member_changes: IntCounterVec,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// Requests running at the upstream.
    pub running: IntGauge,
    /// Requests queued for the upstream.
    pub waiting: IntGauge,
    /// Concurrency limit of the upstream.
    pub limit: IntGauge,
    /// Admission level of the upstream.
    pub level: IntGauge,
    /// Present members.
    pub members: IntGauge,
    /// 1 if the last read of the log failed.
    pub log_down: IntGauge,
    /// Idempotency keys that this node holds.
    pub keys: IntGauge,
    /// Connections to other nodes.
    pub peers: IntGauge,
}

fn client_refusals(registry: &MetricsRegistry) -> prometheus::Result<IntCounterVec> {
    registry.counters(
        "client_refusals_total",
        "Connections and requests of callers refused or closed at a bound, by bound.",
        &["reason"],
    )
}

impl Metrics {
    /// Registers all metrics, with a value of zero.
    pub fn new() -> prometheus::Result<Self> {
        let registry = MetricsRegistry::new();
        Ok(Self {
            attempts: registry
                .counter("attempts_total", "Calls sent to a node, first tries and retries.")?,
            calls: registry.counters(
                "calls_total",
                "Calls by rule, class and outcome.",
                &["rule", "class", "outcome"],
            )?,
            refusals: registry.counters(
                "refusals_total",
                "Refusals by this node.",
                &["reason", "verdict"],
            )?,
            client_refusals: client_refusals(&registry)?,
            retries: registry.counters(
                "retries_total",
                "Decisions on failed calls.",
                &["decision"],
            )?,
            path_bytes: registry.counters(
                "path_bytes_total",
                "Bytes of answers from other nodes by distance.",
                &["tier"],
            )?,
            control_bytes: registry.counters(
                "control_bytes_total",
                "Bytes of control traffic.",
                &["direction"],
            )?,
            member_changes: registry.counters(
                "changes_total",
                "Changes of membership seen.",
                &["status"],
            )?,
            version: registry
                .gauge("configuration_version", "Version of the configuration in force.")?,
            running: registry.gauge("upstream_running", "Requests that run at the upstream.")?,
            waiting: registry.gauge("upstream_waiting", "Requests that wait for the upstream.")?,
            limit: registry.gauge("upstream_limit", "Concurrency limit of the upstream.")?,
            level: registry.gauge("upstream_level", "Admission level of the upstream.")?,
            members: registry.gauge("members", "Members that are there.")?,
            log_down: registry.gauge("log_down", "1 when the last read of the log failed.")?,
            keys: registry.gauge("keys", "Keys that this node holds.")?,
            peers: registry.gauge("links", "Connections to other nodes.")?,
            registry,
        })
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> prometheus::Result<String> {
        self.registry.text()
    }

    /// Counts a call by outcome.
    pub fn count_call(&self, rule: &str, class: rules::Class, outcome: CallOutcome) {
        let outcome = match outcome {
            CallOutcome::Answered => "answered",
            CallOutcome::Failed => "failed",
            CallOutcome::Refused(reason) => reason.as_str(),
        };
        self.calls.with_label_values(&[rule, class.as_str(), outcome]).inc();
    }

    /// Counts a refusal by this node.
    pub fn count_refusal(&self, reason: Reason, verdict: Verdict) {
        self.refusals.with_label_values(&[reason.as_str(), verdict.to_string().as_str()]).inc();
    }

    /// Counts what was refused or closed at a bound.
    pub fn count_bound(&self, bound: Bound) {
        self.client_refusals.with_label_values(&[bound.as_str()]).inc();
    }

    /// Counts a decision on a failed call.
    pub fn count_retry(&self, decision: &str) {
        self.retries.with_label_values(&[decision]).inc();
    }

    /// Counts a call sent to a node.
    pub fn count_attempt(&self) {
        self.attempts.inc();
    }

    /// Counts bytes of answers from other nodes.
    pub fn add_path_bytes(&self, tier: Tier, bytes: u64) {
        let tier = match tier {
            Tier::Domain => "domain",
            Tier::Region => "region",
            Tier::Remote => "remote",
        };
        self.path_bytes.with_label_values(&[tier]).inc_by(bytes);
    }

    /// Counter of control traffic in one direction.
    pub fn control_bytes(&self, direction: &str) -> IntCounter {
        self.control_bytes.with_label_values(&[direction])
    }

    /// Counts a change of membership.
    pub fn count_change(&self, status: membership::Status) {
        let status = match status {
            membership::Status::Alive => "alive",
            membership::Status::Suspect => "suspect",
            membership::Status::Dead => "dead",
            membership::Status::Left => "left",
        };
        self.member_changes.with_label_values(&[status]).inc();
    }
}
