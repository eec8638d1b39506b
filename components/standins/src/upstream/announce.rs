//! Announcing the upstream to the node beside it.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;

use super::{Upstream, lock};
use crate::client;

const PERIOD: Duration = Duration::from_millis(500);

/// Announces every half second, and at once after a change.
pub async fn keep_announcing(upstream: Arc<Upstream>) {
    loop {
        let changed = upstream.changed.notified();
        if !lock(&upstream.faults).mute {
            announce(&upstream).await;
        }
        let _ = tokio::time::timeout(PERIOD, changed).await;
    }
}

async fn announce(upstream: &Upstream) {
    let Some(node) = upstream.plan.node else { return };
    let plan = &upstream.plan;
    let body = serde_json::json!({
        "service": plan.service,
        "address": plan.listen,
        "slots": plan.announced.unwrap_or(plan.slots),
        "connections": plan.connections,
        "load": "/_load",
        "draining": lock(&upstream.faults).drain,
    });
    let request = http::Request::post(format!("http://{node}/almondknot/announce"))
        .header("content-type", "application/json")
        .body(Full::from(body.to_string()));
    if let Ok(request) = request {
        // A node that is away is told again at the next turn.
        let _ = client::send(&upstream.http, request).await;
    }
}
