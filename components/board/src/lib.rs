//! Metrics of one node: a registry of its own, whose names share a prefix.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, Result,
    TextEncoder,
};

const PREFIX: &str = "almondknot";

/// Makes metrics and writes them out.
#[derive(Debug, Clone, Default)]
pub struct Board {
    registry: Registry,
}

impl Board {
    /// No metrics.
    pub fn new() -> Self {
        Self::default()
    }

    /// A counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let metric = IntCounter::with_opts(opts(name, help))?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// A counter for each combination of labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let metric = IntCounterVec::new(opts(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// A gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let metric = IntGauge::with_opts(opts(name, help))?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// A histogram with these bounds.
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Result<Histogram> {
        let opts = HistogramOpts { common_opts: opts(name, help), buckets: buckets.to_vec() };
        let metric = Histogram::with_opts(opts)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Everything in the Prometheus text form.
    pub fn text(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("{PREFIX}_{name}"), help)
}
