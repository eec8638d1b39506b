//! The entry's side of a call: which rule it falls under, where it goes, and whether it is tried again.

use std::sync::Arc;
use std::time::Duration;

use http::header::{self};
use http::{Request, Response};
use hyper::body::Incoming;
use limits::Learned;
use reservation::{Holder, Key};
use retries::{Account, Bucket, Choice, Failure, Stop};
use units::{Clock, ServiceName};
use verdict::{Reason, Refusal, Verdict};

use super::account::Drawn;
use super::attempt::{self, Answer, Failed, Trailer, Tried};
use super::body::{BodyError, Kept, Payload};
use super::context::Context;
use super::headers;
use super::hold::Wait;
use super::parent::Token;
use super::plan::{self, Call, Source};
use crate::process::ledger::{self, Ended};
use crate::process::members::Target;
use crate::process::shards::lock;
use crate::process::shared::Shared;
use crate::version::Active;

/// Retries of each hop when the allowance is switched off.
const NAIVE_RETRIES: usize = 3;
/// Longest pause before a retry.
const PAUSE: Duration = Duration::from_millis(10);

/// Serves one call.
pub async fn call<C: Clock>(
    shared: Arc<Shared<C>>,
    source: Source,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    let (parts, body) = request.into_parts();
    let (mut call, active) = match plan::plan(&shared, source, parts) {
        Ok(planned) => planned,
        Err(refusal) => return refuse(&shared, refusal),
    };
    let most = call.rule.body.unwrap_or(shared.settings.bounds.body);
    let body = match Kept::read(body, shared.settings.bounds.replay, most).await {
        Ok(body) => body,
        Err(err) => return refuse(&shared, unreadable(&shared, &err)),
    };
    if call.context.once && plan::key(&call.head).is_none() {
        return refuse(&shared, Refusal::not_run(Reason::KeyMissing, &shared.settings.node));
    }
    call.context.fingerprint = plan::fingerprint(&call.head, &body);
    if shared.is_held(call.context.fingerprint) {
        return refuse(&shared, quarantined(&shared));
    }
    let tried = match call.parent {
        Some(parent) => below(&shared, &active, &call, parent, body).await,
        None => root(&shared, &active, &call, body).await,
    };
    finish(&shared, &call, tried)
}

/// An earlier try of the request may have run before its upstream died.
fn quarantined<C: Clock>(shared: &Shared<C>) -> Refusal {
    Refusal::new(Verdict::MayHaveRun, Reason::Quarantined, &shared.settings.node).exhausted()
}

async fn root<C: Clock>(
    shared: &Arc<Shared<C>>,
    active: &Active,
    call: &Call,
    body: Kept<C>,
) -> Tried<C> {
    let now = shared.clock.now();
    let priority = call.context.priority();
    let fresh = || Learned::new(now);
    let admitted = shared.learned.with_or(call.key, fresh, |learned| learned.admits(priority, now));
    if !admitted && shared.settings.mechanisms.levels {
        let refusal = Refusal::not_run(Reason::ShedEarly, &shared.settings.node);
        return Err(Failed::new(refusal.retry_after(shared.gate.retry_after()).exhausted()));
    }
    let mut account = Account::new(call.context.retries);
    tries(shared, active, call, body, &mut account, |trailer| {
        let now = shared.clock.now();
        shared.learned.with(call.key, |learned| learned.learn(trailer.level, now));
    })
    .await
}

async fn below<C: Clock>(
    shared: &Arc<Shared<C>>,
    active: &Active,
    call: &Call,
    parent: Token,
    body: Kept<C>,
) -> Tried<C> {
    let wait = Wait::new(shared.clone(), parent);
    let mut drawn = Drawn::new(shared.clone(), parent);
    let learn = |trailer: Trailer| {
        shared.calls.with(parent, |parent| parent.level = parent.level.max(trailer.level));
    };
    let mut tried = tries(shared, active, call, body, &mut drawn.account, learn).await;
    let failed = match &tried {
        Ok(answer) => answer.is_failure(),
        Err(_) => true,
    };
    if failed {
        shared.calls.with(parent, |parent| parent.exhausted = true);
    }
    if let Ok(Answer { body: Payload::Stream { hold, .. }, .. }) = &mut tried {
        hold.wait = Some(wait);
    }
    tried
}

/// Tries the call until there is an answer or a reason to stop.
async fn tries<C: Clock>(
    shared: &Arc<Shared<C>>,
    active: &Active,
    call: &Call,
    mut body: Kept<C>,
    account: &mut Account,
    learn: impl Fn(Trailer),
) -> Tried<C> {
    let service = &call.context.service;
    let ratio = active.rules.service(service).ratio;
    shared.buckets.with_or(service.clone(), Bucket::new, |bucket| bucket.first_try(ratio));
    let mut seen: Vec<Arc<Target>> = Vec::new();
    let mut holder = named_holder(call);
    let mut worst = Verdict::NotRun;
    loop {
        let target = match pick(shared, call, holder.as_ref(), &seen) {
            Ok(target) => target,
            Err(refusal) => {
                worst = worst.max(refusal.verdict);
                return conclude(Err(Failed::new(refusal)), worst);
            }
        };
        let Some(payload) = body.next() else {
            return Err(Failed::new(Refusal::not_run(Reason::Unreachable, &shared.settings.node)));
        };
        let lent = account.lend();
        let context = Context { retries: lent, ..call.context.clone() };
        let tried = attempt::send(shared, &target, context, &call.head, payload).await;
        let (trailer, failure) =
            assess(shared, call, &tried, body.is_replayable(), target.peer().latency());
        account.settle(lent, trailer.returned);
        learn(trailer);
        let Some(failure) = failure else { return tried };
        worst = worst.max(verdict(&tried));
        if let Err(Failed { holder: Some(elsewhere), .. }) = &tried
            && holder.is_none()
            && body.is_replayable()
        {
            // Nothing was tried yet: the key only has to go where it may run.
            holder = Some(elsewhere.clone());
            continue;
        }
        if !again(shared, service, failure, account, seen.len()) {
            return conclude(tried, worst);
        }
        seen.push(target);
        tokio::time::sleep(PAUSE.mul_f64(rand::random())).await;
    }
}

/// Decides whether a failed call is tried again, and pays for it.
fn again<C: Clock>(
    shared: &Shared<C>,
    service: &ServiceName,
    failure: Failure,
    account: &mut Account,
    retried: usize,
) -> bool {
    let decide = |bucket: &mut Bucket| retries::decide(failure, account, bucket);
    let choice = match shared.settings.mechanisms.allowance {
        true => shared.buckets.with_or(service.clone(), Bucket::new, decide),
        false => naive(retried, failure),
    };
    shared.metrics.retry(name(choice));
    choice == Choice::Retry
}

/// The node that a ticket names.
fn named_holder(call: &Call) -> Option<Holder> {
    match plan::key(&call.head).filter(|_| call.context.once)? {
        Key::Ticket { holder, .. } => Some(holder),
        Key::Plain(_) => None,
    }
}

/// The node for the next try: the holder of the key where it is known, and nobody else then.
fn pick<C: Clock>(
    shared: &Shared<C>,
    call: &Call,
    holder: Option<&Holder>,
    seen: &[Arc<Target>],
) -> Result<Arc<Target>, Refusal> {
    let node = &shared.settings.node;
    match holder {
        Some(holder) => {
            let gone = || Refusal::new(Verdict::MayHaveRun, Reason::HolderGone, node);
            shared.held_by(holder).ok_or_else(gone)
        }
        None => {
            let nobody = || Refusal::not_run(Reason::NoUpstream, node);
            shared.choose(&call.context.service, seen).ok_or_else(nobody)
        }
    }
}

/// What a plain client library does: the baseline of experiments.
fn naive(retried: usize, failure: Failure) -> Choice {
    if retried < NAIVE_RETRIES && failure.replayable && failure.left > Duration::ZERO {
        Choice::Retry
    } else {
        Choice::Stop(Stop::Allowance)
    }
}

/// What a failed try says of itself.
fn verdict<C: Clock>(tried: &Tried<C>) -> Verdict {
    match tried {
        Ok(answer) if answer.is_unrun() => Verdict::NotRun,
        Ok(_) => Verdict::Ran,
        Err(failed) => failed.refusal.verdict,
    }
}

/// Ends the tries with a failure. An earlier try may have run where the last did not, unless the holder of its key
/// knows better; and whoever is above has less to try with than this node had.
fn conclude<C: Clock>(tried: Tried<C>, worst: Verdict) -> Tried<C> {
    match tried {
        Ok(mut answer) => {
            headers::set(&mut answer.head.headers, headers::VERDICT, worst);
            Ok(answer)
        }
        Err(mut failed) => {
            failed.refusal.exhausted = true;
            if !failed.settled {
                failed.refusal.verdict = worst;
            }
            Err(failed)
        }
    }
}

fn assess<C: Clock>(
    shared: &Shared<C>,
    call: &Call,
    tried: &Tried<C>,
    replayable: bool,
    least: Duration,
) -> (Trailer, Option<Failure>) {
    let left = call.context.left(shared.clock.now());
    // A key that is sent again goes to its holder, which runs it once.
    let idempotent = call.context.idempotent || call.context.once;
    match tried {
        Ok(answer) if !answer.is_failure() => (answer.trailer, None),
        Ok(answer) => {
            let exhausted = answer.trailer.exhausted;
            let unrun = answer.is_unrun();
            (
                answer.trailer,
                Some(Failure {
                    unrun,
                    idempotent,
                    replayable,
                    exhausted,
                    lethal: false,
                    left,
                    least,
                }),
            )
        }
        Err(failed) => {
            let exhausted = failed.refusal.exhausted || failed.trailer.exhausted;
            let unrun = failed.refusal.verdict == Verdict::NotRun;
            let lethal = failed.lethal;
            (
                failed.trailer,
                Some(Failure { unrun, idempotent, replayable, exhausted, lethal, left, least }),
            )
        }
    }
}

fn name(choice: Choice) -> &'static str {
    match choice {
        Choice::Retry => "retry",
        Choice::Stop(Stop::Unsafe) => "unsafe",
        Choice::Stop(Stop::Streamed) => "streamed",
        Choice::Stop(Stop::Exhausted) => "exhausted",
        Choice::Stop(Stop::Lethal) => "lethal",
        Choice::Stop(Stop::Deadline) => "deadline",
        Choice::Stop(Stop::Allowance) => "allowance",
        Choice::Stop(Stop::Ratio) => "ratio",
    }
}

fn finish<C: Clock>(shared: &Arc<Shared<C>>, call: &Call, tried: Tried<C>) -> Response<Payload<C>> {
    let (ended, response) = match tried {
        Ok(answer) => {
            let ended = if answer.is_failure() { Ended::Failed } else { Ended::Answered };
            (ended, Response::from_parts(answer.head, answer.body))
        }
        Err(failed) => {
            let ended = Ended::Refused(failed.refusal.reason);
            (ended, refuse(shared, told(call, failed)))
        }
    };
    shared.metrics.call(&ledger::name(&call.rule), call.context.class, ended);
    lock(&shared.ledger).count(&call.rule, ended, shared.wall());
    response
}

/// Only the holder of a key knows that it never ran; an earlier try of the same key may have.
fn told(call: &Call, failed: Failed) -> Refusal {
    let mut refusal = failed.refusal;
    if call.context.once && refusal.verdict == Verdict::NotRun && !failed.settled {
        refusal.verdict = Verdict::MayHaveRun;
    }
    refusal
}

fn unreadable<C: Clock>(shared: &Shared<C>, err: &BodyError) -> Refusal {
    let reason = match err {
        BodyError::TooLarge => Reason::TooLarge,
        BodyError::Lost(_) => Reason::Malformed,
    };
    Refusal::not_run(reason, &shared.settings.node)
}

/// The answer that a caller gets instead of the upstream's.
pub fn refuse<C: Clock>(shared: &Shared<C>, refusal: Refusal) -> Response<Payload<C>> {
    if refusal.by == shared.settings.node {
        shared.metrics.refusal(refusal.reason, refusal.verdict);
    }
    let mut response = Response::new(Payload::whole(refusal.problem()));
    *response.status_mut() =
        http::StatusCode::from_u16(refusal.reason.status()).unwrap_or_default();
    let map = response.headers_mut();
    headers::set(map, header::CONTENT_TYPE, "application/problem+json");
    headers::set(map, headers::VERDICT, refusal.verdict);
    headers::set(map, headers::REASON, refusal.reason);
    headers::set(map, headers::REFUSED_BY, &refusal.by);
    if let Some(after) = refusal.after {
        headers::set(map, header::RETRY_AFTER, after.as_secs_f64().ceil() as u64);
    }
    response
}
