//! Counters, gauges and histograms of the node.

use board::Board;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

/// Bounds of the latency histograms, in seconds: from a local answer to the longest deadline.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0];

/// All metrics of one node, in a registry of its own.
#[derive(Debug, Clone)]
pub struct Metrics {
    board: Board,
    /// Calls that began at this node, by how they ended.
    pub calls: IntCounterVec,
    /// Refusals of this node as a guard, by reason.
    pub turned: IntCounterVec,
    /// Requests that were sent once more, by reason.
    pub retries: IntCounterVec,
    /// Calls of the store, by what they were for and how they ended.
    pub store: IntCounterVec,
    /// Exchanges with other nodes that failed.
    pub exchanges: IntCounter,
    /// Time from a call to its answer.
    pub latency: Histogram,
    /// Time that a slot of the upstream is held.
    pub held: Histogram,
    /// Time that a request waits for a slot.
    pub waited: Histogram,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// Nodes that are known and whose upstreams take work.
    pub members: IntGauge,
    /// Requests that run at the upstream.
    pub running: IntGauge,
    /// Requests that wait for it.
    pub waiting: IntGauge,
}

impl Metrics {
    /// Metrics at zero.
    pub fn new() -> prometheus::Result<Self> {
        let board = Board::new();
        Ok(Self {
            exchanges: board
                .counter("exchanges_failed_total", "Exchanges with other nodes that failed.")?,
            calls: board.counters(
                "calls_total",
                "Calls that began here, by outcome.",
                &["outcome"],
            )?,
            turned: board.counters(
                "turned_total",
                "Requests refused beside the upstream.",
                &["reason"],
            )?,
            retries: board.counters("retries_total", "Requests sent once more.", &["reason"])?,
            store: board.counters(
                "store_calls_total",
                "Calls of the store.",
                &["call", "outcome"],
            )?,
            latency: board.histogram(
                "call_seconds",
                "Time from a call to its answer.",
                &BUCKETS,
            )?,
            held: board.histogram(
                "held_seconds",
                "Time that a slot of the upstream is held.",
                &BUCKETS,
            )?,
            waited: board.histogram(
                "waited_seconds",
                "Time that a request waits for a slot.",
                &BUCKETS,
            )?,
            version: board
                .gauge("configuration_version", "Version of the configuration in force.")?,
            members: board.gauge("members_ready", "Nodes known whose upstreams take work.")?,
            running: board.gauge("upstream_running", "Requests that run at the upstream.")?,
            waiting: board.gauge("upstream_waiting", "Requests that wait for the upstream.")?,
            board,
        })
    }

    /// Everything as text.
    pub fn text(&self) -> prometheus::Result<String> {
        self.board.text()
    }
}
