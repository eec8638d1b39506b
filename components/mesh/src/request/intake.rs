//! Intake of a request at the entry: reads its body, within the limits of the configuration and until its deadline.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header;
use http::{HeaderValue, Response, StatusCode, request};
use hyper::body::Incoming;

use super::answer::{self, SHORT_RETRY_AFTER};
use super::body::{self, Payload, ReadError};
use super::call;
use super::outcome::{Refusal, RefusalReason};
use super::routed::host;
use crate::platform::Platform;
use crate::process::shared::Shared;

/// Longest time in which a request body has to arrive if neither its route nor its caller bounds it.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);
/// Largest request body while there is no configuration.
const DEFAULT_MAX_BODY_BYTES: usize = 1 << 20;

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

/// Reads the body of a request; `None` if the node has to answer what is open before it is in.
pub async fn read_body<P: Platform>(
    shared: &Shared<P>,
    parts: &request::Parts,
    incoming: Incoming,
    started: Instant,
) -> Option<Result<Bytes, ReadError>> {
    let max_body = shared
        .configuration()
        .map_or(DEFAULT_MAX_BODY_BYTES, |configuration| configuration.limits.body_bytes);
    let _incoming = IncomingBody::new(shared);
    let read = body::read_request(incoming, max_body, body_deadline(shared, parts, started));
    shared.shutdown.until_answering(read).await
}

/// Answers a request whose body can't be read.
pub fn unreadable<P: Platform>(
    shared: &Shared<P>,
    parts: &request::Parts,
    id: &HeaderValue,
    error: ReadError,
) -> Response<Payload<P>> {
    match error {
        ReadError::TooLarge => Payload::empty(StatusCode::PAYLOAD_TOO_LARGE),
        ReadError::Incomplete => Payload::empty(StatusCode::BAD_REQUEST),
        ReadError::Late => body_late(shared, parts, id),
    }
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
    let configuration = shared.configuration();
    let route = configuration.as_ref().and_then(|configuration| {
        configuration.find_route(host(parts), parts.uri.path()).map(|route| route.name.clone())
    });
    let refusal = Refusal::new(RefusalReason::BodyLate);
    let route = route.unwrap_or_default();
    let mut response = answer::refused(shared, id, &route, &refusal, SHORT_RETRY_AFTER, 0);
    *response.status_mut() = StatusCode::REQUEST_TIMEOUT;
    call::set_header(response.headers_mut(), header::CONNECTION, "close");
    response
}
