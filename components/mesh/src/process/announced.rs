//! What the upstream announces in its answers: a rate limit, that it is leaving, and how long work takes at the moment.
//!
//! Only this node reaches the upstream, so it applies both to the requests of all nodes. Entries remember them as a
//! [`Notice`] and remind this node of them after a restart.

use std::time::Instant;

use http::{HeaderMap, StatusCode, response};
use units::Rate;

use super::control;
use super::events::Event;
use super::shared::{Shared, lock};
use super::slow_start;
use crate::decide::members::UpstreamState;
use crate::decide::notice::Notice;
use crate::decide::rate_limit::{Announced, Answer};
use crate::decide::server_load::ServerLoad;
use crate::decide::slow_start::{self as decide, Failure};
use crate::platform::{Announcement, HeaderFlag, Heartbeat, Platform};

/// Records what an answer to a request announces that was sent at `sent_at`.
pub fn record_answer<P: Platform>(
    shared: &Shared<P>,
    upstream: &Heartbeat,
    head: &response::Parts,
    sent_at: Instant,
    not_run: bool,
) {
    let misdirected = not_run && head.status == StatusCode::MISDIRECTED_REQUEST;
    let current = lock(&shared.upstream).last_heartbeat().map(Heartbeat::incarnation);
    if misdirected || current != Some(upstream.incarnation()) {
        // Another incarnation answered, or another one has started since.
        return;
    }
    let announced = announced_limit(shared, &head.headers);
    let ran = !not_run && !head.status.is_server_error();
    let answer = Answer { announced, sent_at, ran };
    let (before, after) = shared.limiter.record_answer(answer, shared.now());
    rate_limit_changed(shared, &upstream.id, before, after, "answer");
    let calls = || lock(&shared.traffic).admission.is_calling(&shared.settings.service);
    if !ran && decide::is_own_failure(not_run, calls()) {
        slow_start::record_failure(shared, upstream, Failure::Failed, sent_at);
    }
    if let Some(factor) = reported_load(shared, &head.headers).and_then(|load| load.factor) {
        shared.limiter.record_factor(factor, shared.now());
    }
    if is_leaving(shared, &head.headers) {
        let (id, started_ms) = (upstream.id.clone(), Some(upstream.started_ms));
        control::announce(shared, Announcement::Leave { id, started_ms }, "answer");
    }
}

/// Applies what another node or the store remembers of the upstream, if it is about the current incarnation.
pub fn apply_notice<P: Platform>(shared: &Shared<P>, notice: &Notice, from: &str) {
    let (heartbeat, left) = {
        let mut upstream = lock(&shared.upstream);
        let current = upstream.last_heartbeat().cloned();
        let Some(current) = current.filter(|known| known.incarnation() == notice.incarnation)
        else {
            return;
        };
        let now = shared.moment();
        let left = notice.leaving.is_some_and(|age| upstream.leave_since(age, now));
        (current, left)
    };
    if left {
        control::upstream_changed(shared, &heartbeat, UpstreamState::Leaving, false, from);
    }
    if let Some(limit) = notice.rate_limit
        && shared.limiter.restore_rate_limit(limit, shared.now())
    {
        rate_limit_changed(shared, &heartbeat.id, None, Some(limit), from);
    }
}

/// Forgets the rate limit, as a new incarnation of the upstream has started.
pub fn reset_rate_limit<P: Platform>(shared: &Shared<P>, id: &str) {
    let before = shared.limiter.announced_limit();
    shared.limiter.reset_rate_limit();
    rate_limit_changed(shared, id, before, None, "start");
}

/// What the current incarnation has announced; `None` if nothing restricts it.
pub fn notice<P: Platform>(shared: &Shared<P>) -> Option<Notice> {
    let rate_limit = shared.limiter.announced_limit();
    let upstream = lock(&shared.upstream);
    let leaving = upstream.leaving_for(shared.moment());
    let incarnation = upstream.last_heartbeat()?.incarnation();
    let restricted = rate_limit.is_some() || leaving.is_some();
    restricted.then_some(Notice { incarnation, rate_limit, leaving })
}

/// The announced limit; the lowest if there are several.
fn announced_limit<P: Platform>(shared: &Shared<P>, headers: &HeaderMap) -> Announced {
    let name = &shared.platform.headers().rate_limit;
    let mut lowest: Option<Rate> = None;
    let mut invalid = false;
    for value in headers.get_all(name) {
        match value.to_str().ok().and_then(|text| text.trim().parse::<Rate>().ok()) {
            Some(rate) if lowest.is_none_or(|lowest| rate < lowest) => lowest = Some(rate),
            Some(_) => {}
            None => invalid = true,
        }
    }
    if invalid {
        shared.metrics.upstream.invalid_headers.with_label_values(&[name.as_str()]).inc();
    }
    match lowest {
        Some(rate) => Announced::Limit(rate),
        None if invalid => Announced::Invalid,
        None => Announced::Unlimited,
    }
}

/// The load that the upstream reports; `None` if there is none, several, or an invalid one.
fn reported_load<P: Platform>(shared: &Shared<P>, headers: &HeaderMap) -> Option<ServerLoad> {
    let name = &shared.platform.headers().load;
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    let load = first.to_str().ok().and_then(|text| text.parse().ok());
    let load = load.filter(|_| values.next().is_none());
    if load.is_none() {
        shared.metrics.upstream.invalid_headers.with_label_values(&[name.as_str()]).inc();
    }
    load
}

fn is_leaving<P: Platform>(shared: &Shared<P>, headers: &HeaderMap) -> bool {
    let HeaderFlag { name, value: set } = &shared.platform.headers().leaving;
    let mut leaving = false;
    for value in headers.get_all(name) {
        if value.to_str().is_ok_and(|text| text.trim() == *set) {
            leaving = true;
        } else {
            shared.metrics.upstream.invalid_headers.with_label_values(&[name.as_str()]).inc();
        }
    }
    leaving
}

fn rate_limit_changed<P: Platform>(
    shared: &Shared<P>,
    id: &str,
    before: Option<Rate>,
    after: Option<Rate>,
    from: &str,
) {
    if before == after {
        return;
    }
    shared.metrics.upstream.rate_limit.set(after.map_or(f64::INFINITY, |rate| rate.0));
    let (before, after) = (before.map(|rate| rate.0), after.map(|rate| rate.0));
    shared.log(&Event::RateLimitChanged { upstream: id, before, after, from });
}
