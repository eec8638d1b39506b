//! Counters, gauges and histograms of the node.

use board::MetricsRegistry;
use bounds::ledger::Usage;
use prometheus::{Gauge, Histogram, IntCounter, IntCounterVec, IntGauge};

/// Upper bounds of the histogram buckets, from a local answer to the longest deadline.
const BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0];

/// All metrics of one node, in their own registry.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: MetricsRegistry,
    /// Calls that started at this node, by outcome.
    pub calls: IntCounterVec,
    /// Calls that this node, as the guard, refused or got no answer for, by reason.
    pub guard_errors: IntCounterVec,
    /// Answers that came well after the timeout of their request.
    pub late_answers: IntCounter,
    /// Requests whose body has not arrived yet.
    pub incoming_bodies: IntGauge,
    /// Metrics of what clients may take of the node.
    pub clients: ClientMetrics,
    /// Configurations that were refused.
    pub refused_configurations: IntCounter,
    /// Requests that were sent again, by reason.
    pub retries: IntCounterVec,
    /// Metrics of the store, as this node sees it.
    pub store: StoreMetrics,
    /// Exchanges with other nodes that failed.
    pub failed_exchanges: IntCounter,
    /// Time from a call to its answer, in seconds.
    pub latency: Histogram,
    /// Time that a slot of the upstream is held, in seconds.
    pub slot_held: Histogram,
    /// Time that a request waits for a slot, in seconds.
    pub slot_wait: Histogram,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// Known nodes whose upstreams accept requests.
    pub members: IntGauge,
    /// Requests that were in flight when an upstream crashed.
    pub suspects: IntGauge,
    /// Those of them that are quarantined.
    pub quarantined: IntGauge,
    /// Metrics of the upstream beside the node.
    pub upstream: UpstreamMetrics,
    /// Metrics of the tenants' quotas.
    pub quota: QuotaMetrics,
}

/// Metrics of the tenants' quotas.
#[derive(Debug, Clone)]
pub struct QuotaMetrics {
    /// Requests that were refused for want of a token, by reason.
    pub refusals: IntCounterVec,
    /// Requests for tokens to other nodes, by outcome.
    pub requests: IntCounterVec,
    /// Tokens granted to other nodes.
    pub granted: IntCounter,
    /// Those of them that may still be used.
    pub outstanding: IntGauge,
    /// Share of all quotas that this node uses as a quota leader.
    pub pool_share: Gauge,
}

impl QuotaMetrics {
    fn new(registry: &MetricsRegistry) -> prometheus::Result<Self> {
        Ok(Self {
            refusals: registry.counters(
                "quota_refusals_total",
                "Requests refused for want of a token, by reason.",
                &["reason"],
            )?,
            requests: registry.counters(
                "quota_token_requests_total",
                "Requests for tokens to other nodes, by outcome.",
                &["outcome"],
            )?,
            granted: registry
                .counter("quota_tokens_granted_total", "Tokens granted to other nodes.")?,
            outstanding: registry
                .gauge("quota_tokens_outstanding", "Granted tokens that may still be used.")?,
            pool_share: registry
                .float_gauge("quota_pool_share", "Share of all quotas that is used here.")?,
        })
    }
}

/// Metrics of the store, as this node sees it.
#[derive(Debug, Clone)]
pub struct StoreMetrics {
    /// Calls, by purpose and outcome.
    pub calls: IntCounterVec,
    /// Time since it last answered a read of the configuration, in seconds; infinite before the first answer.
    pub answer_age: Gauge,
    /// Latest epoch; 0 if none is known.
    pub epoch: IntGauge,
    /// Times that it was restored from an older copy.
    pub restores: IntCounter,
    /// Entries of the store, and what other nodes told of nodes, that can't be used.
    pub skipped_records: IntCounter,
    /// Epochs that were ignored: invalid ones, and ones older than the latest.
    pub ignored_epochs: IntCounterVec,
}

impl StoreMetrics {
    fn new(registry: &MetricsRegistry) -> prometheus::Result<Self> {
        Ok(Self {
            calls: registry.counters(
                "store_calls_total",
                "Calls of the store.",
                &["call", "outcome"],
            )?,
            answer_age: registry.float_gauge(
                "store_answer_age_seconds",
                "Time since the store last answered a read of the configuration.",
            )?,
            epoch: registry.gauge("store_epoch", "Latest epoch of the store; 0 if unknown.")?,
            restores: registry.counter(
                "store_restores_total",
                "Times that the store was restored from an older copy.",
            )?,
            skipped_records: registry.counter(
                "records_skipped_total",
                "Entries of the store, and updates of other nodes, that can't be used.",
            )?,
            ignored_epochs: registry.counters(
                "store_epochs_ignored_total",
                "Answers of the store with an invalid or an older epoch.",
                &["reason"],
            )?,
        })
    }
}

/// Metrics of what clients may take of the node.
#[derive(Debug, Clone)]
pub struct ClientMetrics {
    /// Open connections.
    pub connections: IntGauge,
    /// Those that were refused, or closed for others.
    pub refused: IntCounter,
    /// Connections and requests that were refused or closed at a bound, by bound.
    pub refusals: IntCounterVec,
    /// Bytes that connections and responses may take.
    pub held: IntGauge,
    /// Bytes that request bodies may take; 0 if they are not limited.
    pub budget_size: IntGauge,
    /// Bytes that they take.
    pub budget_used: IntGauge,
    /// Bodies that wait for bytes.
    pub budget_waiting: IntGauge,
    /// Bodies that were discarded since the start.
    pub budget_discarded: IntGauge,
}

impl ClientMetrics {
    fn new(registry: &MetricsRegistry) -> prometheus::Result<Self> {
        Ok(Self {
            connections: registry.gauge("client_connections", "Open connections of clients.")?,
            refused: registry.counter(
                "client_connections_refused_total",
                "Connections of clients that were refused, or closed for others.",
            )?,
            refusals: registry.counters(
                "client_refusals_total",
                "Connections and requests of clients refused or closed at a bound, by bound.",
                &["reason"],
            )?,
            held: registry.gauge(
                "client_held_bytes",
                "Bytes that connections of clients and responses to them may take.",
            )?,
            budget_size: registry.gauge(
                "body_budget_bytes",
                "Bytes that request bodies may take; 0 if not limited.",
            )?,
            budget_used: registry
                .gauge("body_budget_used_bytes", "Bytes that request bodies take.")?,
            budget_waiting: registry
                .gauge("body_budget_waiting", "Request bodies that wait for bytes.")?,
            budget_discarded: registry
                .gauge("body_budget_discarded", "Request bodies discarded since the start.")?,
        })
    }

    /// Sets the gauges.
    pub fn record(&self, connections: usize, usage: Usage) {
        self.connections.set(connections as i64);
        self.budget_size.set(usage.size.unwrap_or_default() as i64);
        self.budget_used.set(usage.used as i64);
        self.held.set(usage.others as i64);
        self.budget_waiting.set(usage.waiting as i64);
        self.budget_discarded.set(usage.discarded as i64);
    }
}

/// Metrics of the upstream beside the node.
#[derive(Debug, Clone)]
pub struct UpstreamMetrics {
    /// Requests running at the upstream.
    pub running: IntGauge,
    /// Requests waiting for the upstream.
    pub waiting: IntGauge,
    /// Requests that may run at the upstream at once for now.
    pub window: IntGauge,
    /// Latest service-time factor that the upstream reported; not a number if none was.
    pub factor: Gauge,
    /// Age of that factor, in seconds; infinite if none was reported.
    pub factor_age: Gauge,
    /// Requests sent to the upstream.
    pub requests: IntCounter,
    /// Requests per second that the upstream accepts; infinite without a limit.
    pub rate_limit: Gauge,
    /// Headers of the upstream's answers with an invalid value, by header.
    pub invalid_headers: IntCounterVec,
}

impl UpstreamMetrics {
    fn new(registry: &MetricsRegistry) -> prometheus::Result<Self> {
        let rate_limit = registry
            .float_gauge("upstream_rate_limit", "Requests a second that the upstream accepts.")?;
        rate_limit.set(f64::INFINITY);
        Ok(Self {
            running: registry.gauge("upstream_running", "Requests that run at the upstream.")?,
            waiting: registry.gauge("upstream_waiting", "Requests that wait for the upstream.")?,
            window: registry.gauge(
                "upstream_window",
                "Requests that may run at the upstream at once for now.",
            )?,
            factor: registry.float_gauge(
                "upstream_service_factor",
                "Latest service-time factor that the upstream reported, 1 as usual.",
            )?,
            factor_age: registry.float_gauge(
                "upstream_service_factor_age_seconds",
                "Time since the upstream reported its service-time factor.",
            )?,
            requests: registry
                .counter("upstream_requests_total", "Requests sent to the upstream.")?,
            rate_limit,
            invalid_headers: registry.counters(
                "invalid_headers_total",
                "Headers of the upstream's answers with an invalid value.",
                &["header"],
            )?,
        })
    }
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> prometheus::Result<Self> {
        let registry = MetricsRegistry::new();
        Ok(Self {
            upstream: UpstreamMetrics::new(&registry)?,
            quota: QuotaMetrics::new(&registry)?,
            failed_exchanges: registry
                .counter("exchanges_failed_total", "Exchanges with other nodes that failed.")?,
            calls: registry.counters(
                "calls_total",
                "Calls that began here, by outcome.",
                &["outcome"],
            )?,
            guard_errors: registry.counters(
                "turned_total",
                "Requests refused beside the upstream.",
                &["reason"],
            )?,
            late_answers: registry
                .counter("answers_late_total", "Answers well after the timeout of the request.")?,
            incoming_bodies: registry
                .gauge("incoming_bodies", "Requests whose body has not arrived yet.")?,
            clients: ClientMetrics::new(&registry)?,
            refused_configurations: registry
                .counter("configurations_refused_total", "Configurations that were refused.")?,
            retries: registry.counters("retries_total", "Requests sent once more.", &["reason"])?,
            store: StoreMetrics::new(&registry)?,
            latency: registry.histogram(
                "call_seconds",
                "Time from a call to its answer.",
                &BUCKETS_SECONDS,
            )?,
            slot_held: registry.histogram(
                "held_seconds",
                "Time that a slot of the upstream is held.",
                &BUCKETS_SECONDS,
            )?,
            slot_wait: registry.histogram(
                "waited_seconds",
                "Time that a request waits for a slot.",
                &BUCKETS_SECONDS,
            )?,
            version: registry
                .gauge("configuration_version", "Version of the configuration in force.")?,
            members: registry.gauge("members_ready", "Nodes known whose upstreams take work.")?,
            suspects: registry
                .gauge("suspects", "Requests that were in flight when an upstream crashed.")?,
            quarantined: registry.gauge("quarantined", "Suspects that are refused.")?,
            registry,
        })
    }

    /// Renders the metrics in the text format.
    pub fn text(&self) -> prometheus::Result<String> {
        self.registry.text()
    }
}
