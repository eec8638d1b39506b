//! The entry's side of a call: its route, whether it is let in, and what its caller is answered.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::header;
use http::{HeaderValue, Request, Response, StatusCode, request};
use hyper::body::Incoming;

use super::body::{self, Payload, Unread};
use super::call::{self, Call, Head, Root};
use super::outcome::{Fault, Refusal, Why};
use super::tries::{self, Ended};
use crate::decide::family;
use crate::platform::Platform;
use crate::process::events::Event;
use crate::process::shared::{Shared, lock};
use crate::version::{Configuration, Route};

/// Part of the time between two announcements after which half of the upstreams that are awaited have come back.
const RETURN: f64 = 0.5;
/// Time that a caller is asked to stay away at least.
const LEAST_AWAY: Duration = Duration::from_millis(50);
/// Time that a caller is asked to stay away when the reason passes soon.
const SOON: Duration = Duration::from_millis(300);
/// Part of its time that a caller may be asked to stay away.
const AWAY_SHARE: f64 = 0.33;
/// Largest body while there is no configuration to say.
const BODY_AT_FIRST: usize = 1 << 20;

/// A request with everything that is decided before it is sent.
pub struct Plan {
    /// The route.
    pub route: Arc<Route>,
    /// What it carries.
    pub call: Call,
    /// When it came.
    started: Instant,
    /// When the caller itself leaves, for the time that it is asked to stay away.
    caller_left: Duration,
    /// The request of the upstream that it is made for.
    parent: Option<family::Key>,
}

/// A call of the upstream that has no answer yet.
struct Out<'a, P: Platform> {
    shared: &'a Shared<P>,
    parent: Option<family::Key>,
}

impl<P: Platform> Drop for Out<'_, P> {
    fn drop(&mut self) {
        if let Some(parent) = self.parent {
            lock(&self.shared.family).returned(parent);
        }
    }
}

/// Counts a request as open until it is answered.
struct Open<'a, P: Platform>(&'a Shared<P>);

impl<P: Platform> Drop for Open<'_, P> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one request.
pub async fn call<P: Platform>(
    shared: Arc<Shared<P>>,
    request: Request<Incoming>,
) -> Response<Payload<P>> {
    shared.open.fetch_add(1, Ordering::Relaxed);
    let _open = Open(&shared);
    let started = shared.now();
    let (parts, incoming) = request.into_parts();
    let most = shared.active().map_or(BODY_AT_FIRST, |active| active.limits.body);
    let head_only = hyper::body::Body::is_end_stream(&incoming);
    let body = match body::read_request(incoming, most).await {
        Ok(body) => body,
        Err(Unread::TooLarge) => return Payload::empty(StatusCode::PAYLOAD_TOO_LARGE),
        Err(Unread::Broken) => return Payload::empty(StatusCode::BAD_REQUEST),
    };
    let Some(id) = parts.headers.get(&shared.platform.headers().id).cloned() else {
        return Payload::empty(StatusCode::BAD_REQUEST);
    };
    let Some(active) = shared.active() else {
        return refused(&shared, &id, "", &Refusal::new(Why::Unconfigured), SOON, 0);
    };
    let Some(plan) = plan(&shared, &active, &parts, started) else {
        return unrouted(&shared, &active, &parts, &id);
    };
    let _out = Out { shared: &shared, parent: plan.parent };
    let head = head(&shared, parts, id, head_only);
    let Some(head) = head else { return Payload::empty(StatusCode::BAD_REQUEST) };
    let response = if admitted(&shared, &plan, started) {
        finish(&shared, &plan, &head, tries::run(&shared, &plan, &head, &body).await)
    } else {
        let away = away(Duration::MAX, plan.caller_left);
        refused(&shared, &head.id, &plan.route.name, &Refusal::new(Why::Overload), away, 0)
    };
    let taken = shared.now().saturating_duration_since(started);
    shared.metrics.latency.observe(taken.as_secs_f64());
    response
}

/// Whether a root request is let in; calls of trees that have begun always are.
fn admitted<P: Platform>(shared: &Shared<P>, plan: &Plan, now: Instant) -> bool {
    plan.call.called || lock(&shared.intake).admits(&plan.route.name, now)
}

/// Answers a request that no route takes.
fn unrouted<P: Platform>(
    shared: &Shared<P>,
    active: &Configuration,
    parts: &request::Parts,
    id: &HeaderValue,
) -> Response<Payload<P>> {
    shared.tell(&Event::Unrouted {
        id: id.to_str().unwrap_or_default(),
        host: host(parts),
        path: parts.uri.path(),
        version: active.version,
    });
    shared.metrics.calls.with_label_values(&["unrouted"]).inc();
    Payload::empty(StatusCode::NOT_FOUND)
}

fn host(parts: &request::Parts) -> &str {
    let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    named.or_else(|| parts.uri.host()).unwrap_or_default()
}

/// Finds the route of a request and what it belongs to; none if no route takes it.
fn plan<P: Platform>(
    shared: &Shared<P>,
    active: &Configuration,
    parts: &request::Parts,
    now: Instant,
) -> Option<Plan> {
    let names = shared.platform.headers();
    let route = active.find(host(parts), parts.uri.path()).cloned()?;
    let asked = call::parse(&parts.headers, &names.deadline).map(Duration::from_millis);
    let caller_left = asked.unwrap_or(route.timeout);
    let called = {
        let mut intake = lock(&shared.intake);
        intake.came(&route.name, now);
        intake.admission.is_called(&route.name)
    };
    let parent = if called { parent(shared, caller_left, now) } else { None };
    let (parent, root) = match parent {
        Some((key, root)) => (Some(key), root),
        None => {
            let (name, due) = (route.name.clone(), now + route.aim);
            (None, Root { route: name, rank: route.rank, due })
        }
    };
    let service = service(shared, &route);
    let call = Call {
        root,
        service,
        caller: shared.place.service.clone(),
        until: now + caller_left.min(route.timeout),
        patience: Duration::ZERO,
        idempotent: route.idempotent,
        called,
    };
    Some(Plan { route, call, started: now, caller_left, parent })
}

/// The request of the upstream that a call is made for.
fn parent<P: Platform>(
    shared: &Shared<P>,
    left: Duration,
    now: Instant,
) -> Option<(family::Key, Root)> {
    let mut family = lock(&shared.family);
    if let Some((key, root)) = family.exact(left, now) {
        return Some((key, root.clone()));
    }
    family.likely(left, now).map(|(key, root)| (key, root.clone()))
}

fn service<P: Platform>(shared: &Shared<P>, route: &Route) -> Arc<str> {
    if let [only] = &route.parts[..] {
        return only.service.clone();
    }
    let weights: Vec<u32> = route.parts.iter().map(|part| part.weight).collect();
    let mut splits = lock(&shared.splits);
    let next = splits.entry(route.name.clone()).or_default().next(&weights);
    route.parts[next].service.clone()
}

fn head<P: Platform>(
    shared: &Shared<P>,
    mut parts: request::Parts,
    id: HeaderValue,
    head_only: bool,
) -> Option<Head> {
    let names = shared.platform.headers();
    let path = parts.uri.path_and_query().cloned()?;
    call::strip(&mut parts.headers);
    for name in [&names.deadline, &names.pin, &names.caller] {
        parts.headers.remove(name);
    }
    if !head_only || parts.headers.contains_key(header::CONTENT_LENGTH) {
        // The whole body is in memory; its length is set anew.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    Some(Head { method: parts.method, path, headers: parts.headers, id })
}

/// Time that a caller is asked to stay away: as long as it would have waited, spread so that not all come at once.
fn away(wait: Duration, caller_left: Duration) -> Duration {
    let most = caller_left.mul_f64(AWAY_SHARE);
    let wait = wait.max(LEAST_AWAY).min(most);
    wait.mul_f64(rand::random_range(0.7..1.0))
}

/// Time after which a refused request may find room: what the guard expected, or the return of an upstream that left.
pub fn expected(refusal: &Refusal, beat: Duration) -> Duration {
    match refusal.why {
        Why::NoUpstream | Why::Leaving | Why::Unreachable => refusal.wait.max(beat.mul_f64(RETURN)),
        Why::Unconfigured | Why::Full | Why::Overload | Why::Deadline => refusal.wait,
    }
}

/// The caller's answer to what became of its request.
fn finish<P: Platform>(
    shared: &Shared<P>,
    plan: &Plan,
    head: &Head,
    ended: Ended<P>,
) -> Response<Payload<P>> {
    match ended {
        Ended::Answer { head, body } => answered(shared, *head, body),
        Ended::Refused { refusal, tries } => {
            let away = away(expected(&refusal, shared.place.beat), plan.caller_left);
            refused(shared, &head.id, &plan.route.name, &refusal, away, tries)
        }
        Ended::Failed { fault, at } => failed(shared, plan, head, at.as_ref(), fault),
    }
}

fn answered<P: Platform>(
    shared: &Shared<P>,
    parts: http::response::Parts,
    body: Payload<P>,
) -> Response<Payload<P>> {
    let outcome = if parts.status.is_success() { "answered" } else { "upstream-error" };
    shared.metrics.calls.with_label_values(&[outcome]).inc();
    Response::from_parts(parts, body)
}

fn refused<P: Platform>(
    shared: &Shared<P>,
    id: &HeaderValue,
    route: &str,
    refusal: &Refusal,
    away: Duration,
    tries: usize,
) -> Response<Payload<P>> {
    let why = refusal.why.as_str();
    shared.metrics.calls.with_label_values(&[why]).inc();
    let route: Arc<str> = route.into();
    let (share, plan) = {
        let intake = lock(&shared.intake);
        (intake.admission.share(&route), intake.plan_age(shared.now()))
    };
    shared.tell(&Event::Refused {
        id: id.to_str().unwrap_or_default(),
        route: &route,
        why,
        share,
        plan_ms: plan.as_millis() as u64,
        after_ms: away.as_millis() as u64,
        tries: tries as u32,
        version: shared.version(),
    });
    let mut response = Payload::empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", away.as_secs_f64());
    call::set(response.headers_mut(), header::RETRY_AFTER, seconds);
    response
}

fn failed<P: Platform>(
    shared: &Shared<P>,
    plan: &Plan,
    head: &Head,
    at: Option<&Arc<str>>,
    fault: Fault,
) -> Response<Payload<P>> {
    let status =
        if fault == Fault::Late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    shared.metrics.calls.with_label_values(&[fault.as_str()]).inc();
    shared.tell(&Event::Failed {
        id: head.id.to_str().unwrap_or_default(),
        route: &plan.route.name,
        asked: at.map_or("", |node| node),
        why: fault.as_str(),
        status: status.as_u16(),
        taken_ms: shared.now().saturating_duration_since(plan.started).as_millis() as u64,
        version: shared.version(),
    });
    Payload::empty(status)
}
