//! Counters and gauges of the node.

use board::Board;
use prometheus::{IntCounter, IntCounterVec, IntGauge};
use routing::Tier;
use verdict::{Reason, Verdict};

use super::ledger::Ended;

/// All metrics of one node, in a registry of its own.
pub struct Metrics {
    board: Board,
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
        let board = Board::new();
        Ok(Self {
            attempts: board
                .counter("attempts_total", "Calls sent to a node, first tries and retries.")?,
            calls: board.counters(
                "calls_total",
                "Calls by rule, class and outcome.",
                &["rule", "class", "outcome"],
            )?,
            refusals: board.counters(
                "refusals_total",
                "Refusals by this node.",
                &["reason", "verdict"],
            )?,
            retries: board.counters(
                "retries_total",
                "Decisions on failed calls.",
                &["decision"],
            )?,
            path: board.counters(
                "path_bytes_total",
                "Bytes of answers from other nodes by distance.",
                &["tier"],
            )?,
            control: board.counters(
                "control_bytes_total",
                "Bytes of control traffic.",
                &["direction"],
            )?,
            changes: board.counters("changes_total", "Changes of membership seen.", &["status"])?,
            version: board
                .gauge("configuration_version", "Version of the configuration in force.")?,
            running: board.gauge("upstream_running", "Requests that run at the upstream.")?,
            waiting: board.gauge("upstream_waiting", "Requests that wait for the upstream.")?,
            limit: board.gauge("upstream_limit", "Concurrency limit of the upstream.")?,
            level: board.gauge("upstream_level", "Admission level of the upstream.")?,
            members: board.gauge("members", "Members that are there.")?,
            log_down: board.gauge("log_down", "1 when the last read of the log failed.")?,
            keys: board.gauge("keys", "Keys that this node holds.")?,
            links: board.gauge("links", "Connections to other nodes.")?,
            board,
        })
    }

    /// Everything as text.
    pub fn text(&self) -> prometheus::Result<String> {
        self.board.text()
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
