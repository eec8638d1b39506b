//! Counters, gauges and histograms of the node.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Bounds of the latency histograms, in seconds: from a local answer to the longest deadline.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0];

/// All metrics of one node, in a registry of its own.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
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
        let histogram = |name: &str, help: &str| -> prometheus::Result<Histogram> {
            let opts = HistogramOpts::new(format!("almondknot_{name}"), help);
            let metric = Histogram::with_opts(opts.buckets(BUCKETS.to_vec()))?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let exchanges = IntCounter::new(
            "almondknot_exchanges_failed_total",
            "Exchanges with other nodes that failed.",
        )?;
        registry.register(Box::new(exchanges.clone()))?;
        Ok(Self {
            exchanges,
            calls: vec("calls_total", "Calls that began here, by outcome.", &["outcome"])?,
            turned: vec("turned_total", "Requests refused beside the upstream.", &["reason"])?,
            retries: vec("retries_total", "Requests sent once more.", &["reason"])?,
            store: vec("store_calls_total", "Calls of the store.", &["call", "outcome"])?,
            latency: histogram("call_seconds", "Time from a call to its answer.")?,
            held: histogram("held_seconds", "Time that a slot of the upstream is held.")?,
            waited: histogram("waited_seconds", "Time that a request waits for a slot.")?,
            version: gauge("configuration_version", "Version of the configuration in force.")?,
            members: gauge("members_ready", "Nodes known whose upstreams take work.")?,
            running: gauge("upstream_running", "Requests that run at the upstream.")?,
            waiting: gauge("upstream_waiting", "Requests that wait for the upstream.")?,
            registry,
        })
    }

    /// Everything as text.
    pub fn text(&self) -> prometheus::Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
