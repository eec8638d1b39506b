//! Health checks of the upstream beside this node, by which an incarnation is confirmed whose heartbeat may be late.
//!
//! They are made only while there is such an incarnation: an upstream that is leaving fails them, and one that was replaced
//! has another id.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bounds::RequestBody;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};

use super::control;
use super::events::Event;
use super::shared::{Shared, lock};
use crate::platform::Platform;

/// Pauses after failed checks, until the next heartbeat: an upstream without a free slot may refuse one.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(300), Duration::from_millis(600)];
/// Pause before it is seen again whether the configuration, which has the path, is known.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(100);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_BODY_BYTES: usize = 64 << 10;
/// Longest idle time of a connection that is used.
const MAX_IDLE: Duration = Duration::from_millis(1_500);

/// Checks the upstream that is not confirmed yet, unless another task does.
pub async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    if shared.checking_health.swap(true, Ordering::Relaxed) {
        return;
    }
    let mut pauses = PAUSES.into_iter();
    while let Some(id) = unconfirmed_id(&shared) {
        let Some(configuration) = shared.configuration() else {
            tokio::time::sleep(CONFIGURATION_PAUSE).await;
            continue;
        };
        let Some(path) = configuration.health_path(&shared.settings.service) else { break };
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, ask(&shared, path)).await;
        let (status, answered_by) = answer.ok().flatten().unzip();
        let confirmed = status == Some(StatusCode::OK) && answered_by.flatten() == Some(id.clone());
        let status = status.map(|status| status.as_u16());
        shared.log(&Event::HealthChecked { id: &id, confirmed, status });
        if confirmed {
            control::confirm_upstream(&shared, &id);
        } else {
            let Some(pause) = pauses.next() else { break };
            tokio::time::sleep(pause).await;
        }
    }
    shared.checking_health.store(false, Ordering::Relaxed);
}

fn unconfirmed_id<P: Platform>(shared: &Shared<P>) -> Option<String> {
    lock(&shared.upstream).unconfirmed().map(|heartbeat| heartbeat.id.clone())
}

/// Sends a health check; returns the status of the answer, and the id of the upstream that gave it.
async fn ask<P: Platform>(shared: &Shared<P>, path: &str) -> Option<(StatusCode, Option<String>)> {
    let upstream = shared.settings.upstream;
    let request = Request::get(path).header(header::HOST, upstream.to_string());
    let request = request.body(RequestBody::default()).ok()?;
    let sent = shared.upstream_pool.send(upstream, request, MAX_IDLE, shared.now()).await;
    let (response, connection) = sent.ok()?;
    let (head, body) = response.into_parts();
    Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    connection.release(shared.now());
    let id = head.headers.get(&shared.platform.headers().upstream);
    Some((head.status, id.and_then(|id| id.to_str().ok()).map(ToOwned::to_owned)))
}
