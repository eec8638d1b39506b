//! The entry's side of a call: its route, whether it is let in, where it goes, and whether it is tried again.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header;
use http::{HeaderValue, Request, Response, StatusCode, request};
use hyper::body::Incoming;

use super::body::{self, Payload, Unread};
use super::call::{self, Call, Head, Root};
use super::outcome::{Fault, Outcome, Refusal, Why};
use super::{guard, peer};
use crate::decide::family;
use crate::platform::Platform;
use crate::process::events::Event;
use crate::process::shared::{Shared, Target, lock};
use crate::version::{Configuration, Route};

/// Guards that are asked for room before the caller is told that there is none.
const MOST_TRIES: usize = 4;
/// Wait for a slot that is accepted while other nodes of the service may have room.
const SHORT_WAIT: Duration = Duration::from_millis(30);
/// Part of the time to the aim that a request may wait for a slot where it was let in last.
const WAIT_SHARE: f64 = 0.5;
/// Time that a caller is asked to stay away at least.
const LEAST_AWAY: Duration = Duration::from_millis(50);
/// Time that a caller is asked to stay away when the reason passes soon.
const SOON: Duration = Duration::from_millis(300);
/// Part of its time that a caller may be asked to stay away.
const AWAY_SHARE: f64 = 0.33;
/// Largest body while there is no configuration to say.
const BODY_AT_FIRST: usize = 1 << 20;

/// A request with everything that is decided before it is sent.
struct Plan {
    route: Arc<Route>,
    call: Call,
    /// When the caller itself leaves, for the time that it is asked to stay away.
    caller_left: Duration,
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
        Err(Unread::TooLarge) => return plain(StatusCode::PAYLOAD_TOO_LARGE),
        Err(Unread::Broken) => return plain(StatusCode::BAD_REQUEST),
    };
    let Some(id) = parts.headers.get(&shared.platform.headers().id).cloned() else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let Some(active) = shared.active() else {
        return refused(&shared, &id, "", &Refusal::new(Why::Unconfigured), SOON, 0);
    };
    let plan = match plan(&shared, &active, &parts, &id, started) {
        Ok(plan) => plan,
        Err(response) => return response,
    };
    let _out = Out { shared: &shared, parent: plan.parent };
    let head = head(&shared, parts, id, head_only);
    let Some(head) = head else { return plain(StatusCode::BAD_REQUEST) };
    let response = if admitted(&shared, &plan, started) {
        tries(&shared, &plan, &head, &body).await
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
    plan.call.called || lock(&shared.plan).admits(&plan.route.name, now)
}

fn plan<P: Platform>(
    shared: &Shared<P>,
    active: &Configuration,
    parts: &request::Parts,
    id: &HeaderValue,
    now: Instant,
) -> Result<Plan, Response<Payload<P>>> {
    let names = shared.platform.headers();
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let Some(route) = active.find(host, parts.uri.path()).cloned() else {
        shared.tell(&Event::Unrouted {
            id: id.to_str().unwrap_or_default(),
            host,
            path: parts.uri.path(),
            version: active.version,
        });
        shared.metrics.calls.with_label_values(&["unrouted"]).inc();
        return Err(plain(StatusCode::NOT_FOUND));
    };
    let asked = call::parse(&parts.headers, &names.deadline).map(Duration::from_millis);
    let caller_left = asked.unwrap_or(route.timeout);
    let called = {
        let mut plan = lock(&shared.plan);
        plan.came(&route.name, now);
        plan.admission.is_called(&route.name)
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
        patience: SHORT_WAIT,
        idempotent: route.idempotent,
        called,
    };
    Ok(Plan { route, call, caller_left, parent })
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

/// Sends the request to one guard after the other until there is an answer or a reason to stop.
async fn tries<P: Platform>(
    shared: &Arc<Shared<P>>,
    plan: &Plan,
    head: &Head,
    body: &Bytes,
) -> Response<Payload<P>> {
    let Plan { route, call, .. } = plan;
    lock(&shared.budgets).entry(call.service.clone()).or_default().first();
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut sent = 0;
    let mut fault = None;
    let mut refusal = Refusal::new(Why::NoUpstream);
    while tried.len() < MOST_TRIES {
        let now = shared.now();
        if call.left(now).is_zero() {
            refusal = Refusal::new(Why::Deadline);
            break;
        }
        let Some(target) = shared.choose(&call.service, &tried) else { break };
        tried.push(target.record.node.clone());
        let last = tried.len() == MOST_TRIES || shared.choose(&call.service, &tried).is_none();
        let patience = patience(plan, last, now);
        match send(shared, &target, Call { patience, ..call.clone() }, head, body).await {
            Outcome::Answer { head: parts, body, unrun } => {
                if again(shared, plan, head, &target, &parts, unrun, sent) {
                    sent += 1;
                    continue;
                }
                return answered(shared, *parts, body);
            }
            Outcome::Refused(why) => {
                refusal = why;
                if why.why == Why::Unreachable {
                    shared.peer(&target.record.node, |peer| peer.failed(shared.now()));
                }
            }
            Outcome::Failed(why) => {
                if matches!(why, Fault::Died | Fault::Lost) {
                    shared.peer(&target.record.node, |peer| peer.failed(shared.now()));
                }
                sent += 1;
                fault = Some(why);
                if !may_repeat(shared, plan, head, &target, why, sent) {
                    break;
                }
            }
        }
    }
    match fault {
        Some(why) => failed(shared, plan, head, tried.last(), why),
        None => {
            let away = away(refusal.wait, plan.caller_left);
            refused(shared, &head.id, &route.name, &refusal, away, tried.len())
        }
    }
}

async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Target,
    call: Call,
    head: &Head,
    body: &Bytes,
) -> Outcome<P> {
    if !target.local {
        return peer::send(shared, target, &call, head, body).await;
    }
    let sent = peer::Sent::new(shared.clone(), target.record.node.clone());
    let outcome = guard::serve(shared, &call, head, body).await;
    drop(sent);
    let (load, now) = (shared.gate.load(), shared.now());
    shared.peer(&target.record.node, |peer| {
        peer.reported(load, now);
        if matches!(outcome, Outcome::Refused(Refusal { why: Why::Unreachable, .. })) {
            peer.failed(now);
        }
    });
    outcome
}

/// Wait for a slot that is accepted. A tree that has begun waits as long as it can; another request only as long as
/// its answer keeps its worth.
fn patience(plan: &Plan, last: bool, now: Instant) -> Duration {
    if !last {
        return SHORT_WAIT;
    }
    if plan.call.called {
        return plan.call.left(now);
    }
    let to_aim = plan.call.root.due.saturating_duration_since(now);
    to_aim.min(plan.call.left(now)).mul_f64(WAIT_SHARE)
}

/// Whether an answer of the upstream is given up for another try: it did not run the request.
fn again<P: Platform>(
    shared: &Shared<P>,
    plan: &Plan,
    head: &Head,
    target: &Target,
    parts: &http::response::Parts,
    unrun: bool,
    sent: u32,
) -> bool {
    let now = shared.now();
    if !unrun {
        return false;
    }
    shared.peer(&target.record.node, |peer| peer.failed(now));
    let why = if parts.status == StatusCode::MISDIRECTED_REQUEST { "misdirected" } else { "shed" };
    repeat(shared, plan, head, target, why, sent + 1)
}

/// Whether a request that may have run is sent again.
fn may_repeat<P: Platform>(
    shared: &Shared<P>,
    plan: &Plan,
    head: &Head,
    target: &Target,
    fault: Fault,
    sent: u32,
) -> bool {
    let pointless = matches!(fault, Fault::Late | Fault::Quarantined);
    plan.call.idempotent && !pointless && repeat(shared, plan, head, target, fault.as_str(), sent)
}

fn repeat<P: Platform>(
    shared: &Shared<P>,
    plan: &Plan,
    head: &Head,
    target: &Target,
    why: &str,
    sent: u32,
) -> bool {
    let left = plan.call.left(shared.now());
    let mut budgets = lock(&shared.budgets);
    let budget = budgets.entry(plan.call.service.clone()).or_default();
    if sent >= u32::from(plan.route.attempts) || left.is_zero() || !budget.take() {
        return false;
    }
    drop(budgets);
    shared.metrics.retries.with_label_values(&[why]).inc();
    shared.tell(&Event::Retried {
        id: head.id.to_str().unwrap_or_default(),
        route: &plan.route.name,
        from: &target.record.node,
        why,
        left_ms: left.as_millis() as u64,
    });
    true
}

/// Time that a caller is asked to stay away: as long as it would have waited, spread so that not all come at once.
fn away(wait: Duration, caller_left: Duration) -> Duration {
    let most = caller_left.mul_f64(AWAY_SHARE);
    let wait = wait.max(LEAST_AWAY).min(most);
    wait.mul_f64(rand::random_range(0.7..1.0))
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
    shared.tell(&Event::Refused {
        id: id.to_str().unwrap_or_default(),
        route: &route,
        why,
        share: lock(&shared.plan).admission.share(&route),
        after_ms: away.as_millis() as u64,
        tries: tries as u32,
        version: shared.version(),
    });
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
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
        at: at.map_or("", |node| node),
        why: fault.as_str(),
        status: status.as_u16(),
        version: shared.version(),
    });
    plain(status)
}

fn plain<P: Platform>(status: StatusCode) -> Response<Payload<P>> {
    let mut response = Response::new(Payload::whole(""));
    *response.status_mut() = status;
    response
}
