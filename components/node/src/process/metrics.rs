//! Counters and gauges of the node.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use routing::Tier;
use verdict::{Reason, Verdict};

use super::ledger::Ended;

/// All metrics of one node, in a registry of its own.
pub struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    attempts: IntCounter,
    path: IntCounterVec,
    control: IntCounterVec,
    changes: IntCounterVec,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// Requests that run at the upstream.
    pub running: IntGauge,
    /// Requests that wait for the upstream.
    pub waiting: IntGauge,
    /// Concurrency limit of the upstream.
    pub limit: IntGauge,
    /// Admission level of the upstream.
    pub level: IntGauge,
    /// Members that are there.
    pub members: IntGauge,
    /// Whether the last read of the log failed.
    pub log_down: IntGauge,
    /// Keys that this node holds.
    pub keys: IntGauge,
    /// Connections to other nodes.
    pub links: IntGauge,
}

impl Metrics {
    /// Metrics at zero.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let vec = |name: &str, help: &str, labels: &[&str]| -> prometheus::Result<IntCounterVec> {
            let metric = IntCounterVec::new(Opts::new(format!("almondknot_{name}"), help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let metric = IntGauge::new(format!("almondknot_{name}"), help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let attempts = IntCounter::new(
            "almondknot_attempts_total",
            "Calls sent to a node, first tries and retries.",
        )?;
        registry.register(Box::new(attempts.clone()))?;
        Ok(Self {
            attempts,
            calls: vec(
                "calls_total",
                "Calls by rule, class and outcome.",
                &["rule", "class", "outcome"],
            )?,
            refusals: vec("refusals_total", "Refusals by this node.", &["reason", "verdict"])?,
            retries: vec("retries_total", "Decisions on failed calls.", &["decision"])?,
            path: vec(
                "path_bytes_total",
                "Bytes of answers from other nodes by distance.",
                &["tier"],
            )?,
            control: vec("control_bytes_total", "Bytes of control traffic.", &["direction"])?,
            changes: vec("changes_total", "Changes of membership seen.", &["status"])?,
            version: gauge("configuration_version", "Version of the configuration in force.")?,
            running: gauge("upstream_running", "Requests that run at the upstream.")?,
            waiting: gauge("upstream_waiting", "Requests that wait for the upstream.")?,
            limit: gauge("upstream_limit", "Concurrency limit of the upstream.")?,
            level: gauge("upstream_level", "Admission level of the upstream.")?,
            members: gauge("members", "Members that are there.")?,
            log_down: gauge("log_down", "1 when the last read of the log failed.")?,
            keys: gauge("keys", "Keys that this node holds.")?,
            links: gauge("links", "Connections to other nodes.")?,
            registry,
        })
    }

    /// The registry.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a call by how it ended.
    pub fn call(&self, rule: &str, class: rules::Class, ended: Ended) {
        let outcome = match ended {
            Ended::Answered => "answered",
            Ended::Failed => "failed",
            Ended::Refused(reason) => reason.as_str(),
        };
        self.calls.with_label_values(&[rule, class.as_str(), outcome]).inc();
    }

    /// Counts a refusal by this node.
    pub fn refusal(&self, reason: Reason, verdict: Verdict) {
        self.refusals.with_label_values(&[reason.as_str(), verdict.to_string().as_str()]).inc();
    }

    /// Counts a decision on a failed call.
    pub fn retry(&self, decision: &str) {
        self.retries.with_label_values(&[decision]).inc();
    }

    /// Counts a call sent to a node.
    pub fn attempt(&self) {
        self.attempts.inc();
    }

    /// Counts bytes of answers.
    pub fn path(&self, tier: Tier, bytes: u64) {
        let tier = match tier {
            Tier::Domain => "domain",
            Tier::Region => "region",
            Tier::Remote => "remote",
        };
        self.path.with_label_values(&[tier]).inc_by(bytes);
    }

    /// Counter of control bytes in one direction.
    pub fn control(&self, direction: &str) -> IntCounter {
        self.control.with_label_values(&[direction])
    }

    /// Counts a change of membership.
    pub fn change(&self, status: membership::Status) {
        let status = match status {
            membership::Status::Alive => "alive",
            membership::Status::Suspect => "suspect",
            membership::Status::Dead => "dead",
            membership::Status::Left => "left",
        };
        self.changes.with_label_values(&[status]).inc();
    }
}
