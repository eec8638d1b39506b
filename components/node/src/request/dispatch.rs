//! Dispatch of a call at the entry node: matching its rule, picking a target, and retrying.

use std::sync::Arc;
use std::time::Duration;

use bounds::connections::OpenRequest;
use http::header::{self};
use http::{Request, Response};
use hyper::body::Incoming;
use limits::LearnedLevel;
use reservation::{Holder, Key};
use retries::{Decision, Failure, RetryBucket, RetryBudget, StopReason};
use units::{Clock, ServiceName};
use verdict::{Reason, Refusal, Verdict};

use super::attempt::{self, Answer, AttemptError, AttemptResult, Feedback};
use super::body::{BodyError, Payload, RequestBody};
use super::context::Context;
use super::headers;
use super::lease::AllowanceLease;
use super::parent::Token;
use super::prepare::{self, Call, Source};
use super::resources::WaitGuard;
use crate::process::call_stats::{self, CallOutcome};
use crate::process::routes::Target;
use crate::process::shards::lock;
use crate::process::shared::Shared;
use crate::version::Active;

/// Retries at each hop when retry allowances are switched off.
const BASELINE_RETRIES: usize = 3;
/// Upper bound of the random pause before a retry.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Dispatches one call.
pub async fn serve<C: Clock>(
    shared: Arc<Shared<C>>,
    source: Source,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    let (mut parts, body) = request.into_parts();
    let open = parts.extensions.remove::<Arc<OpenRequest>>();
    let (mut call, active) = match prepare::prepare(&shared, source, parts) {
        Ok(prepared) => prepared,
        Err(refusal) => return refusal_response(&shared, refusal),
    };
    let max_size = call.rule.max_body.unwrap_or(shared.settings.bounds.body);
    let read = RequestBody::read(body, shared.settings.bounds.replay, max_size);
    let body = match tokio::time::timeout_at(call.context.deadline.into(), read).await {
        Ok(Ok(body)) => body,
        Ok(Err(err)) => return refusal_response(&shared, body_refusal(&shared, &err)),
        Err(_) => {
            let refusal = Refusal::not_run(Reason::Deadline, &shared.settings.node);
            return refusal_response(&shared, refusal);
        }
    };
    if let Some(open) = open {
        open.complete(shared.clock.now());
    }
    if call.context.run_once && prepare::idempotency_key(&call.head).is_none() {
        return refusal_response(
            &shared,
            Refusal::not_run(Reason::KeyMissing, &shared.settings.node),
        );
    }
    call.context.fingerprint = prepare::fingerprint(&call.head, &body);
    if shared.is_quarantined(call.context.fingerprint) {
        return refusal_response(&shared, quarantine_refusal(&shared));
    }
    let result = match call.parent {
        Some(parent) => send_nested(&shared, &active, &call, parent, body).await,
        None => send_root(&shared, &active, &call, body).await,
    };
    record_and_respond(&shared, &call, result)
}

/// An earlier attempt at the request may have run before its upstream crashed.
fn quarantine_refusal<C: Clock>(shared: &Shared<C>) -> Refusal {
    Refusal::new(Verdict::MayHaveRun, Reason::Quarantined, &shared.settings.node).no_retry()
}

async fn send_root<C: Clock>(
    shared: &Arc<Shared<C>>,
    active: &Active,
    call: &Call,
    body: RequestBody<C>,
) -> AttemptResult<C> {
    let now = shared.clock.now();
    let priority = call.context.priority();
    let new_level = || LearnedLevel::new(now);
    let admitted = shared
        .rule_levels
        .with_or_insert(call.rule_key, new_level, |learned| learned.admits(priority, now));
    if !admitted && shared.settings.mechanisms.levels {
        let refusal = Refusal::not_run(Reason::ShedEarly, &shared.settings.node);
        return Err(AttemptError::new(
            refusal.retry_after(shared.admission.retry_after()).no_retry(),
        ));
    }
    let mut budget = RetryBudget::new(call.context.retries);
    attempt_until_final(shared, active, call, body, &mut budget, |feedback| {
        let now = shared.clock.now();
        shared.rule_levels.with(call.rule_key, |learned| learned.update(feedback.level, now));
    })
    .await
}

async fn send_nested<C: Clock>(
    shared: &Arc<Shared<C>>,
    active: &Active,
    call: &Call,
    parent: Token,
    body: RequestBody<C>,
) -> AttemptResult<C> {
    let parent_wait = WaitGuard::new(shared.clone(), parent);
    let mut lease = AllowanceLease::new(shared.clone(), parent);
    let on_feedback = |feedback: Feedback| {
        shared
            .active_requests
            .with(parent, |parent| parent.level = parent.level.max(feedback.level));
    };
    let mut result =
        attempt_until_final(shared, active, call, body, &mut lease.budget, on_feedback).await;
    let failed = match &result {
        Ok(answer) => answer.is_failure(),
        Err(_) => true,
    };
    if failed {
        shared.active_requests.with(parent, |parent| parent.exhausted = true);
    }
    if let Ok(Answer { body: Payload::Stream { resources, .. }, .. }) = &mut result {
        resources.parent_wait = Some(parent_wait);
    }
    result
}

/// Repeats attempts until one is answered or must not be retried.
async fn attempt_until_final<C: Clock>(
    shared: &Arc<Shared<C>>,
    active: &Active,
    call: &Call,
    mut body: RequestBody<C>,
    budget: &mut RetryBudget,
    on_feedback: impl Fn(Feedback),
) -> AttemptResult<C> {
    let service = &call.context.service;
    let ratio = active.rules.service(service).retry_ratio;
    shared.retry_buckets.with_or_insert(service.clone(), RetryBucket::new, |bucket| {
        bucket.record_first_attempt(ratio)
    });
    let mut attempted: Vec<Arc<Target>> = Vec::new();
    let mut holder = ticket_holder(call);
    let mut worst = Verdict::NotRun;
    loop {
        let target = match pick_target(shared, call, holder.as_ref(), &attempted) {
            Ok(target) => target,
            Err(refusal) => {
                worst = worst.max(refusal.verdict);
                return finalize(Err(AttemptError::new(refusal)), worst);
            }
        };
        let Some(payload) = body.next_attempt() else {
            return Err(AttemptError::new(Refusal::not_run(
                Reason::Unreachable,
                &shared.settings.node,
            )));
        };
        let lent = budget.split_off();
        let context = Context { retries: lent, ..call.context.clone() };
        let result = attempt::send(shared, &target, context, &call.head, payload).await;
        let (feedback, failure) =
            classify(shared, call, &result, body.is_replayable(), target.peer().latency());
        budget.give_back(lent, feedback.returned);
        on_feedback(feedback);
        let Some(failure) = failure else { return result };
        worst = worst.max(attempt_verdict(&result));
        if let Err(AttemptError { holder: Some(key_holder), .. }) = &result
            && holder.is_none()
            && body.is_replayable()
        {
            // Not counted as an attempt: the call only has to go to the holder of its key.
            holder = Some(key_holder.clone());
            continue;
        }
        if !should_retry(shared, service, failure, budget, attempted.len()) {
            return finalize(result, worst);
        }
        attempted.push(target);
        tokio::time::sleep(MAX_RETRY_PAUSE.mul_f64(rand::random())).await;
    }
}

/// Decides whether a failed call is retried, and spends the retry.
fn should_retry<C: Clock>(
    shared: &Shared<C>,
    service: &ServiceName,
    failure: Failure,
    budget: &mut RetryBudget,
    retry_count: usize,
) -> bool {
    let decide = |bucket: &mut RetryBucket| retries::decide(failure, budget, bucket);
    let decision = match shared.settings.mechanisms.allowance {
        true => shared.retry_buckets.with_or_insert(service.clone(), RetryBucket::new, decide),
        false => baseline_decision(retry_count, failure),
    };
    shared.metrics.count_retry(decision_label(decision));
    decision == Decision::Retry
}

/// Node named by a ticket.
fn ticket_holder(call: &Call) -> Option<Holder> {
    match prepare::idempotency_key(&call.head).filter(|_| call.context.run_once)? {
        Key::Ticket { holder, .. } => Some(holder),
        Key::Plain(_) => None,
    }
}

/// Target of the next attempt: the holder of the key if known, else any node of the service.
fn pick_target<C: Clock>(
    shared: &Shared<C>,
    call: &Call,
    holder: Option<&Holder>,
    attempted: &[Arc<Target>],
) -> Result<Arc<Target>, Refusal> {
    let node = &shared.settings.node;
    match holder {
        Some(holder) => {
            let holder_gone = || Refusal::new(Verdict::MayHaveRun, Reason::HolderGone, node);
            shared.holder_target(holder).ok_or_else(holder_gone)
        }
        None => {
            let no_upstream = || Refusal::not_run(Reason::NoUpstream, node);
            shared.choose_target(&call.context.service, attempted).ok_or_else(no_upstream)
        }
    }
}

/// Retries up to a fixed number, as a plain client library does: the baseline of experiments.
fn baseline_decision(retry_count: usize, failure: Failure) -> Decision {
    if retry_count < BASELINE_RETRIES && failure.replayable && failure.time_left > Duration::ZERO {
        Decision::Retry
    } else {
        Decision::Stop(StopReason::Allowance)
    }
}

/// Verdict of a failed attempt.
fn attempt_verdict<C: Clock>(result: &AttemptResult<C>) -> Verdict {
    match result {
        Ok(answer) if answer.is_not_run() => Verdict::NotRun,
        Ok(_) => Verdict::Ran,
        Err(failed) => failed.refusal.verdict,
    }
}

/// Makes a failure final. Its verdict is the worst of all attempts, as an earlier one may have run where the last did
/// not, unless the holder of the key confirms that it never ran. It must not be retried further up, where fewer
/// options are left than here.
fn finalize<C: Clock>(result: AttemptResult<C>, worst: Verdict) -> AttemptResult<C> {
    match result {
        Ok(mut answer) => {
            headers::set(&mut answer.head.headers, headers::VERDICT, worst);
            Ok(answer)
        }
        Err(mut failed) => {
            failed.refusal.no_retry = true;
            if !failed.never_ran {
                failed.refusal.verdict = worst;
            }
            Err(failed)
        }
    }
}

/// Feedback of an attempt, and what a retry decision needs if it failed.
fn classify<C: Clock>(
    shared: &Shared<C>,
    call: &Call,
    result: &AttemptResult<C>,
    replayable: bool,
    min_time: Duration,
) -> (Feedback, Option<Failure>) {
    let time_left = call.context.left(shared.clock.now());
    // Repeats of a key go to its holder, which runs it once.
    let idempotent = call.context.idempotent || call.context.run_once;
    match result {
        Ok(answer) if !answer.is_failure() => (answer.feedback, None),
        Ok(answer) => {
            let exhausted = answer.feedback.exhausted;
            let not_run = answer.is_not_run();
            (
                answer.feedback,
                Some(Failure {
                    not_run,
                    idempotent,
                    replayable,
                    exhausted,
                    crashed_upstream: false,
                    time_left,
                    min_time,
                }),
            )
        }
        Err(failed) => {
            let exhausted = failed.refusal.no_retry || failed.feedback.exhausted;
            let not_run = failed.refusal.verdict == Verdict::NotRun;
            let crashed_upstream = failed.crashed;
            (
                failed.feedback,
                Some(Failure {
                    not_run,
                    idempotent,
                    replayable,
                    exhausted,
                    crashed_upstream,
                    time_left,
                    min_time,
                }),
            )
        }
    }
}

fn decision_label(decision: Decision) -> &'static str {
    match decision {
        Decision::Retry => "retry",
        Decision::Stop(StopReason::Unsafe) => "unsafe",
        Decision::Stop(StopReason::NotReplayable) => "streamed",
        Decision::Stop(StopReason::Exhausted) => "exhausted",
        Decision::Stop(StopReason::CrashedUpstream) => "lethal",
        Decision::Stop(StopReason::Deadline) => "deadline",
        Decision::Stop(StopReason::Allowance) => "allowance",
        Decision::Stop(StopReason::RetryRatio) => "ratio",
    }
}

fn record_and_respond<C: Clock>(
    shared: &Arc<Shared<C>>,
    call: &Call,
    result: AttemptResult<C>,
) -> Response<Payload<C>> {
    let (outcome, response) = match result {
        Ok(answer) => {
            let outcome =
                if answer.is_failure() { CallOutcome::Failed } else { CallOutcome::Answered };
            (outcome, Response::from_parts(answer.head, answer.body))
        }
        Err(failed) => {
            let outcome = CallOutcome::Refused(failed.refusal.reason);
            (outcome, refusal_response(shared, caller_refusal(call, failed)))
        }
    };
    shared.metrics.count_call(&call_stats::rule_name(&call.rule), call.context.class, outcome);
    lock(&shared.call_stats).count(&call.rule, outcome, shared.unix_time());
    response
}

/// Refusal for the caller. Unless the holder of its key confirms that it never ran, an earlier attempt may have run.
fn caller_refusal(call: &Call, failed: AttemptError) -> Refusal {
    let mut refusal = failed.refusal;
    if call.context.run_once && refusal.verdict == Verdict::NotRun && !failed.never_ran {
        refusal.verdict = Verdict::MayHaveRun;
    }
    refusal
}

fn body_refusal<C: Clock>(shared: &Shared<C>, err: &BodyError) -> Refusal {
    let reason = match err {
        BodyError::TooLarge => Reason::TooLarge,
        BodyError::ConnectionLost(_) => Reason::Malformed,
    };
    Refusal::not_run(reason, &shared.settings.node)
}

/// Response for a refused call.
pub fn refusal_response<C: Clock>(shared: &Shared<C>, refusal: Refusal) -> Response<Payload<C>> {
    if refusal.refused_by == shared.settings.node {
        shared.metrics.count_refusal(refusal.reason, refusal.verdict);
    }
    let mut response = Response::new(Payload::buffered(refusal.problem()));
    *response.status_mut() =
        http::StatusCode::from_u16(refusal.reason.status()).unwrap_or_default();
    let map = response.headers_mut();
    headers::set(map, header::CONTENT_TYPE, "application/problem+json");
    headers::set(map, headers::VERDICT, refusal.verdict);
    headers::set(map, headers::REASON, refusal.reason);
    headers::set(map, headers::REFUSED_BY, &refusal.refused_by);
    if let Some(after) = refusal.retry_after {
        headers::set(map, header::RETRY_AFTER, after.as_secs_f64().ceil() as u64);
    }
    response
}
