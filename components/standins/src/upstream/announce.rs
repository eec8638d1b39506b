//! Announcements of the upstream to its sidecar node.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;

use super::{Upstream, lock};
use crate::client;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Announces the upstream at intervals, and at once when its faults change.
pub async fn keep_announcing(upstream: Arc<Upstream>) {
    loop {
        let changed = upstream.faults_changed.notified();
        if !lock(&upstream.faults).mute {
            announce(&upstream).await;
        }
        let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, changed).await;
    }
}

async fn announce(upstream: &Upstream) {
    let Some(node) = upstream.config.node else { return };
    let config = &upstream.config;
    let body = serde_json::json!({
        "service": config.service,
        "address": config.listen,
        "slots": config.announced_slots.unwrap_or(config.slots),
        "connections": config.connections,
        "load": "/_load",
        "draining": lock(&upstream.faults).drain,
    });
    let request = http::Request::post(format!("http://{node}/almondknot/announce"))
        .header("content-type", "application/json")
        .body(Full::from(body.to_string()));
    if let Ok(request) = request {
        // If the node does not answer, the next announcement reaches it.
        let _ = client::send(&upstream.http, request).await;
    }
}
