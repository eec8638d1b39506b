//! Entry side of a call, stage by stage: intake, route, key, quota, admission, and forwarding to a guard.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::{HeaderValue, Request, Response, StatusCode, request};
use hyper::body::Incoming;
use quota::Permit;

use super::answer::{self, SHORT_RETRY_AFTER};
use super::body::Payload;
use super::call::RequestHead;
use super::forward::Forwarded;
use super::outcome::{Refusal, RefusalReason};
use super::routed::{self, RoutedRequest, host};
use super::{forward, identity, intake};
use crate::configuration::Configuration;
use crate::decide::parents;
use crate::platform::Platform;
use crate::process::events::Event;
use crate::process::quotas;
use crate::process::shared::{Shared, lock};

/// Time past its deadline from which an answer counts as late.
const LATE_ANSWER: Duration = Duration::from_millis(250);

/// A call of the upstream without an answer; reports its end when dropped.
struct OutstandingCall<'a, P: Platform> {
    shared: &'a Shared<P>,
    parent: Option<parents::Key>,
}

impl<P: Platform> Drop for OutstandingCall<'_, P> {
    fn drop(&mut self) {
        if let Some(parent) = self.parent {
            lock(&self.shared.parents).call_ended(parent);
        }
    }
}

/// Counts a request as open until it is dropped.
struct OpenRequest<'a, P: Platform>(&'a Shared<P>);

impl<P: Platform> Drop for OpenRequest<'_, P> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles a request of a caller or the upstream.
pub async fn handle<P: Platform>(
    shared: Arc<Shared<P>>,
    request: Request<Incoming>,
) -> Response<Payload<P>> {
    shared.open_requests.fetch_add(1, Ordering::Relaxed);
    let _open = OpenRequest(&shared);
    let started = shared.now();
    let (parts, incoming) = request.into_parts();
    let no_body = hyper::body::Body::is_end_stream(&incoming);
    let body = intake::read_body(&shared, &parts, incoming, started).await;
    let read_at = shared.now();
    let Some(id) = parts.headers.get(&shared.platform.headers().id).cloned() else {
        return Payload::empty(StatusCode::BAD_REQUEST);
    };
    let refuse = |reason| {
        answer::refused(&shared, &id, ("", None), &Refusal::new(reason), SHORT_RETRY_AFTER, 0)
    };
    let body = match body {
        Some(Ok(body)) => body,
        Some(Err(error)) => return intake::unreadable(&shared, &parts, &id, error),
        None => return refuse(RefusalReason::Stopping),
    };
    let Some(configuration) = shared.serving_configuration() else {
        return refuse(RefusalReason::Unconfigured);
    };
    let (routed, head) = match identify(&shared, &configuration, parts, id, no_body, started) {
        Ok(identified) => identified,
        Err(response) => return *response,
    };
    let _outstanding = OutstandingCall { shared: &shared, parent: routed.parent };
    let response = match admit(&shared, &routed, started).await {
        Ok(permit) => {
            let result = forward::run(&shared, &routed, &head, &body).await;
            if matches!(result, Forwarded::Refused { .. }) {
                put_back(&shared, &routed, permit);
            }
            answer::respond(&shared, &routed, &head, result)
        }
        Err(refusal) => {
            let retry_after = answer::retry_after(&refusal, routed.caller_timeout);
            let subject = (&*routed.route.name, routed.tenant.as_deref());
            answer::refused(&shared, &head.id, subject, &refusal, retry_after, 0)
        }
    };
    record_latency(&shared, &routed, &head, read_at);
    response
}

/// Finds the route and the tenant of a request, and the head that is passed on; otherwise the response to it.
fn identify<P: Platform>(
    shared: &Shared<P>,
    configuration: &Configuration,
    parts: request::Parts,
    id: HeaderValue,
    no_body: bool,
    started: Instant,
) -> Result<(RoutedRequest, RequestHead), Box<Response<Payload<P>>>> {
    let Some(route) = configuration.find_route(host(&parts), parts.uri.path()).cloned() else {
        return Err(Box::new(answer::unrouted(shared, configuration, &parts, &id)));
    };
    if !identity::is_confirmed(shared, configuration, &route) {
        return Err(Box::new(answer::unconfirmed(shared, &route, &parts, &id)));
    }
    let names = shared.platform.headers();
    let tenant = match identity::identify(configuration, &route, &parts.headers, names) {
        Ok(tenant) => tenant,
        Err(error) => {
            let response = answer::unauthorized(shared, configuration, &route, &id, error);
            return Err(Box::new(response));
        }
    };
    let routed = routed::resolve(shared, route, tenant, &parts, started);
    let has_tenants = configuration.tenants().is_some();
    let tenant = routed.tenant.as_deref();
    match routed::forwarded_head(shared, parts, id, no_body, has_tenants, tenant) {
        Some(head) => Ok((routed, head)),
        None => Err(Box::new(Payload::empty(StatusCode::BAD_REQUEST))),
    }
}

/// Records the time that an answer took; `read_at` is when the request's body was in.
fn record_latency<P: Platform>(
    shared: &Shared<P>,
    routed: &RoutedRequest,
    head: &RequestHead,
    read_at: Instant,
) {
    let RoutedRequest { route, call, started, .. } = routed;
    let now = shared.now();
    let elapsed = now.saturating_duration_since(*started);
    shared.metrics.latency.observe(elapsed.as_secs_f64());
    if now <= call.deadline + LATE_ANSWER {
        return;
    }
    shared.metrics.late_answers.inc();
    shared.log(&Event::AnsweredLate {
        id: head.id.to_str().unwrap_or_default(),
        route: &route.name,
        timeout_ms: call.deadline.saturating_duration_since(*started).as_millis() as u64,
        body_ms: read_at.saturating_duration_since(*started).as_millis() as u64,
        elapsed_ms: elapsed.as_millis() as u64,
        version: shared.version(),
    });
}

/// Admits or refuses a request, by the quota of its tenant first.
async fn admit<P: Platform>(
    shared: &Arc<Shared<P>>,
    routed: &RoutedRequest,
    started: Instant,
) -> Result<Option<Permit>, Refusal> {
    let permit = match &routed.tenant {
        Some(tenant) => {
            let permit = quotas::acquire(shared, tenant, routed.call.deadline).await?;
            if !routed.call.internal {
                let mut traffic = lock(&shared.traffic);
                traffic.record_arrival(&routed.call.root.route, started);
                traffic.record_tenant(&routed.call.root.route, &tenant.name, started);
            }
            permit
        }
        None => None,
    };
    match admit_root(shared, routed, started) {
        Ok(()) => Ok(permit),
        Err(refusal) => {
            put_back(shared, routed, permit);
            Err(refusal)
        }
    }
}

/// Puts back the token of a request that did not run and will not run.
fn put_back<P: Platform>(shared: &Shared<P>, routed: &RoutedRequest, permit: Option<Permit>) {
    if let (Some(tenant), Some(permit)) = (&routed.tenant, permit) {
        shared.quotas.put_back(tenant, &permit, shared.moment());
    }
}

/// Admits or refuses a request; calls made for a running request are always admitted.
fn admit_root<P: Platform>(
    shared: &Shared<P>,
    routed: &RoutedRequest,
    now: Instant,
) -> Result<(), Refusal> {
    if routed.call.internal {
        return Ok(());
    }
    // The body may have arrived late.
    if !shared.shutdown.allows(routed.call.deadline, shared.now()) {
        return Err(Refusal::new(RefusalReason::Stopping));
    }
    let tenant = routed.tenant.as_ref().map(|tenant| &*tenant.name);
    let (class, left) = (&routed.call.root.route, routed.caller_timeout);
    if !lock(&shared.traffic).try_admit(class, tenant, left, now) {
        return Err(Refusal { reason: RefusalReason::Overload, wait: Duration::MAX });
    }
    Ok(())
}
