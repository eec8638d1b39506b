//! One try of a call: at the upstream beside this node, or at another node.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, StatusCode, response};
use limits::Priority;
use reservation::Holder;
use retries::Allowance;
use routing::Report;
use units::Clock;
use verdict::{Reason, Refusal, Verdict};

use super::body::Payload;
use super::context::Context;
use super::guard;
use super::headers;
use super::hold::{Hold, Sent};
use crate::connection::peers::SendError;
use crate::process::members::Target;
use crate::process::shared::Shared;

/// Time over the deadline in which the guard's own verdict on it may still come.
const GRACE: Duration = Duration::from_millis(30);

/// Method, path and headers of a call, without those of one hop.
#[derive(Debug, Clone)]
pub struct Head {
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub path: http::uri::PathAndQuery,
    /// Headers.
    pub headers: HeaderMap,
}

/// What an answer says of the tree below.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trailer {
    /// Highest admission level on the way.
    pub level: Priority,
    /// Retries that were not spent.
    pub returned: Allowance,
    /// Nobody above should retry.
    pub exhausted: bool,
}

/// An upstream's answer.
pub struct Answer<C: Clock> {
    /// Status and headers.
    pub head: response::Parts,
    /// Body, with what is held until it ends.
    pub body: Payload<C>,
    /// What it says of the tree below.
    pub trailer: Trailer,
}

impl<C: Clock> Answer<C> {
    /// Whether a node or gateway below failed, rather than the request.
    pub fn is_failure(&self) -> bool {
        matches!(
            self.head.status,
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
        )
    }

    /// Whether the upstream said that it did not run the request.
    pub fn is_unrun(&self) -> bool {
        headers::parse(&self.head.headers, &headers::VERDICT) == Some(Verdict::NotRun)
    }
}

/// A try that gave no answer.
#[derive(Debug)]
pub struct Failed {
    /// Why, and whether it may have run.
    pub refusal: Refusal,
    /// What is known of the tree below.
    pub trailer: Trailer,
    /// The connection to the upstream was lost while it ran.
    pub lethal: bool,
    /// The node that alone may run the key.
    pub holder: Option<Holder>,
    /// The holder of the key says that it never ran.
    pub settled: bool,
}

impl Failed {
    /// A failure that says nothing of the tree below.
    pub fn new(refusal: Refusal) -> Self {
        Self { refusal, trailer: Trailer::default(), lethal: false, holder: None, settled: false }
    }
}

/// Result of a try.
pub type Tried<C> = Result<Answer<C>, Failed>;

/// Sends a call to a target.
pub async fn send<C: Clock>(
    shared: &Arc<Shared<C>>,
    target: &Arc<Target>,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> Tried<C> {
    shared.metrics.attempt();
    if target.local {
        return guard::serve(shared, context, head, body).await;
    }
    let started = shared.clock.now();
    let sent = Sent::new(shared.clone(), target.clone());
    let patience = context.left(started) + GRACE;
    let Some(request) = request(shared, &context, head, body) else {
        return Err(Failed::new(Refusal::not_run(Reason::Malformed, &shared.settings.node)));
    };
    let answer = tokio::time::timeout(patience, shared.links.send(target.address, request)).await;
    let now = shared.clock.now();
    let lost = |reason: Reason| Refusal::new(Verdict::MayHaveRun, reason, &shared.settings.node);
    let response = match answer {
        Ok(Ok(response)) => response,
        Ok(Err(SendError::Unsent(_))) => {
            target.peer().failed(now);
            return Err(Failed::new(Refusal::not_run(Reason::Unreachable, &shared.settings.node)));
        }
        Ok(Err(SendError::Lost(_))) => {
            target.peer().failed(now);
            return Err(Failed::new(lost(Reason::ConnectionLost)));
        }
        Err(_) => return Err(Failed::new(lost(Reason::Deadline))),
    };
    let (mut parts, incoming) = response.into_parts();
    let trailer = read_trailer(&parts.headers);
    let report = headers::parse(&parts.headers, &headers::REPORT)
        .map(|Wire(report)| report)
        .unwrap_or_default();
    if let Some(refusal) = refusal(&parts.headers) {
        refused(target, &refusal, report, now);
        return Err(failed(refusal, trailer, &parts.headers));
    }
    target.peer().answered(report, now.saturating_duration_since(started), now);
    headers::strip_internal(&mut parts.headers);
    let hold = Hold { sent: Some(sent), ..Hold::default() };
    Ok(Answer { head: parts, body: Payload::answer(incoming, hold), trailer })
}

/// Notes what a refusal says of the node's load.
fn refused(target: &Target, refusal: &Refusal, report: Report, now: std::time::Instant) {
    let mut peer = target.peer();
    peer.reported(report, now);
    if matches!(refusal.reason, Reason::Overloaded | Reason::Draining) {
        peer.refused(now);
    }
}

fn failed(refusal: Refusal, trailer: Trailer, map: &HeaderMap) -> Failed {
    Failed {
        refusal,
        trailer,
        lethal: map.contains_key(&headers::LETHAL),
        holder: headers::parse(map, &headers::HOLDER).map(|WireHolder(holder)| holder),
        settled: map.contains_key(&headers::SETTLED),
    }
}

fn request<C: Clock>(
    shared: &Shared<C>,
    context: &Context,
    head: &Head,
    body: Payload<C>,
) -> Option<Request<Payload<C>>> {
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(http::uri::Scheme::HTTP);
    // The service takes the place of the authority, as the peer's address says nothing to its upstream.
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

fn read_trailer(map: &HeaderMap) -> Trailer {
    Trailer {
        level: Priority(headers::parse(map, &headers::LEVEL).unwrap_or_default()),
        returned: headers::parse(map, &headers::RETURNED).unwrap_or_default(),
        exhausted: map.contains_key(&headers::EXHAUSTED),
    }
}

/// The refusal that a node answered with, if it is one.
fn refusal(map: &HeaderMap) -> Option<Refusal> {
    let reason = headers::parse(map, &headers::REASON)?;
    let verdict = headers::parse(map, &headers::VERDICT)?;
    let by = headers::parse(map, &headers::REFUSED_BY)?;
    let mut refusal = Refusal::new(verdict, reason, &by);
    refusal.after = headers::parse(map, &http::header::RETRY_AFTER).map(Duration::from_secs);
    refusal.exhausted = map.contains_key(&headers::EXHAUSTED);
    Some(refusal)
}

/// A holder as a header.
pub struct WireHolder(pub Holder);

impl std::fmt::Display for WireHolder {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}/{}", self.0.node, self.0.incarnation)
    }
}

impl std::str::FromStr for WireHolder {
    type Err = units::ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || units::ParseError::Expected(text.to_owned(), "a node and its incarnation");
        let (node, incarnation) = text.split_once('/').ok_or_else(wrong)?;
        Ok(Self(Holder { node: node.parse()?, incarnation: incarnation.parse()? }))
    }
}

/// A load report as a header.
pub struct Wire(pub Report);

impl std::fmt::Display for Wire {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}/{}/{}", self.0.running, self.0.waiting, self.0.limit)
    }
}

impl std::str::FromStr for Wire {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/');
        let mut number = || parts.next().unwrap_or_default().parse();
        Ok(Self(Report { running: number()?, waiting: number()?, limit: number()? }))
    }
}
