//! Background tasks for the local upstream: expiring it when silent, polling its load, and timing out queued requests.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::header;
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use tokio::time::MissedTickBehavior;
use units::Clock;

use super::shards::lock;
use super::shared::Shared;
use super::upstream::LocalUpstream;
use crate::request::body::Payload;

/// Time without an announcement after which the upstream is considered gone.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two ticks from which the process counts as having stood still; a poll of the load takes part of it.
const MAX_TICK_GAP: Duration = Duration::from_millis(1_500);
const QUEUE_TICK: Duration = Duration::from_millis(5);
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
const LOAD_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_LOAD_REPORT_BYTES: usize = 4 << 10;
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Deserialize)]
struct UpstreamLoad {
    busy: u32,
    waiting: u32,
}

/// Refuses queued requests that have waited too long.
pub async fn run_queue_timeouts<C: Clock>(shared: Arc<Shared<C>>) {
    let mut ticks = tokio::time::interval(QUEUE_TICK);
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        shared.admission.tick(now);
    }
}

/// Watches the upstream, updates gauges, and removes idle connections and expired records.
pub async fn run<C: Clock>(shared: Arc<Shared<C>>) {
    let mut ticks = tokio::time::interval(LOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_sweep = shared.clock.now();
    let (mut last_tick, mut running_since) = (last_sweep, last_sweep);
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        if now.saturating_duration_since(last_tick) > MAX_TICK_GAP {
            // Announcements that arrived while the process stood still have not been read yet.
            running_since = now;
        }
        last_tick = now;
        if shared.expire_upstream(ANNOUNCE_TIMEOUT, running_since) {
            log::warn!(node = shared.settings.node.as_str(); "the upstream stopped announcing itself");
        }
        if let Some(upstream) = shared.local_upstream() {
            poll_load(&shared, &upstream).await;
        }
        update_gauges(&shared);
        let now = shared.clock.now();
        if now.saturating_duration_since(last_sweep) >= SWEEP_INTERVAL {
            shared.peers.close_idle();
            shared.keys.tick(now);
            lock(&shared.quarantine).tick(now);
            last_sweep = now;
        }
    }
}

/// Polls the load endpoint. Its report may be stale or wrong, so it can only lower the concurrency limit.
async fn poll_load<C: Clock>(shared: &Arc<Shared<C>>, upstream: &LocalUpstream) {
    let Some(path) = upstream.load.as_deref() else { return };
    let request = Request::get(path)
        .header(header::HOST, upstream.address.to_string())
        .body(Payload::buffered(""));
    let Ok(request) = request else { return };
    let answer = tokio::time::timeout(LOAD_TIMEOUT, fetch_load(shared, upstream, request)).await;
    if let Ok(Some(report)) = answer {
        shared.admission.report_load(report.busy, report.waiting, shared.clock.now());
    }
}

async fn fetch_load<C: Clock>(
    shared: &Arc<Shared<C>>,
    upstream: &LocalUpstream,
    request: Request<Payload<C>>,
) -> Option<UpstreamLoad> {
    let (response, connection) = shared.upstream_pool.send(upstream.address, request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_LOAD_REPORT_BYTES).collect().await.ok()?;
    connection.release();
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn update_gauges<C: Clock>(shared: &Shared<C>) {
    let load = shared.admission.load(shared.clock.now());
    shared.metrics.running.set(i64::from(load.running));
    shared.metrics.waiting.set(i64::from(load.waiting));
    shared.metrics.limit.set(i64::from(load.limit));
    shared.metrics.level.set(i64::from(shared.admission.level().0));
    shared.metrics.keys.set(shared.keys.len() as i64);
    shared.metrics.peers.set(shared.peers.len() as i64);
}
