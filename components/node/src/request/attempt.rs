//! One attempt at a call: at the local upstream or at another node.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, StatusCode, response};
use limits::Priority;
use reservation::Holder;
use retries::RetryAllowance;
use routing::LoadReport;
use units::Clock;
use verdict::{Reason, Refusal, Verdict};

use super::body::Payload;
use super::context::Context;
use super::headers;
use super::local;
use super::resources::{InFlightGuard, Resources};
use crate::connection::peers::SendError;
use crate::process::routes::Target;
use crate::process::shared::Shared;

/// Wait beyond the deadline, so that the other node's verdict on a missed deadline still arrives.
const DEADLINE_GRACE: Duration = Duration::from_millis(30);

/// Method, path and headers of a call, without hop-by-hop headers.
#[derive(Debug, Clone)]
pub struct Head {
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub path: http::uri::PathAndQuery,
    /// Headers.
    pub headers: HeaderMap,
}

/// What an answer reports about the call and its nested calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct Feedback {
    /// Highest admission level of the call and its nested calls.
    pub level: Priority,
    /// Unspent retries.
    pub returned: RetryAllowance,
    /// Callers further up must not retry.
    pub exhausted: bool,
}

/// An upstream's answer.
pub struct Answer<C: Clock> {
    /// Status and headers.
    pub head: response::Parts,
    /// Body, with the resources that are released at its end.
    pub body: Payload<C>,
    /// Feedback on the call and its nested calls.
    pub feedback: Feedback,
}

impl<C: Clock> Answer<C> {
    /// Whether a node or gateway further down failed, rather than the request.
    pub fn is_failure(&self) -> bool {
        matches!(
            self.head.status,
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
        )
    }

    /// Whether the upstream declared that it did not run the request.
    pub fn is_not_run(&self) -> bool {
        headers::parse(&self.head.headers, &headers::VERDICT) == Some(Verdict::NotRun)
    }
}

/// An attempt without an answer.
#[derive(Debug)]
pub struct AttemptError {
    /// Reason, and whether the request may have run.
    pub refusal: Refusal,
    /// Feedback, as far as known.
    pub feedback: Feedback,
    /// The upstream crashed while it ran the request.
    pub crashed: bool,
    /// The only node that may run the idempotency key.
    pub holder: Option<Holder>,
    /// The holder of the key confirms that it never ran.
    pub never_ran: bool,
}

impl AttemptError {
    /// An error without feedback.
    pub fn new(refusal: Refusal) -> Self {
        Self {
            refusal,
            feedback: Feedback::default(),
            crashed: false,
            holder: None,
            never_ran: false,
        }
    }
}

/// Result of an attempt.
pub type AttemptResult<C> = Result<Answer<C>, AttemptError>;

/// Sends a call to a target.
pub async fn send<C: Clock>(
    shared: &Arc<Shared<C>>,
    target: &Arc<Target>,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> AttemptResult<C> {
    shared.metrics.count_attempt();
    if target.local {
        return local::serve(shared, context, head, body).await;
    }
    let started = shared.clock.now();
    let in_flight = InFlightGuard::new(shared.clone(), target.clone());
    let timeout = context.left(started) + DEADLINE_GRACE;
    let Some(request) = build_request(shared, &context, head, body) else {
        return Err(AttemptError::new(Refusal::not_run(Reason::Malformed, &shared.settings.node)));
    };
    let answer = tokio::time::timeout(timeout, shared.peers.send(target.address, request)).await;
    let now = shared.clock.now();
    let may_have_run =
        |reason: Reason| Refusal::new(Verdict::MayHaveRun, reason, &shared.settings.node);
    let response = match answer {
        Ok(Ok(response)) => response,
        Ok(Err(SendError::NotSent(_))) => {
            target.peer().record_failure(now);
            return Err(AttemptError::new(Refusal::not_run(
                Reason::Unreachable,
                &shared.settings.node,
            )));
        }
        Ok(Err(SendError::ConnectionLost(_))) => {
            target.peer().record_failure(now);
            return Err(AttemptError::new(may_have_run(Reason::ConnectionLost)));
        }
        Err(_) => return Err(AttemptError::new(may_have_run(Reason::Deadline))),
    };
    let (mut parts, incoming) = response.into_parts();
    let feedback = parse_feedback(&parts.headers);
    let report = headers::parse(&parts.headers, &headers::REPORT)
        .map(|ReportHeader(report)| report)
        .unwrap_or_default();
    if let Some(refusal) = parse_refusal(&parts.headers) {
        record_refusal(target, &refusal, report, now);
        return Err(attempt_error(refusal, feedback, &parts.headers));
    }
    // A node of an earlier version passes on what an upstream may not send.
    if !headers::is_final(parts.status) {
        return Err(AttemptError {
            feedback,
            ..AttemptError::new(may_have_run(Reason::ConnectionLost))
        });
    }
    target.peer().record_answer(report, now.saturating_duration_since(started), now);
    headers::strip_node_only(&mut parts.headers);
    let resources = Resources { in_flight: Some(in_flight), ..Resources::default() };
    Ok(Answer { head: parts, body: Payload::stream(incoming, resources), feedback })
}

/// Records the load of a node that refused.
fn record_refusal(target: &Target, refusal: &Refusal, report: LoadReport, now: std::time::Instant) {
    let mut peer = target.peer();
    peer.record_report(report, now);
    if matches!(refusal.reason, Reason::Overloaded | Reason::Draining) {
        peer.record_refusal(now);
    }
}

fn attempt_error(refusal: Refusal, feedback: Feedback, map: &HeaderMap) -> AttemptError {
    AttemptError {
        refusal,
        feedback,
        crashed: map.contains_key(&headers::CRASHED),
        holder: headers::parse(map, &headers::HOLDER).map(|HolderHeader(holder)| holder),
        never_ran: map.contains_key(&headers::NEVER_RAN),
    }
}

fn build_request<C: Clock>(
    shared: &Shared<C>,
    context: &Context,
    head: &Head,
    body: Payload<C>,
) -> Option<Request<Payload<C>>> {
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(http::uri::Scheme::HTTP);
    // The authority is the service's name: the peer's address means nothing to its upstream.
    parts.authority = Some(context.service.as_str().parse().ok()?);
    parts.path_and_query = Some(head.path.clone());
    let uri = http::Uri::from_parts(parts).ok()?;
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = head.headers.clone();
    headers::set(request.headers_mut(), headers::CONTEXT, context.header(shared.clock.now()));
    Some(request)
}

fn parse_feedback(map: &HeaderMap) -> Feedback {
    Feedback {
        level: Priority(headers::parse(map, &headers::LEVEL).unwrap_or_default()),
        returned: headers::parse(map, &headers::RETURNED).unwrap_or_default(),
        exhausted: map.contains_key(&headers::EXHAUSTED),
    }
}

/// Reads the refusal from an answer's headers, if it is one.
fn parse_refusal(map: &HeaderMap) -> Option<Refusal> {
    let reason = headers::parse(map, &headers::REASON)?;
    let verdict = headers::parse(map, &headers::VERDICT)?;
    let by = headers::parse(map, &headers::REFUSED_BY)?;
    let mut refusal = Refusal::new(verdict, reason, &by);
    refusal.retry_after = headers::parse(map, &http::header::RETRY_AFTER).map(Duration::from_secs);
    refusal.no_retry = map.contains_key(&headers::EXHAUSTED);
    Some(refusal)
}

/// Text form of a key's holder in a header.
pub struct HolderHeader(pub Holder);

impl std::fmt::Display for HolderHeader {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}/{}", self.0.node, self.0.incarnation)
    }
}

impl std::str::FromStr for HolderHeader {
    type Err = units::ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed =
            || units::ParseError::Expected(text.to_owned(), "a node and its incarnation");
        let (node, incarnation) = text.split_once('/').ok_or_else(malformed)?;
        Ok(Self(Holder { node: node.parse()?, incarnation: incarnation.parse()? }))
    }
}

/// Text form of a load report in a header.
pub struct ReportHeader(pub LoadReport);

impl std::fmt::Display for ReportHeader {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}/{}/{}", self.0.running, self.0.waiting, self.0.limit)
    }
}

impl std::str::FromStr for ReportHeader {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/');
        let mut number = || parts.next().unwrap_or_default().parse();
        Ok(Self(LoadReport { running: number()?, waiting: number()?, limit: number()? }))
    }
}
