//! Entry side of a call that is sent to another node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bounds::choice::{FORWARD_BYTES, SEND_QUEUE_BYTES};
use bounds::connections::Bound;
use bounds::ledger::{SMALL_BYTES, Use};
use bounds::{Holding, RequestBody};
use http::{HeaderMap, HeaderValue, Request, response};
use hyper::body::Incoming;

use super::body::{Payload, Resources};
use super::call::{self, Call, RequestHead};
use super::outcome::{Fault, Header, Outcome, Refusal, RefusalReason};
use crate::connection::pool::{PooledConnection, SendError};
use crate::decide::notice::{Notice, ReceivedNotice};
use crate::decide::queue::Load;
use crate::decide::service_time::ServiceTime;
use crate::platform::Platform;
use crate::process::events::Event;
use crate::process::shared::{Shared, Target};

/// Additional wait after the deadline for the guard's own timeout response: a round trip between regions.
const RESPONSE_GRACE: Duration = Duration::from_millis(80);
/// Longest wait for memory before a request is refused: connections that stall are closed for it within that time.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest idle time of a reused connection to another node.
pub const PEER_MAX_IDLE: Duration = Duration::from_secs(20);

/// A request in flight to a node; counted until dropped.
pub struct InFlight<P: Platform> {
    shared: Arc<Shared<P>>,
    node: Arc<str>,
}

impl<P: Platform> InFlight<P> {
    /// Starts counting a request.
    pub fn new(shared: Arc<Shared<P>>, node: Arc<str>) -> Self {
        let now = shared.now();
        shared.with_peer(&node, |peer| peer.record_sent(now));
        Self { shared, node }
    }
}

impl<P: Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        self.shared.with_peer(&self.node, |peer| peer.record_ended());
    }
}

/// Sends a call to another node.
pub async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Target,
    call: &Call,
    head: &RequestHead,
    body: &RequestBody,
) -> Outcome<P> {
    let Some(_memory) = hold_request(shared, body, call.deadline).await else {
        shared.record_bound(Bound::Memory);
        return Outcome::Refused(Refusal::new(RefusalReason::BodyBudget));
    };
    let answer = exchange(shared, target, call, head, body);
    shared.shutdown.until_answering(answer).await.unwrap_or(Outcome::Failed(Fault::Stopped))
}

async fn exchange<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Target,
    call: &Call,
    head: &RequestHead,
    body: &RequestBody,
) -> Outcome<P> {
    let started = shared.now();
    let node = &target.record.node;
    let in_flight = InFlight::new(shared.clone(), node.clone());
    let deadline = call.deadline.max(started) + RESPONSE_GRACE;
    let notice = shared.with_peer(node, |peer| peer.notice.map(|notice| notice.aged(started)));
    let Some(request) = build_request(call.header(started), notice, head, body) else {
        // Without the header, the other node would take it for a message of a node.
        return Outcome::Refused(Refusal::new(RefusalReason::Unreachable));
    };
    let pool = &shared.peer_pool;
    let answer = pool.send(target.record.address, request, PEER_MAX_IDLE, started);
    let (response, connection) = match tokio::time::timeout_at(deadline.into(), answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(err)) => return connection_failed(shared, node, &err),
        Err(_) => return Outcome::Failed(Fault::Timeout),
    };
    let (answer, incoming) = response.into_parts();
    let belongs = match answer.headers.get(&shared.platform.headers().id) {
        Some(id) => *id == head.id,
        // A node of an earlier version names no id where it has no answer of its upstream.
        None => !connection.is_reused(),
    };
    let outcome = match outcome(&answer, belongs) {
        Ok(outcome) => outcome,
        Err(reason) => return mismatch(shared, node, reason),
    };
    record_answer(shared, node, &answer.headers, outcome, started);
    match outcome {
        Header::Answer(not_run) => {
            let resources =
                Resources { slot: None, in_flight: Some(in_flight), connection: Some(connection) };
            let read = read_response(shared, node, answer, incoming, resources, deadline);
            let read = tokio::time::timeout_at(deadline.into(), read);
            match read.await {
                Ok(Some((head, body))) => Outcome::Answer { head, body, not_run },
                Ok(None) => Outcome::Failed(Fault::ConnectionLost),
                Err(_) => Outcome::Failed(Fault::Timeout),
            }
        }
        Header::Refused(refusal) => {
            drain(shared, incoming, connection, deadline).await;
            Outcome::Refused(refusal)
        }
        Header::Failed(fault) => {
            drain(shared, incoming, connection, deadline).await;
            Outcome::Failed(fault)
        }
    }
}

/// The outcome that an answer bears, or why it can't be of this call.
fn outcome(answer: &response::Parts, belongs: bool) -> Result<Header, &'static str> {
    if !belongs {
        return Err("the answer is of another call");
    }
    let outcome = call::parse_header(&answer.headers, &call::OUTCOME);
    let outcome = outcome.ok_or("the answer has no outcome")?;
    // A node of an earlier version passes on what an upstream may not send.
    if matches!(outcome, Header::Answer(_)) && !call::is_final(answer.status) {
        return Err("the answer has no status of a response");
    }
    Ok(outcome)
}

/// The outcome of an answer that can't be of this call.
fn mismatch<P: Platform>(shared: &Shared<P>, node: &Arc<str>, reason: &str) -> Outcome<P> {
    shared.log(&Event::PeerLost { peer: node, reason });
    Outcome::Failed(Fault::Mismatch)
}

/// Records what an answer to a request that was sent at `started` tells of the node and its upstream.
fn record_answer<P: Platform>(
    shared: &Shared<P>,
    node: &Arc<str>,
    headers: &HeaderMap,
    outcome: Header,
    started: Instant,
) {
    let now = shared.now();
    let report: Option<LoadReport> = call::parse_header(headers, &call::LOAD);
    let notice: Option<Notice> = call::parse_header(headers, &call::NOTICE);
    let notice = notice.map(|notice| ReceivedNotice::new(notice, now));
    shared.with_peer(node, |peer| {
        peer.record_answer(now);
        if let Some(LoadReport { load, guard_time }) = report {
            peer.record_report(load, now);
            peer.record_overhead(now.saturating_duration_since(started), guard_time, now);
        }
        // A node that was restarted knows nothing until its upstream has run a request.
        if notice.is_some() || outcome == Header::Answer(false) {
            peer.notice = notice;
        }
    });
}

/// Reads the response of an upstream; `None` if the connection is lost.
async fn read_response<P: Platform>(
    shared: &Arc<Shared<P>>,
    node: &Arc<str>,
    mut head: response::Parts,
    incoming: Incoming,
    resources: Resources<P>,
    deadline: Instant,
) -> Option<(Box<response::Parts>, Payload<P>)> {
    match Payload::read(shared, incoming, resources, deadline).await {
        Ok((body, resources)) => {
            if let Some(connection) = resources.and_then(|resources| resources.connection) {
                connection.release(shared.now());
            }
            call::strip_headers(&mut head.headers);
            Some((Box::new(head), body))
        }
        Err(err) => {
            shared.log(&Event::PeerLost { peer: node, reason: &err.to_string() });
            None
        }
    }
}

/// Reads the empty body of a refusal or failure, so that the connection can be reused.
async fn drain<P: Platform>(
    shared: &Arc<Shared<P>>,
    incoming: Incoming,
    connection: PooledConnection,
    deadline: Instant,
) {
    let resources = Resources::<P> { slot: None, in_flight: None, connection: Some(connection) };
    let read = Payload::read(shared, incoming, resources, deadline);
    // A body that stalls ends its connection.
    if let Ok(Ok((_, Some(Resources { connection: Some(connection), .. })))) =
        tokio::time::timeout_at(deadline.into(), read).await
    {
        connection.release(shared.now());
    }
}

/// Takes what a request to another node holds besides its body and its response.
async fn hold_request<P: Platform>(
    shared: &Shared<P>,
    body: &RequestBody,
    deadline: Instant,
) -> Option<Holding> {
    let memory = shared.bodies.holding(Use::Connection);
    let queue = if body.len() as u64 > SMALL_BYTES { SEND_QUEUE_BYTES } else { 0 };
    let until = deadline.min(shared.now() + MEMORY_TIMEOUT);
    let clock = shared.platform.clock();
    shared.clients.hold(&memory, FORWARD_BYTES + queue, until, clock).await.then_some(memory)
}

fn connection_failed<P: Platform>(
    shared: &Arc<Shared<P>>,
    node: &Arc<str>,
    err: &SendError,
) -> Outcome<P> {
    if matches!(err, SendError::Exhausted) {
        shared.record_bound(Bound::Outgoing);
        // Says nothing of the node.
        return Outcome::Refused(Refusal::new(RefusalReason::Connections));
    }
    let now = shared.now();
    shared.with_peer(node, |peer| peer.record_failure(now));
    shared.log(&Event::PeerLost { peer: node, reason: &err.to_string() });
    match err {
        SendError::NotSent(_) | SendError::Exhausted => {
            Outcome::Refused(Refusal::new(RefusalReason::Unreachable))
        }
        SendError::ConnectionLost(_) => Outcome::Failed(Fault::ConnectionLost),
    }
}

fn build_request(
    header: call::Header,
    notice: Option<Notice>,
    head: &RequestHead,
    body: &RequestBody,
) -> Option<Request<RequestBody>> {
    let mut request = Request::new(body.clone());
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = http::Uri::from(head.path.clone());
    *request.headers_mut() = head.headers.clone();
    let header = HeaderValue::try_from(header.to_string()).ok()?;
    request.headers_mut().insert(call::CALL, header);
    if let Some(notice) = notice {
        call::set_header(request.headers_mut(), call::NOTICE, notice);
    }
    Some(request)
}

/// Load of a node's upstream, as a header.
pub struct LoadReport {
    /// Load of the upstream.
    pub load: Load,
    /// Time between the request's arrival at the node and its answer.
    pub guard_time: Duration,
}

impl std::fmt::Display for LoadReport {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Load { running, waiting, held_us: held, rate, tokens, service_time, .. } = self.load;
        // Entries need only the slots that are open, and nodes of earlier versions know no others.
        let limit = self.load.open_slots();
        write!(out, "{running}/{waiting}/{limit}/{held}/{}", self.guard_time.as_micros())?;
        match (rate, service_time) {
            (Some(rate), _) => write!(out, "/{rate}/{tokens:.2}")?,
            // Empty figures, which nodes of earlier versions take for no rate limit.
            (None, Some(_)) => write!(out, "//")?,
            (None, None) => {}
        }
        service_time.map_or(Ok(()), |ServiceTime { run_us, percent, age_ms }| {
            write!(out, "/{run_us}/{percent}/{age_ms}")
        })
    }
}

impl std::str::FromStr for LoadReport {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/');
        let mut number = || parts.next().unwrap_or_default().parse::<u32>();
        let (running, waiting, limit, held_us) = (number()?, number()?, number()?, number()?);
        let guard_time = Duration::from_micros(number()?.into());
        // Only sent while there is a rate limit.
        let rate = parts.next().and_then(|rate| rate.parse().ok());
        let tokens = parts.next().and_then(|tokens| tokens.parse().ok()).unwrap_or_default();
        let mut number = || parts.next().and_then(|part| part.parse::<u32>().ok());
        let service_time = match (number(), number(), number()) {
            (Some(run), Some(percent), Some(age)) => ServiceTime::checked(run, percent, age),
            _ => None,
        };
        let window = None;
        let load = Load { running, waiting, limit, held_us, rate, tokens, window, service_time };
        Ok(Self { load, guard_time })
    }
}
