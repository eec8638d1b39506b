//! Intake of a request at the entry: reads its body, within the limits of the configuration and until its deadline.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bounds::RequestBody;
use bounds::choice::Phase;
use bounds::connections::Connection;
use bounds::ledger::SMALL_BYTES;
use http::header;
use http::{HeaderValue, Response, StatusCode, request};
use hyper::body::Incoming;

use super::answer::{self, SHORT_RETRY_AFTER};
use super::body::Payload;
use super::call;
use super::outcome::{Refusal, RefusalReason};
use super::received::{self, Bounds, ReadError};
use super::routed::host;
use crate::platform::Platform;
use crate::process::events::Event;
use crate::process::shared::Shared;

/// Longest time in which a request body has to arrive if neither its route nor its caller bounds it.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);
/// Largest request body while there is no configuration.
const DEFAULT_MAX_BODY_BYTES: usize = 1 << 20;
/// Time for which the rest of a discarded body is read.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// Counts a request body as incoming until it is dropped.
struct IncomingBody<'a, P: Platform>(&'a Shared<P>);

impl<'a, P: Platform> IncomingBody<'a, P> {
    fn new(shared: &'a Shared<P>) -> Self {
        shared.metrics.incoming_bodies.inc();
        Self(shared)
    }
}

impl<P: Platform> Drop for IncomingBody<'_, P> {
    fn drop(&mut self) {
        self.0.metrics.incoming_bodies.dec();
    }
}

/// Reads the body of a request; `None` if the node has to answer what is open before it is in. Only a small one is read
/// for a request without a route.
pub async fn read_body<P: Platform>(
    shared: &Shared<P>,
    parts: &request::Parts,
    incoming: Incoming,
    started: Instant,
) -> Option<Result<RequestBody, ReadError>> {
    let max_body = shared
        .configuration()
        .map_or(DEFAULT_MAX_BODY_BYTES, |configuration| configuration.limits.body_bytes);
    let limit =
        if is_unrouted(shared, parts) { max_body.min(SMALL_BYTES as usize) } else { max_body };
    let deadline = body_deadline(shared, parts, started);
    let bounds = Bounds { limit, deadline, drain: DRAIN_TIME };
    let _incoming = IncomingBody::new(shared);
    let read = received::read(incoming, bounds, &shared.bodies, shared.platform.clock());
    let read = shared.shutdown.until_answering(read).await;
    log_exhausted(shared);
    // A connection that waits for its node isn't closed for others.
    if let Some(connection) = parts.extensions.get::<Arc<Connection>>() {
        connection.set_phase(Phase::Busy, shared.now());
    }
    read
}

/// Answers a request whose body can't be read.
pub fn unreadable<P: Platform>(
    shared: &Shared<P>,
    parts: &request::Parts,
    id: &HeaderValue,
    error: ReadError,
) -> Response<Payload<P>> {
    match error {
        ReadError::TooLarge if is_unrouted(shared, parts) => unrouted(shared, parts, id),
        ReadError::Discarded => discarded(shared, parts, id),
        ReadError::TooLarge => Payload::empty(StatusCode::PAYLOAD_TOO_LARGE),
        ReadError::Incomplete => Payload::empty(StatusCode::BAD_REQUEST),
        ReadError::Late => body_late(shared, parts, id),
    }
}

/// Logs that the budget of bodies is exhausted, the first time.
pub fn log_exhausted<P: Platform>(shared: &Shared<P>) {
    if shared.bodies.take_first_reached() {
        let usage = shared.bodies.usage();
        shared.log(&Event::BodyBudgetReached {
            size: usage.size.unwrap_or(u64::MAX),
            used: usage.used,
            waiting: usage.waiting,
            discarded: usage.discarded,
        });
    }
}

fn is_unrouted<P: Platform>(shared: &Shared<P>, parts: &request::Parts) -> bool {
    let configuration = shared.serving_configuration();
    configuration.is_some_and(|configuration| {
        configuration.find_route(host(parts), parts.uri.path()).is_none()
    })
}

/// Answers a request without a route whose body was not read to its end.
fn unrouted<P: Platform>(
    shared: &Shared<P>,
    parts: &request::Parts,
    id: &HeaderValue,
) -> Response<Payload<P>> {
    let mut response = match shared.serving_configuration() {
        Some(configuration) => answer::unrouted(shared, &configuration, parts, id),
        None => Payload::empty(StatusCode::NOT_FOUND),
    };
    call::set_header(response.headers_mut(), header::CONNECTION, "close");
    response
}

/// When a request has to be in: at the timeout of its route by the configuration that its head met, or when its caller
/// gives up.
fn body_deadline<P: Platform>(
    shared: &Shared<P>,
    parts: &request::Parts,
    started: Instant,
) -> Instant {
    let names = shared.platform.headers();
    let caller_timeout = call::parse_header(&parts.headers, &names.deadline);
    let configuration = shared.configuration();
    let route = configuration.as_ref().and_then(|configuration| {
        configuration.find_route(host(parts), parts.uri.path()).map(|route| route.timeout)
    });
    let timeouts = [caller_timeout.map(Duration::from_millis), route, Some(MAX_BODY_TIME)];
    started + timeouts.into_iter().flatten().min().unwrap_or(MAX_BODY_TIME)
}

/// Answers a request whose body was not in at its deadline: it has not run.
fn body_late<P: Platform>(
    shared: &Shared<P>,
    parts: &request::Parts,
    id: &HeaderValue,
) -> Response<Payload<P>> {
    let mut response = refuse_and_close(shared, parts, id, RefusalReason::BodyLate);
    *response.status_mut() = StatusCode::REQUEST_TIMEOUT;
    response
}

/// Answers a request whose body was discarded: it has not run.
fn discarded<P: Platform>(
    shared: &Shared<P>,
    parts: &request::Parts,
    id: &HeaderValue,
) -> Response<Payload<P>> {
    refuse_and_close(shared, parts, id, RefusalReason::BodyBudget)
}

fn refuse_and_close<P: Platform>(
    shared: &Shared<P>,
    parts: &request::Parts,
    id: &HeaderValue,
    reason: RefusalReason,
) -> Response<Payload<P>> {
    let configuration = shared.configuration();
    let route = configuration.as_ref().and_then(|configuration| {
        configuration.find_route(host(parts), parts.uri.path()).map(|route| route.name.clone())
    });
    let refusal = Refusal::new(reason);
    let route = route.unwrap_or_default();
    let mut response = answer::refused(shared, id, (&route, None), &refusal, SHORT_RETRY_AFTER, 0);
    call::set_header(response.headers_mut(), header::CONNECTION, "close");
    response
}
