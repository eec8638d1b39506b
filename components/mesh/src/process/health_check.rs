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
use super::upstream::HealthCheck;
use crate::platform::Platform;

/// Pauses after checks that tell nothing, until the next heartbeat: an upstream without a free slot may refuse one.
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
        let Some(path) = configuration.health_path(&shared.settings.service) else {
            control::record_check(&shared, &id, HealthCheck::Inconclusive);
            break;
        };
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, ask(&shared, path)).await;
        let answer = answer.ok().flatten();
        let check = answer.as_ref().map_or(HealthCheck::Inconclusive, |answer| answer.judge(&id));
        let status = answer.map(|answer| answer.status.as_u16());
        shared.log(&Event::HealthChecked { id: &id, result: check.as_str(), status });
        let pause = pauses.next().filter(|_| check == HealthCheck::Inconclusive);
        // A busy upstream may answer the next one.
        let Some(pause) = pause else {
            control::record_check(&shared, &id, check);
            break;
        };
        tokio::time::sleep(pause).await;
    }
    shared.checking_health.store(false, Ordering::Relaxed);
}

fn unconfirmed_id<P: Platform>(shared: &Shared<P>) -> Option<String> {
    lock(&shared.upstream).unconfirmed().map(|heartbeat| heartbeat.id.clone())
}

/// Answer to a health check.
struct HealthAnswer {
    status: StatusCode,
    /// Id of the upstream that gave it.
    upstream: Option<String>,
    /// Whether the upstream had no slot for the check.
    not_run: bool,
}

impl HealthAnswer {
    /// What the answer tells of the incarnation with this id.
    fn judge(&self, id: &str) -> HealthCheck {
        match &self.upstream {
            Some(upstream) if !self.not_run => {
                let confirms = self.status == StatusCode::OK && upstream == id;
                if confirms { HealthCheck::Confirms } else { HealthCheck::Denies }
            }
            _ => HealthCheck::Inconclusive,
        }
    }
}

/// Sends a health check.
async fn ask<P: Platform>(shared: &Shared<P>, path: &str) -> Option<HealthAnswer> {
    let upstream = shared.settings.upstream;
    let request = Request::get(path).header(header::HOST, upstream.to_string());
    let request = request.body(RequestBody::default()).ok()?;
    let sent = shared.upstream_pool.send(upstream, request, MAX_IDLE, shared.now()).await;
    let (response, connection) = sent.ok()?;
    let (head, body) = response.into_parts();
    Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    connection.release(shared.now());
    let names = shared.platform.headers();
    let upstream = head.headers.get(&names.upstream).and_then(|id| id.to_str().ok());
    Some(HealthAnswer {
        status: head.status,
        upstream: upstream.map(ToOwned::to_owned),
        not_run: head.headers.contains_key(&names.not_run),
    })
}
