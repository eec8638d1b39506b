//! Responses of the entry to callers: answers of upstreams, and the node's own refusals and failures.

use std::sync::Arc;
use std::time::Duration;

use http::header;
use http::{HeaderValue, Response, StatusCode, request};

use super::body::Payload;
use super::call::{self, RequestHead};
use super::forward::Forwarded;
use super::identity::Unauthorized;
use super::outcome::{Fault, Refusal, RefusalReason};
use super::routed::{self, RoutedRequest, host};
use crate::configuration::{Configuration, Route, Tenant};
use crate::platform::Platform;
use crate::process::events::Event;
use crate::process::shared::{Shared, lock};

/// Expected wait while no upstream is available, as a fraction of the heartbeat interval: by then, half of the
/// missing upstreams are back.
const RETURN_FRACTION: f64 = 0.5;
/// Shortest delay before a refused caller retries.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Delay before a retry while no configuration is known, a state that passes soon.
pub const SHORT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Largest delay before a retry, as a fraction of the caller's timeout.
const MAX_RETRY_FRACTION: f64 = 0.33;

/// Responds to a request that no route matches.
pub fn unrouted<P: Platform>(
    shared: &Shared<P>,
    configuration: &Configuration,
    parts: &request::Parts,
    id: &HeaderValue,
) -> Response<Payload<P>> {
    shared.log(&Event::Unrouted {
        id: id.to_str().unwrap_or_default(),
        host: host(parts),
        path: parts.uri.path(),
        version: configuration.version,
    });
    shared.metrics.calls.with_label_values(&["unrouted"]).inc();
    Payload::empty(StatusCode::NOT_FOUND)
}

/// Responds to a request without a valid key.
pub fn unauthorized<P: Platform>(
    shared: &Shared<P>,
    configuration: &Configuration,
    route: &Route,
    id: &HeaderValue,
    error: Unauthorized,
) -> Response<Payload<P>> {
    shared.log(&Event::Unauthorized {
        id: id.to_str().unwrap_or_default(),
        route: &route.name,
        has_key: error.has_key,
        version: configuration.version,
    });
    shared.metrics.calls.with_label_values(&["unauthorized"]).inc();
    Payload::empty(StatusCode::UNAUTHORIZED)
}

/// Responds to a request whose key can't be trusted, as the configuration is not confirmed.
pub fn unconfirmed<P: Platform>(
    shared: &Shared<P>,
    route: &Route,
    parts: &request::Parts,
    id: &HeaderValue,
) -> Response<Payload<P>> {
    let refusal = Refusal { reason: RefusalReason::Unconfirmed, wait: SHORT_RETRY_AFTER };
    let retry_after = retry_after(&refusal, routed::caller_timeout(shared, route, parts));
    refused(shared, id, (&route.name, None), &refusal, retry_after, 0)
}

/// Delay before a refused caller should retry: the expected wait, with jitter so that callers don't return all at once. A
/// token of a quota is there after its wait and not before.
pub fn retry_after(refusal: &Refusal, caller_timeout: Duration) -> Duration {
    let max = caller_timeout.mul_f64(MAX_RETRY_FRACTION);
    if refusal.reason == RefusalReason::Quota {
        let wait = refusal.wait.max(MIN_RETRY_AFTER).mul_f64(rand::random_range(1.0..1.3));
        return wait.min(max);
    }
    refusal.wait.max(MIN_RETRY_AFTER).min(max).mul_f64(rand::random_range(0.7..1.0))
}

/// Expected time until a slot is free: the guard's estimate, or the return of an upstream that left.
pub fn expected_wait(refusal: &Refusal, interval: Duration) -> Duration {
    match refusal.reason {
        RefusalReason::NoUpstream | RefusalReason::Leaving | RefusalReason::Unreachable => {
            refusal.wait.max(interval.mul_f64(RETURN_FRACTION))
        }
        RefusalReason::Unconfigured
        | RefusalReason::Unconfirmed
        | RefusalReason::Full
        | RefusalReason::RateLimited
        | RefusalReason::Quota
        | RefusalReason::Overload
        | RefusalReason::Deadline
        | RefusalReason::BodyLate
        | RefusalReason::BodyBudget
        | RefusalReason::Connections
        | RefusalReason::Stopping => refusal.wait,
    }
}

/// Turns the result of forwarding into a response to the caller.
pub fn respond<P: Platform>(
    shared: &Shared<P>,
    routed: &RoutedRequest,
    head: &RequestHead,
    result: Forwarded<P>,
) -> Response<Payload<P>> {
    match result {
        Forwarded::Answer { head, body } => answered(shared, *head, body),
        Forwarded::Refused { refusal, attempts } => {
            let wait = expected_wait(&refusal, shared.settings.heartbeat_interval);
            let retry_after = retry_after(&Refusal { wait, ..refusal }, routed.caller_timeout);
            let subject = (&*routed.route.name, routed.tenant.as_deref());
            refused(shared, &head.id, subject, &refusal, retry_after, attempts)
        }
        Forwarded::Failed { fault, node } => failed(shared, routed, head, node.as_ref(), fault),
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

/// Responds to a request that did not run and will not run.
pub fn refused<P: Platform>(
    shared: &Shared<P>,
    id: &HeaderValue,
    (route, tenant): (&str, Option<&Tenant>),
    refusal: &Refusal,
    retry_after: Duration,
    attempts: usize,
) -> Response<Payload<P>> {
    let reason = refusal.reason.as_str();
    shared.metrics.calls.with_label_values(&[reason]).inc();
    let (share, plan_age) = if refusal.reason == RefusalReason::Quota {
        shared.quotas.basis(shared.moment())
    } else {
        let traffic = lock(&shared.traffic);
        (traffic.admission.least_share(route), traffic.plan_age(shared.now()))
    };
    shared.log(&Event::Refused {
        id: id.to_str().unwrap_or_default(),
        route,
        tenant: tenant.map(|tenant| &*tenant.name),
        reason,
        share,
        plan_ms: plan_age.as_millis() as u64,
        retry_ms: retry_after.as_millis() as u64,
        attempts: attempts as u32,
        version: shared.version(),
    });
    let status = match refusal.reason {
        RefusalReason::Quota => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Payload::empty(status);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    call::set_header(response.headers_mut(), header::RETRY_AFTER, seconds);
    response
}

fn failed<P: Platform>(
    shared: &Shared<P>,
    routed: &RoutedRequest,
    head: &RequestHead,
    node: Option<&Arc<str>>,
    fault: Fault,
) -> Response<Payload<P>> {
    let status =
        if fault == Fault::Timeout { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    shared.metrics.calls.with_label_values(&[fault.as_str()]).inc();
    shared.log(&Event::Failed {
        id: head.id.to_str().unwrap_or_default(),
        route: &routed.route.name,
        target: node.map_or("", |node| node),
        reason: fault.as_str(),
        status: status.as_u16(),
        elapsed_ms: shared.now().saturating_duration_since(routed.started).as_millis() as u64,
        version: shared.version(),
    });
    Payload::empty(status)
}
