//! Calls at the local upstream: admission, the run, and the feedback in the answer.

use std::sync::Arc;

use http::header::{self, HeaderValue};
use http::{HeaderMap, Request};
use limits::{AdmissionRequest, LearnedLevel, RefusalReason};
use quarantine::{Crash, SuspectUpdate};
use units::Clock;
use verdict::{Reason, Refusal, Verdict};

use super::attempt::{Answer, AttemptError, AttemptResult, Feedback, Head};
use super::body::Payload;
use super::context::Context;
use super::headers;
use super::idempotency;
use super::parent::{Parent, Token};
use super::prepare;
use super::resources::{Resources, SlotGuard};
use crate::connection::peers::SendError;
use crate::connection::upstream::UpstreamPool;
use crate::process::admission::Admission;
use crate::process::shared::Shared;
use crate::process::upstream::LocalUpstream;

/// Serves a call at the local upstream, at most once if it has a key.
pub async fn serve<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> AttemptResult<C> {
    match context.run_once {
        true => idempotency::serve(shared, context, head, body).await,
        false => run(shared, context, head, body).await,
    }
}

/// Runs a call at the local upstream, if it is admitted.
pub async fn run<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> AttemptResult<C> {
    let token = shared.next_token();
    let Some(upstream) =
        shared.local_upstream().filter(|upstream| upstream.service == context.service)
    else {
        return Err(not_run_error(shared, &context, Reason::NoUpstream));
    };
    if shared.is_quarantined(context.fingerprint) {
        let refusal = Refusal::new(Verdict::MayHaveRun, Reason::Quarantined, &shared.settings.node);
        return Err(AttemptError::new(refusal.no_retry()));
    }
    let rule_key = find_rule_key(shared, head);
    if should_shed(shared, &context, rule_key) {
        return Err(shed_error(shared, &context, rule_key));
    }
    admit(shared, &context, token).await?;
    let epoch = shared.epoch();
    shared.active_requests.insert(token, Parent::new(context.clone()));
    let slot = SlotGuard::new(shared.clone(), token);
    let Some(request) = upstream_request(shared, &context, token, &upstream, head, body) else {
        return Err(not_run_error(shared, &context, Reason::Malformed));
    };
    let left = context.left(shared.clock.now());
    let sent =
        tokio::time::timeout(left, shared.upstream_pool.send(upstream.address, request)).await;
    let (response, connection) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(SendError::NotSent(_))) => {
            shared.record_upstream_gone(epoch);
            return Err(not_run_error(shared, &context, Reason::Unreachable));
        }
        Ok(Err(SendError::ConnectionLost(_))) => {
            return Err(connection_lost(shared, &context, token, &upstream, epoch, head).await);
        }
        Err(_) => return Err(may_have_run_error(shared, token, Reason::Deadline)),
    };
    if !headers::is_final(response.status()) {
        return Err(may_have_run_error(shared, token, Reason::ConnectionLost));
    }
    if !response.status().is_server_error() {
        shared.clear_suspect(context.fingerprint);
    }
    learn_nested_level(shared, token, rule_key);
    Ok(build_answer(
        shared,
        token,
        response,
        Resources { slot: Some(slot), connection: Some(connection), ..Resources::default() },
    ))
}

async fn admit<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: &Context,
    token: Token,
) -> Result<(), AttemptError> {
    let now = shared.clock.now();
    let request = AdmissionRequest {
        key: token,
        priority: context.priority(),
        deadline: context.deadline,
        is_root: context.depth == 0,
    };
    let reason = match shared.admission.enter(request, now) {
        Admission::Run => return Ok(()),
        Admission::Refused(reason) => reason,
        Admission::Wait(waiter) => match waiter.answer().await {
            Ok(()) => return Ok(()),
            Err(reason) => reason,
        },
    };
    Err(not_run_error(shared, context, refusal_reason(reason)))
}

fn refusal_reason(reason: RefusalReason) -> Reason {
    match reason {
        RefusalReason::BelowLevel | RefusalReason::QueueFull | RefusalReason::QueueTimeout => {
            Reason::Overloaded
        }
        RefusalReason::Deadline => Reason::Deadline,
        RefusalReason::Draining => Reason::Draining,
    }
}

fn find_rule_key<C: Clock>(shared: &Shared<C>, head: &Head) -> u64 {
    let active = shared.active();
    let rule = active.as_ref().and_then(|active| active.rules.find(&head.method, head.path.path()));
    rule.map_or(0, |rule| prepare::rule_key(rule, &head.method))
}

/// Whether nested calls of the request would probably be refused.
fn should_shed<C: Clock>(shared: &Shared<C>, context: &Context, rule_key: u64) -> bool {
    let now = shared.clock.now();
    let admits = |learned: &mut LearnedLevel| learned.admits(context.priority(), now);
    context.depth == 0
        && shared.settings.mechanisms.levels
        && shared.nested_levels.with(rule_key, admits) == Some(false)
}

/// Early refusal, as nested calls of earlier requests of this rule were refused. A retry would not help: the
/// service's other upstreams make the same nested calls.
fn shed_error<C: Clock>(shared: &Shared<C>, context: &Context, rule_key: u64) -> AttemptError {
    let now = shared.clock.now();
    let mut failed = not_run_error(shared, context, Reason::ShedEarly);
    failed.refusal.no_retry = true;
    let level = shared.nested_levels.with(rule_key, |learned| learned.get(now)).unwrap_or_default();
    failed.feedback.level = failed.feedback.level.max(level);
    failed
}

/// Refusal before any byte was sent to the upstream.
fn not_run_error<C: Clock>(shared: &Shared<C>, context: &Context, reason: Reason) -> AttemptError {
    shared.metrics.count_refusal(reason, Verdict::NotRun);
    let mut refusal = Refusal::not_run(reason, &shared.settings.node);
    if matches!(reason, Reason::Overloaded | Reason::ShedEarly) {
        refusal = refusal.retry_after(shared.admission.retry_after());
    }
    let feedback =
        Feedback { level: shared.admission.level(), returned: context.retries, exhausted: false };
    AttemptError { feedback, ..AttemptError::new(refusal) }
}

/// Failure after the request was sent to the upstream.
fn may_have_run_error<C: Clock>(shared: &Shared<C>, token: Token, reason: Reason) -> AttemptError {
    shared.metrics.count_refusal(reason, Verdict::MayHaveRun);
    let refusal = Refusal::new(Verdict::MayHaveRun, reason, &shared.settings.node);
    AttemptError { feedback: take_feedback(shared, token), ..AttemptError::new(refusal) }
}

/// Handles a connection lost while the request ran. If the upstream crashed, the request is a suspect, and other nodes
/// are notified before the caller gets its answer and can send the request again.
async fn connection_lost<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: &Context,
    token: Token,
    upstream: &LocalUpstream,
    epoch: u64,
    head: &Head,
) -> AttemptError {
    let mut failed = may_have_run_error(shared, token, Reason::ConnectionLost);
    failed.crashed = UpstreamPool::<C>::has_crashed(upstream.address).await;
    if failed.crashed {
        shared.record_upstream_gone(epoch);
        let update = SuspectUpdate {
            fingerprint: context.fingerprint,
            crash: Crash { node: shared.settings.node.clone(), epoch },
            cleared: false,
            call: format!("{} {}", head.method, head.path.path()),
        };
        shared.report_suspect(update).await;
    }
    failed
}

fn build_answer<C: Clock>(
    shared: &Arc<Shared<C>>,
    token: Token,
    response: http::Response<hyper::body::Incoming>,
    mut resources: Resources<C>,
) -> Answer<C> {
    let feedback = take_feedback(shared, token);
    let (mut parts, incoming) = response.into_parts();
    headers::strip_hop(&mut parts.headers);
    let upstream_verdict: Option<Verdict> = headers::parse(&parts.headers, &headers::VERDICT);
    headers::strip_own(&mut parts.headers);
    if parts.status.is_server_error() {
        if let Some(slot) = &mut resources.slot {
            slot.mark_failed();
        }
        // An error counts as `not run` only if the upstream says so.
        let verdict =
            upstream_verdict.filter(|verdict| *verdict == Verdict::NotRun).unwrap_or(Verdict::Ran);
        headers::set(&mut parts.headers, headers::VERDICT, verdict);
    }
    Answer { head: parts, body: Payload::stream(incoming, resources), feedback }
}

/// Learns the admission level of a request's nested calls.
fn learn_nested_level<C: Clock>(shared: &Shared<C>, token: Token, rule_key: u64) {
    let now = shared.clock.now();
    let level = shared.active_requests.with(token, |parent| parent.nested_level()).flatten();
    if let Some(level) = level {
        shared.nested_levels.with_or_insert(
            rule_key,
            || LearnedLevel::new(now),
            |learned| learned.update(level, now),
        );
    }
}

/// Feedback on a run and its nested calls; the unspent allowance is returned with the answer.
fn take_feedback<C: Clock>(shared: &Shared<C>, token: Token) -> Feedback {
    let own = shared.admission.level();
    let feedback = shared.active_requests.with(token, |parent| Feedback {
        level: parent.level.max(own),
        returned: parent.take_allowance(),
        exhausted: parent.exhausted,
    });
    feedback.unwrap_or(Feedback { level: own, ..Feedback::default() })
}

fn upstream_request<C: Clock>(
    shared: &Shared<C>,
    context: &Context,
    token: Token,
    upstream: &LocalUpstream,
    head: &Head,
    body: Payload<C>,
) -> Option<Request<Payload<C>>> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = http::Uri::from(head.path.clone());
    let mut map = head.headers.clone();
    set_upstream_headers(&mut map, shared, context, token);
    if !map.contains_key(header::HOST) {
        map.insert(header::HOST, HeaderValue::try_from(upstream.address.to_string()).ok()?);
    }
    *request.headers_mut() = map;
    Some(request)
}

/// Adds the baggage, which the upstream forwards, the time left and the class.
fn set_upstream_headers<C: Clock>(
    map: &mut HeaderMap,
    shared: &Shared<C>,
    context: &Context,
    token: Token,
) {
    headers::set_baggage(map, &token.to_string());
    headers::set(map, headers::DEADLINE, context.left(shared.clock.now()).as_millis());
    headers::set(map, headers::CLASS, context.class);
}
