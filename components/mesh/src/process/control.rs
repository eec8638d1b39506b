//! Endpoints for readiness checks of the platform, announcements of the upstream, and metrics.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};

use super::events::Event;
use super::shared::{Shared, lock, state_name};
use super::upstream::{Change, HealthCheck, Moment, Predecessor, Upstream};
use super::{announced, departures, health_check, slow_start};
use crate::decide::members::UpstreamState;
use crate::platform::{Announcement, Heartbeat, Platform};

/// Time in which an announcement has to arrive: its sender waits no longer.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANNOUNCEMENT_BYTES: usize = 64 << 10;

/// Answers a readiness check.
pub async fn ready<P: Platform>(shared: Arc<Shared<P>>) -> Response<Full<Bytes>> {
    match shared.readiness() {
        Ok(()) => response(StatusCode::OK, "ready"),
        Err(reason) => response(StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}

/// Handles an announcement of the upstream.
pub async fn announcement<P: Platform>(
    shared: Arc<Shared<P>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, incoming) = request.into_parts();
    let read = Limited::new(incoming, MAX_ANNOUNCEMENT_BYTES).collect();
    let Ok(Ok(body)) = tokio::time::timeout(ANNOUNCEMENT_TIMEOUT, read).await else {
        return response(StatusCode::BAD_REQUEST, "the body can't be read");
    };
    let body = body.to_bytes();
    if shared.leaving.load(Ordering::Relaxed) {
        // An announcement acknowledged now would be lost; the upstream repeats it to the restarted node.
        return response(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    match shared.platform.decode_announcement(&parts.method, parts.uri.path(), &body) {
        Ok(announcement) => {
            let departs = announcement.is_departure();
            let answer = apply(&shared, announcement);
            if lock(&shared.upstream).unconfirmed().is_some() {
                tokio::spawn(health_check::run(shared.clone()));
            }
            // The acknowledgement binds this machine also after its process was killed.
            if departs && answer.status().is_success() && !departures::keep(&shared).await {
                return response(StatusCode::SERVICE_UNAVAILABLE, "the departure can't be kept");
            }
            answer
        }
        Err(reason) => {
            shared.log(&Event::AnnouncementRefused { reason: &reason });
            response(StatusCode::BAD_REQUEST, "the announcement can't be read")
        }
    }
}

fn apply<P: Platform>(shared: &Shared<P>, announcement: Announcement) -> Response<Full<Bytes>> {
    if let Announcement::Heartbeat(heartbeat) = &announcement
        && *heartbeat.service != *shared.settings.service
    {
        let reason = format!("service `{}` is not the service of this machine", heartbeat.service);
        shared.log(&Event::AnnouncementRefused { reason: &reason });
        return response(StatusCode::BAD_REQUEST, "another service");
    }
    announce(shared, announcement, "upstream");
    response(StatusCode::OK, "{}")
}

/// Applies an announcement that came directly from the upstream or with one of its answers.
pub fn announce<P: Platform>(shared: &Shared<P>, announcement: Announcement, from: &str) {
    update_upstream(shared, from, |upstream, now| upstream.apply(announcement, now));
}

/// Takes note of a health check of the upstream with this id.
pub fn record_check<P: Platform>(shared: &Shared<P>, id: &str, check: HealthCheck) {
    update_upstream(shared, "health-check", |upstream, now| upstream.record_check(id, check, now));
}

/// Takes note of what is known of an earlier process of this node.
pub fn learn_predecessor<P: Platform>(shared: &Shared<P>, predecessor: Predecessor, from: &str) {
    update_upstream(shared, from, |upstream, now| upstream.learn_predecessor(predecessor, now));
}

/// Changes the state of the upstream, and reacts to the change.
fn update_upstream<P: Platform>(
    shared: &Shared<P>,
    from: &str,
    update: impl FnOnce(&mut Upstream, Moment) -> Change,
) {
    let now = shared.moment();
    let (change, replaced, reported) = {
        let mut upstream = lock(&shared.upstream);
        let replaced = upstream.last_heartbeat().is_some();
        let change = update(&mut upstream, now);
        if let (Change::Unconfirmed, Some(Heartbeat { id, sequence, .. })) =
            (change, upstream.unconfirmed())
        {
            shared.log(&Event::UpstreamUnconfirmed { id, sequence: *sequence });
        }
        let heartbeat = upstream.last_heartbeat().cloned();
        (change, replaced, heartbeat.map(|heartbeat| (heartbeat, upstream.state())))
    };
    if let (Change::Started | Change::Updated, Some((heartbeat, state))) = (change, reported) {
        let started = change == Change::Started;
        upstream_changed(shared, &heartbeat, state, started, from);
        if started {
            slow_start::upstream_started(shared, &heartbeat, replaced);
        }
    }
}

/// Applies a changed state of the upstream.
pub fn upstream_changed<P: Platform>(
    shared: &Shared<P>,
    heartbeat: &Heartbeat,
    state: UpstreamState,
    started: bool,
    from: &str,
) {
    shared.log(&Event::UpstreamChanged {
        id: &heartbeat.id,
        state: state_name(state),
        slots: heartbeat.slots,
        sequence: heartbeat.sequence,
        from,
    });
    shared.limiter.set_slots(heartbeat.slots, shared.now());
    if started {
        announced::reset_rate_limit(shared, &heartbeat.id);
        shared.limiter.reset_service_times();
        shared.upstream_pool.close_idle(shared.settings.upstream);
    }
    shared.publish_upstream();
}

/// Renders the metrics.
pub async fn metrics<P: Platform>(shared: Arc<Shared<P>>) -> Response<Full<Bytes>> {
    let now = shared.now();
    let load = shared.limiter.load(now);
    let age = shared.follow.answer_age(now);
    shared.metrics.store.answer_age.set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    shared.metrics.members.set(lock(&shared.members).count_ready() as i64);
    let suspects = lock(&shared.suspects);
    shared.metrics.suspects.set(suspects.len() as i64);
    shared.metrics.quarantined.set(suspects.quarantined().count() as i64);
    drop(suspects);
    let (share, outstanding) = shared.quotas.pool(shared.moment());
    shared.metrics.quota.pool_share.set(share);
    shared.metrics.quota.outstanding.set(outstanding as i64);
    shared.metrics.upstream.running.set(i64::from(load.running));
    shared.metrics.upstream.waiting.set(i64::from(load.waiting));
    shared.metrics.upstream.window.set(i64::from(load.open_slots()));
    let factor = shared.limiter.latest_factor(now);
    shared.metrics.upstream.factor.set(factor.map_or(f64::NAN, |(factor, _)| factor));
    let age = factor.map_or(f64::INFINITY, |(_, age)| age.as_secs_f64());
    shared.metrics.upstream.factor_age.set(age);
    shared.metrics.clients.record(shared.clients.count(), shared.bodies.usage());
    match shared.metrics.text() {
        Ok(text) => Response::new(Full::new(text.into())),
        Err(_) => response(StatusCode::INTERNAL_SERVER_ERROR, "metrics can't be written"),
    }
}

fn response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
