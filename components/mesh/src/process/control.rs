//! What the platform and the upstream ask of the node: whether it takes work, and to hear announcements.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};

use super::events::Event;
use super::shared::{Shared, lock, standing};
use super::upstream::Change;
use crate::decide::members::Standing;
use crate::platform::{Announcement, Beat, Platform};

/// Largest announcement.
const ANNOUNCEMENT_LARGEST: usize = 64 << 10;

/// Answers whether the node takes work.
pub async fn ready<P: Platform>(shared: Arc<Shared<P>>) -> Response<Full<Bytes>> {
    match shared.readiness() {
        Ok(()) => response(StatusCode::OK, "ready"),
        Err(why) => response(StatusCode::SERVICE_UNAVAILABLE, why),
    }
}

/// Takes an announcement of the upstream.
pub async fn announced<P: Platform>(
    shared: Arc<Shared<P>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, incoming) = request.into_parts();
    let Ok(body) = Limited::new(incoming, ANNOUNCEMENT_LARGEST).collect().await else {
        return response(StatusCode::BAD_REQUEST, "the body can't be read");
    };
    let body = body.to_bytes();
    if shared.parting.load(Ordering::Relaxed) {
        // What is acknowledged now would be forgotten; the next life of the node hears of it.
        return response(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    match shared.platform.announcement(&parts.method, parts.uri.path(), &body) {
        Ok(announcement) => take(&shared, announcement),
        Err(why) => {
            shared.tell(&Event::AnnouncementRefused { why: &why });
            response(StatusCode::BAD_REQUEST, "the announcement can't be read")
        }
    }
}

fn take<P: Platform>(shared: &Shared<P>, announcement: Announcement) -> Response<Full<Bytes>> {
    if let Announcement::Beat(beat) = &announcement
        && *beat.service != *shared.place.service
    {
        let why = format!("service `{}` is not the one of this machine", beat.service);
        shared.tell(&Event::AnnouncementRefused { why: &why });
        return response(StatusCode::BAD_REQUEST, "another service");
    }
    let now = shared.moment();
    let (change, told) = {
        let mut upstream = lock(&shared.upstream);
        let change = upstream.take(announcement, now);
        let known = upstream.known().cloned();
        (change, known.map(|beat| (beat, upstream.standing())))
    };
    if let (Change::Started | Change::Updated, Some((beat, standing))) = (change, told) {
        changed(shared, &beat, standing, change == Change::Started);
    }
    response(StatusCode::OK, "{}")
}

/// Goes by a new state of the upstream.
pub fn changed<P: Platform>(shared: &Shared<P>, beat: &Beat, now: Standing, started: bool) {
    shared.tell(&Event::UpstreamChanged {
        id: &beat.id,
        standing: standing(now),
        slots: beat.slots,
        sequence: beat.sequence,
    });
    shared.gate.set_slots(beat.slots);
    if started {
        shared.lanes.close(shared.place.upstream);
    }
    shared.publish();
}

/// Metrics as text.
pub async fn metrics<P: Platform>(shared: Arc<Shared<P>>) -> Response<Full<Bytes>> {
    let load = shared.gate.load();
    shared.metrics.members.set(lock(&shared.table).ready() as i64);
    shared.metrics.running.set(i64::from(load.running));
    shared.metrics.waiting.set(i64::from(load.waiting));
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
