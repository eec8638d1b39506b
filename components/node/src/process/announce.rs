//! Watching the upstream beside the node: is it still there, what does its load endpoint say, what has to be refused.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::header;
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use units::Clock;

use super::shards::lock;
use super::shared::Shared;
use super::upstream::Announced;
use crate::request::body::Payload;

/// Time without an announcement after which the upstream counts as gone.
const SILENCE: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(5);
const LOAD_EVERY: Duration = Duration::from_millis(500);
const LOAD_TIMEOUT: Duration = Duration::from_millis(400);
const LOAD_LARGEST: usize = 4 << 10;
const SWEEP_EVERY: Duration = Duration::from_secs(5);

#[derive(Deserialize)]
struct LoadReport {
    busy: u32,
    waiting: u32,
}

/// Refuses what has waited too long, for ever.
pub async fn keep_ticking<C: Clock>(shared: Arc<Shared<C>>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        shared.gate.tick(now);
    }
}

/// Looks after the upstream and idle connections, for ever.
pub async fn keep_watching<C: Clock>(shared: Arc<Shared<C>>) {
    let mut ticks = tokio::time::interval(LOAD_EVERY);
    let mut swept = shared.clock.now();
    loop {
        ticks.tick().await;
        if shared.forget_silent(SILENCE) {
            log::warn!(node = shared.settings.node.as_str(); "the upstream stopped announcing itself");
        }
        if let Some(announced) = shared.announced() {
            hint(&shared, &announced).await;
        }
        gauges(&shared);
        let now = shared.clock.now();
        if now.saturating_duration_since(swept) >= SWEEP_EVERY {
            shared.links.sweep();
            shared.once.tick(now);
            lock(&shared.quarantine).tick(now);
            swept = now;
        }
    }
}

/// Asks the load endpoint. It may lag or lie, so it may only lower the limit.
async fn hint<C: Clock>(shared: &Arc<Shared<C>>, announced: &Announced) {
    let Some(path) = announced.load.as_deref() else { return };
    let request = Request::get(path)
        .header(header::HOST, announced.address.to_string())
        .body(Payload::whole(""));
    let Ok(request) = request else { return };
    let asked = tokio::time::timeout(LOAD_TIMEOUT, ask(shared, announced, request)).await;
    if let Ok(Some(report)) = asked {
        shared.gate.hint(report.busy, report.waiting, shared.clock.now());
    }
}

async fn ask<C: Clock>(
    shared: &Arc<Shared<C>>,
    announced: &Announced,
    request: Request<Payload<C>>,
) -> Option<LoadReport> {
    let (response, lane) = shared.pool.send(announced.address, request).await.ok()?;
    let body = Limited::new(response.into_body(), LOAD_LARGEST).collect().await.ok()?;
    lane.give_back();
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn gauges<C: Clock>(shared: &Shared<C>) {
    let load = shared.gate.load(shared.clock.now());
    shared.metrics.running.set(i64::from(load.running));
    shared.metrics.waiting.set(i64::from(load.waiting));
    shared.metrics.limit.set(i64::from(load.limit));
    shared.metrics.level.set(i64::from(shared.gate.level().0));
    shared.metrics.keys.set(shared.once.len() as i64);
    shared.metrics.links.set(shared.links.len() as i64);
}
