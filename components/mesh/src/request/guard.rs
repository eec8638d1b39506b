//! Guard side of a call: waits for a slot, runs the call at the upstream, and checks that the response belongs to it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bounds::RequestBody;
use http::header;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, response};
use hyper::body::Incoming;
use quarantine::Fingerprint;

use super::body::{BodyError, Payload, Resources};
use super::call::{self, Call, RequestHead};
use super::outcome::{Fault, Outcome, Refusal, RefusalReason};
use crate::connection::pool::{PooledConnection, SendError};
use crate::connection::socket;
use crate::decide::parents;
use crate::decide::queue::SlotRequest;
use crate::decide::slow_start::Failure;
use crate::platform::{Heartbeat, Platform};
use crate::process::events::Event;
use crate::process::limiter::Acquire;
use crate::process::shared::{Shared, lock};
use crate::process::{announced, slow_start, suspects};

/// Additional wait after the deadline for the upstream's own timeout response.
const RESPONSE_GRACE: Duration = Duration::from_millis(40);
/// Least time in which an upstream can respond.
const MIN_RUN_TIME: Duration = Duration::from_millis(10);
/// Distance of a shortened run time from the limits of the upstream's calls, so that both are told apart.
const LIMIT_MARGIN: Duration = Duration::from_millis(5);
/// Shortest run time that is set for this purpose: a run with several calls takes several hundred milliseconds.
const MIN_LIMITED_RUN: Duration = Duration::from_millis(500);
/// Longest idle time of a reused connection to the upstream, which doesn't announce its own limit.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// The same for requests that can't be sent again if the connection turns out to be closed.
const MAX_IDLE_UNSAFE: Duration = Duration::from_millis(1_500);
/// Part of the idle time announced by the upstream in which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.8;
/// Connect timeout of the check whether the upstream crashed; the address then refuses within it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// A slot of the upstream; released when dropped.
pub struct HeldSlot<P: Platform> {
    shared: Arc<Shared<P>>,
    route: Arc<str>,
    started: Instant,
    key: parents::Key,
    /// Whether the upstream ran the call normally, so that the time held is representative.
    pub complete: bool,
    /// Whether the call was sent to the upstream.
    sent: bool,
    /// Whether the response so far is that of a run without an error.
    succeeded: bool,
    fingerprint: Fingerprint,
    /// Id of the request.
    id: HeaderValue,
}

impl<P: Platform> HeldSlot<P> {
    fn new(
        shared: &Arc<Shared<P>>,
        call: &Call,
        head: &RequestHead,
        fingerprint: Fingerprint,
        key: parents::Key,
        started: Instant,
    ) -> Self {
        Self {
            shared: shared.clone(),
            route: call.root.route.clone(),
            started,
            key,
            complete: false,
            sent: false,
            succeeded: false,
            fingerprint,
            id: head.id.clone(),
        }
    }

    /// Records that the whole response has arrived: an upstream that has run the call to its end outlived it.
    pub fn response_ended(&self) {
        if self.succeeded {
            suspects::record_answer(&self.shared, self.fingerprint);
        }
    }

    /// Logs that the response was still being sent at its deadline.
    pub fn log_expired(&self) {
        let shared = &self.shared;
        let upstream = lock(&shared.upstream).last_heartbeat().map(|known| known.id.clone());
        shared.log(&Event::UpstreamFailed {
            id: self.id.to_str().unwrap_or_default(),
            upstream: &upstream.unwrap_or_default(),
            reason: &BodyError::Expired.to_string(),
            after_ms: shared.now().saturating_duration_since(self.started).as_millis() as u64,
        });
        shared.metrics.guard_errors.with_label_values(&["late"]).inc();
    }
}

impl<P: Platform> Drop for HeldSlot<P> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let held = now.saturating_duration_since(self.started);
        lock(&self.shared.parents).remove(self.key);
        if !self.sent {
            return self.shared.limiter.release_unused(now);
        }
        lock(&self.shared.traffic).record_use(&self.route, held, now);
        if self.complete {
            self.shared.metrics.slot_held.observe(held.as_secs_f64());
        }
        self.shared.limiter.release(held, self.complete, now);
        slow_start::log_transition(&self.shared);
    }
}

/// Runs a call at the upstream beside this node, if a slot is available in time.
pub async fn serve<P: Platform>(
    shared: &Arc<Shared<P>>,
    call: &Call,
    head: &RequestHead,
    body: &RequestBody,
) -> Outcome<P> {
    if !shared.shutdown.allows(call.deadline, shared.now()) {
        return Outcome::Refused(Refusal::new(RefusalReason::Stopping));
    }
    let fingerprint = fingerprint(call, head, body);
    if lock(&shared.suspects).is_refused(fingerprint, shared.now()) {
        return Outcome::Failed(Fault::Quarantined);
    }
    if let Err(refusal) = accepting_upstream(shared, call) {
        return Outcome::Refused(refusal);
    }
    if let Err(refusal) = acquire_slot(shared, call, head).await {
        return Outcome::Refused(refusal);
    }
    let now = shared.now();
    let time_left = run_time(shared, call, now);
    let (key, left) = {
        let mut parents = lock(&shared.parents);
        parents.add(time_left, now, call.root.clone(), call.internal)
    };
    let mut slot = HeldSlot::new(shared, call, head, fingerprint, key, now);
    // The upstream may have started to leave while the call waited.
    let upstream = match accepting_upstream(shared, call) {
        Ok(upstream) if left >= MIN_RUN_TIME => upstream,
        Ok(_) => return Outcome::Refused(Refusal::new(RefusalReason::Deadline)),
        Err(refusal) => return Outcome::Refused(refusal),
    };
    // What was quarantined while the call waited is refused now, and of several that are due only one is tried.
    if !suspects::try_admit(shared, fingerprint) {
        return Outcome::Failed(Fault::Quarantined);
    }
    let request = build_request(shared, call, head, body, &upstream, left);
    shared.metrics.upstream.requests.inc();
    slot.sent = true;
    let max_idle = if call.idempotent { MAX_IDLE } else { MAX_IDLE_UNSAFE };
    let answer = shared.upstream_pool.send(shared.settings.upstream, request, max_idle, now);
    let deadline = now + left + RESPONSE_GRACE;
    let run = async {
        let answer = answer.await.map_err(RunError::from)?;
        read_response(shared, head, &upstream, answer, slot, deadline).await
    };
    let run = tokio::time::timeout_at(deadline.into(), run);
    let result = match shared.shutdown.until_answering(run).await {
        Some(result) => result.unwrap_or(Err(RunError::Timeout)),
        None => Err(RunError::Stopped),
    };
    match result {
        Ok(outcome) => outcome,
        Err(error) => handle_error(shared, head, &upstream, fingerprint, &error, now).await,
    }
}

/// Time that the upstream gets for a call. Where retries are short and this tree is among those that get them, the time is
/// below the limits of the upstream's own calls: these then expire with the call, which tells whose calls they are.
fn run_time<P: Platform>(shared: &Shared<P>, call: &Call, now: Instant) -> Duration {
    let remaining = call.remaining(now);
    if !call.internal {
        return remaining;
    }
    let rank = call.root.rank();
    let budgets = lock(&shared.budgets);
    let limits = lock(&shared.call_limits);
    let preferring = limits.iter().filter(|(service, _)| budgets.prefers(service, rank));
    let limit = preferring.map(|(_, limit)| limit.saturating_sub(LIMIT_MARGIN)).min();
    limit.filter(|limit| *limit >= MIN_LIMITED_RUN).map_or(remaining, |limit| remaining.min(limit))
}

/// Why a run ended without a usable response.
enum RunError {
    NotSent(String),
    ConnectionLost(String),
    Mismatch,
    Timeout,
    Stopped,
}

impl From<SendError> for RunError {
    fn from(err: SendError) -> Self {
        match err {
            SendError::NotSent(reason) => Self::NotSent(reason),
            SendError::ConnectionLost(reason) => Self::ConnectionLost(reason),
            SendError::Exhausted => Self::NotSent(err.to_string()),
        }
    }
}

/// The upstream, if it may be sent a call of this service now.
fn accepting_upstream<P: Platform>(shared: &Shared<P>, call: &Call) -> Result<Heartbeat, Refusal> {
    let upstream = lock(&shared.upstream);
    let heartbeat =
        upstream.last_heartbeat().filter(|heartbeat| *heartbeat.service == *call.service);
    if heartbeat.is_none() {
        return Err(Refusal::new(RefusalReason::NoUpstream));
    }
    upstream.accepting(shared.moment()).cloned().ok_or_else(|| Refusal::new(RefusalReason::Leaving))
}

async fn acquire_slot<P: Platform>(
    shared: &Arc<Shared<P>>,
    call: &Call,
    head: &RequestHead,
) -> Result<(), Refusal> {
    let now = shared.now();
    let Call { root, deadline, max_wait, .. } = call;
    let request = SlotRequest {
        priority: root.priority,
        target_time: root.target_time,
        deadline: *deadline,
        max_wait: *max_wait,
    };
    let (reason, wait) = match shared.limiter.acquire(request, now) {
        Acquire::Run => return Ok(()),
        Acquire::Full(wait) => (RefusalReason::Full, wait),
        Acquire::RateLimited(wait) => (RefusalReason::RateLimited, wait),
        Acquire::Wait(waiter) => {
            let wait = waiter.wait(*deadline, shared.platform.clock());
            let granted = shared.shutdown.until_answering(wait).await;
            let waited = shared.now().saturating_duration_since(now);
            shared.metrics.slot_wait.observe(waited.as_secs_f64());
            match granted {
                Some(true) => return Ok(()),
                Some(false) => (RefusalReason::Deadline, waited),
                None => (RefusalReason::Stopping, Duration::ZERO),
            }
        }
    };
    shared.metrics.guard_errors.with_label_values(&[reason.as_str()]).inc();
    let load = shared.limiter.load(shared.now());
    shared.log(&Event::Rejected {
        id: head.id.to_str().unwrap_or_default(),
        reason: reason.as_str(),
        running: load.running,
        waiting: load.waiting,
        limit: load.open_slots(),
        rate: load.rate.map(|rate| rate.0),
        wait_ms: wait.as_millis() as u64,
    });
    Err(Refusal { reason, wait })
}

fn build_request<P: Platform>(
    shared: &Shared<P>,
    call: &Call,
    head: &RequestHead,
    body: &RequestBody,
    upstream: &Heartbeat,
    left: Duration,
) -> Request<RequestBody> {
    let names = shared.platform.headers();
    let mut request = Request::new(body.clone());
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = http::Uri::from(head.path.clone());
    let mut headers = head.headers.clone();
    call::set_header(&mut headers, names.deadline.clone(), left.as_millis());
    call::set_header(&mut headers, names.incarnation.clone(), &upstream.id);
    call::set_header(&mut headers, names.caller.clone(), &call.caller);
    *request.headers_mut() = headers;
    request
}

/// Reads the response and checks that it belongs to the request.
async fn read_response<P: Platform>(
    shared: &Arc<Shared<P>>,
    head: &RequestHead,
    upstream: &Heartbeat,
    (response, connection): (Response<Incoming>, PooledConnection),
    mut slot: HeldSlot<P>,
    deadline: Instant,
) -> Result<Outcome<P>, RunError> {
    let names = shared.platform.headers();
    let (mut parts, incoming) = response.into_parts();
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    let not_run = misdirected || parts.headers.contains_key(&names.not_run);
    let belongs = match parts.headers.get(&names.id) {
        Some(id) => *id == head.id,
        // On a connection that was used before, it may be an earlier refusal once more.
        None => not_run && !connection.is_reused(),
    };
    let contradictory = not_run && parts.status.is_success();
    let unusable = !call::is_final(parts.status) || contradictory;
    if !belongs || unusable || parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Err(RunError::Mismatch);
    }
    announced::record_answer(shared, upstream, &parts, slot.started, not_run);
    slot.succeeded = !not_run && !parts.status.is_server_error();
    slot.complete = slot.succeeded;
    // A refusal that is written again later would be taken for an answer to the same request, sent once more.
    let reusable = !not_run && !closes_connection(&parts);
    let resources = Resources { slot: Some(slot), in_flight: None, connection: Some(connection) };
    let (body, resources) = Payload::read(shared, incoming, resources, deadline)
        .await
        .map_err(|err| RunError::ConnectionLost(err.to_string()))?;
    if let Some(Resources { slot, connection, .. }) = resources {
        if let Some(slot) = slot {
            slot.response_ended();
        }
        if let Some(connection) = connection.filter(|_| reusable) {
            connection.release_for(keep_alive(&parts.headers), shared.now());
        }
    }
    call::strip_headers(&mut parts.headers);
    // Also if the upstream lists it in `Connection`.
    parts.headers.insert(&names.id, head.id.clone());
    Ok(Outcome::Answer { head: Box::new(parts), body, not_run })
}

/// Time for which a connection may be reused; a part of the idle time that the upstream announces is kept back, as it
/// may close the connection while a request is on its way.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let parameters = value.into_iter().flat_map(|value| value.split(','));
    let timeout = parameters.filter_map(|parameter| parameter.trim().strip_prefix("timeout="));
    let seconds = timeout.filter_map(|seconds| seconds.trim().parse::<u32>().ok()).min();
    seconds.map_or(Duration::MAX, |seconds| {
        Duration::from_secs(seconds.into()).mul_f64(KEEP_ALIVE_FRACTION)
    })
}

fn closes_connection(parts: &response::Parts) -> bool {
    let value = parts.headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

async fn handle_error<P: Platform>(
    shared: &Arc<Shared<P>>,
    head: &RequestHead,
    upstream: &Heartbeat,
    fingerprint: Fingerprint,
    error: &RunError,
    started: Instant,
) -> Outcome<P> {
    let (reason, detail) = match error {
        RunError::NotSent(detail) => ("unsent", detail.as_str()),
        RunError::ConnectionLost(detail) => ("lost", detail.as_str()),
        RunError::Mismatch => ("foreign", "the response belongs to another request, or is invalid"),
        RunError::Timeout => ("late", "no answer in time"),
        RunError::Stopped => ("stopped", "no answer before the node had to exit"),
    };
    shared.log(&Event::UpstreamFailed {
        id: head.id.to_str().unwrap_or_default(),
        upstream: &upstream.id,
        reason: detail,
        after_ms: shared.now().saturating_duration_since(started).as_millis() as u64,
    });
    shared.metrics.guard_errors.with_label_values(&[reason]).inc();
    let failed = |failure| slow_start::record_failure(shared, upstream, failure, started);
    match error {
        RunError::NotSent(_) => {
            failed(Failure::Lost);
            shared.upstream_pool.close_idle(shared.settings.upstream);
            Outcome::Refused(Refusal::new(RefusalReason::Unreachable))
        }
        RunError::ConnectionLost(_) => {
            let crashed =
                socket::connect(None, shared.settings.upstream, PROBE_TIMEOUT).await.is_err();
            // An upstream that still accepts connections has nothing to recover from, whatever became of this one.
            if crashed {
                failed(Failure::Lost);
                suspects::record_crash(shared, fingerprint, upstream.started_ms);
            }
            Outcome::Failed(if crashed { Fault::Crashed } else { Fault::ConnectionLost })
        }
        RunError::Mismatch => Outcome::Failed(Fault::Mismatch),
        RunError::Timeout => {
            failed(Failure::Failed);
            Outcome::Failed(Fault::Timeout)
        }
        RunError::Stopped => Outcome::Failed(Fault::Stopped),
    }
}

/// Requests with the same caller, path and body are taken for repeats of one request.
fn fingerprint(call: &Call, head: &RequestHead, body: &RequestBody) -> Fingerprint {
    Fingerprint::of_blocks(&call.caller, head.path.as_str(), body.len(), body.blocks())
}
