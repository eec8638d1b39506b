//! Metrics of one node, in a registry whose metric names share a prefix.

use prometheus::{
    Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, Result,
    TextEncoder,
};

const NAME_PREFIX: &str = "almondknot";

/// Registers metrics and exports them.
#[derive(Debug, Clone, Default)]
pub struct MetricsRegistry {
    registry: Registry,
}

impl MetricsRegistry {
    /// An empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let metric = IntCounter::with_opts(opts(name, help))?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a family of counters, one for each combination of label values.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let metric = IntCounterVec::new(opts(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let metric = IntGauge::with_opts(opts(name, help))?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a gauge with fractional values.
    pub fn float_gauge(&self, name: &str, help: &str) -> Result<Gauge> {
        let metric = Gauge::with_opts(opts(name, help))?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a histogram with the given bucket bounds.
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Result<Histogram> {
        let opts = HistogramOpts { common_opts: opts(name, help), buckets: buckets.to_vec() };
        let metric = Histogram::with_opts(opts)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("{NAME_PREFIX}_{name}"), help)
}
