//! The entry's side of a call: which rule it falls under, where it goes, and whether it is tried again.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderName};
use http::{Request, Response};
use hyper::body::Incoming;
use limits::Learned;
use quarantine::Fingerprint;
use reservation::{Holder, Key};
use retries::{Account, Allowance, Bucket, Choice, Failure, Stop};
use rules::{CallRule, Class};
use units::{Clock, RootId};
use verdict::{Reason, Refusal, Verdict};
use xxhash_rust::xxh3;

use super::account::Drawn;
use super::attempt::{self, Answer, Failed, Head, Trailer, Tried};
use super::body::{BodyError, Kept, Payload};
use super::context::Context;
use super::headers;
use super::hold::Wait;
use super::parent::Token;
use crate::process::members::Target;
use crate::process::shared::Shared;
use crate::version::Active;

const VIA: &str = "almondknot";
const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// Retries of each hop when the allowance is switched off.
const NAIVE_RETRIES: usize = 3;
/// Longest pause before a retry.
const PAUSE: Duration = Duration::from_millis(10);

/// Where a call comes from.
#[derive(Debug, Clone, Copy)]
pub enum Source {
    /// A caller outside the system.
    Caller(IpAddr),
    /// The upstream beside this node.
    Upstream,
}

/// A call with everything that was decided before it is sent.
struct Call {
    context: Context,
    /// The request of the upstream that it is made for.
    parent: Option<Token>,
    rule: Arc<CallRule>,
    /// Names the rule in what is learned about it.
    key: u64,
    head: Head,
}

/// Serves one call.
pub async fn call<C: Clock>(
    shared: Arc<Shared<C>>,
    source: Source,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    let (parts, body) = request.into_parts();
    let (mut call, active) = match plan(&shared, source, parts) {
        Ok(planned) => planned,
        Err(refusal) => return refuse(&shared, refusal),
    };
    let most = call.rule.body.unwrap_or(shared.settings.bounds.body);
    let body = match Kept::read(body, shared.settings.bounds.replay, most).await {
        Ok(body) => body,
        Err(err) => return refuse(&shared, unreadable(&shared, &err)),
    };
    if call.context.once && key(&call.head).is_none() {
        return refuse(&shared, Refusal::not_run(Reason::KeyMissing, &shared.settings.node));
    }
    call.context.fingerprint = fingerprint(&call.head, &body);
    if shared.is_held(call.context.fingerprint) {
        return refuse(&shared, quarantined(&shared));
    }
    let tried = match call.parent {
        Some(parent) => below(&shared, &active, &call, parent, body).await,
        None => root(&shared, &active, &call, body).await,
    };
    finish(&shared, &call, tried)
}

/// The key of a request.
pub fn key(head: &Head) -> Option<Key> {
    headers::parse(&head.headers, &headers::KEY)
}

/// A key names a request whatever its body; without one the same call with the same body counts as the same.
fn fingerprint<C: Clock>(head: &Head, body: &Kept<C>) -> Fingerprint {
    if let Some(key) = head.headers.get(headers::KEY) {
        return Fingerprint::of_key(key.as_bytes());
    }
    let bytes = match body {
        Kept::Whole(bytes) => bytes.as_ref(),
        Kept::Once(_) => &[],
    };
    Fingerprint::of_request(head.method.as_str(), head.path.as_str(), bytes)
}

/// An earlier try of the request may have run before its upstream died.
fn quarantined<C: Clock>(shared: &Shared<C>) -> Refusal {
    Refusal::new(Verdict::MayHaveRun, Reason::Quarantined, &shared.settings.node).exhausted()
}

/// Finds the rule and draws up the context.
fn plan<C: Clock>(
    shared: &Arc<Shared<C>>,
    source: Source,
    parts: http::request::Parts,
) -> Result<(Call, Arc<Active>), Refusal> {
    let not_run = |reason: Reason| Refusal::not_run(reason, &shared.settings.node);
    let now = shared.clock.now();
    let active = shared.active().ok_or_else(|| not_run(Reason::NoRules))?;
    let path = parts.uri.path_and_query().cloned().ok_or_else(|| not_run(Reason::Malformed))?;
    let rule = active
        .rules
        .find(&parts.method, path.path())
        .cloned()
        .ok_or_else(|| not_run(Reason::UnknownCall))?;
    let asked = headers::parse(&parts.headers, &headers::DEADLINE).map(Duration::from_millis);
    let deadline = now + rule.deadline.min(asked.unwrap_or(Duration::MAX));
    let parent = parent(shared, source, &parts.headers)?;
    let context = match parent {
        Some(parent) => {
            inherit(shared, parent, &rule, deadline).ok_or_else(|| not_run(Reason::Deadline))?
        }
        None => fresh(source, &rule, deadline),
    };
    if context.depth > shared.settings.bounds.depth {
        return Err(not_run(Reason::TooDeep));
    }
    let key = rule_key(&rule, &parts.method);
    let head =
        Head { method: parts.method, path, headers: clean(source, parts.headers, &parts.uri) };
    Ok((Call { context, parent, rule, key, head }, active))
}

/// Names a rule in what is learned about its calls; the same in every version that has the rule.
pub fn rule_key(rule: &CallRule, method: &http::Method) -> u64 {
    xxh3::xxh3_64_with_seed(rule.path.as_bytes(), xxh3::xxh3_64(method.as_str().as_bytes()))
}

/// The request of the upstream that a call is made for. One that has ended makes the call pointless.
fn parent<C: Clock>(
    shared: &Shared<C>,
    source: Source,
    map: &http::HeaderMap,
) -> Result<Option<Token>, Refusal> {
    let Source::Upstream = source else { return Ok(None) };
    let token: Option<Token> = headers::baggage(map).and_then(|text| text.parse().ok());
    let Some(token) = token.filter(|token| shared.is_own(*token)) else { return Ok(None) };
    match shared.calls.with(token, |_| ()) {
        Some(()) => Ok(Some(token)),
        None => Err(Refusal::not_run(Reason::Deadline, &shared.settings.node)),
    }
}

fn inherit<C: Clock>(
    shared: &Shared<C>,
    parent: Token,
    rule: &CallRule,
    deadline: Instant,
) -> Option<Context> {
    shared.calls.with(parent, |parent| Context {
        root: parent.context.root,
        class: parent.context.class,
        deadline: deadline.min(parent.context.deadline),
        retries: Allowance(0),
        depth: parent.context.depth + 1,
        idempotent: rule.idempotent,
        service: rule.service.clone(),
        once: rule.once,
        fingerprint: Fingerprint::default(),
    })
}

/// A root request. One from an upstream counts as an internal lookup, and has no retries of its own: it may be part
/// of a tree whose upstream does not forward the baggage.
fn fresh(source: Source, rule: &CallRule, deadline: Instant) -> Context {
    let (class, retries) = match source {
        Source::Caller(_) => (rule.class, Allowance(rule.retries)),
        Source::Upstream => (rule.class.min(Class::Internal), Allowance(0)),
    };
    Context {
        root: RootId(rand::random()),
        class,
        deadline,
        retries,
        depth: 0,
        idempotent: rule.idempotent,
        service: rule.service.clone(),
        once: rule.once,
        fingerprint: Fingerprint::default(),
    }
}

fn clean(source: Source, mut map: http::HeaderMap, uri: &http::Uri) -> http::HeaderMap {
    headers::strip_hop(&mut map);
    headers::strip_own(&mut map);
    map.remove(&headers::DEADLINE);
    map.remove(header::EXPECT);
    if let Some(authority) = uri.authority()
        && !map.contains_key(header::HOST)
    {
        headers::set(&mut map, header::HOST, authority);
    }
    if let Source::Caller(address) = source {
        let before = map.get(&FORWARDED_FOR).and_then(|value| value.to_str().ok());
        let all = before.map_or(address.to_string(), |before| format!("{before}, {address}"));
        headers::set(&mut map, FORWARDED_FOR, all);
    }
    let via = map.get(header::VIA).and_then(|value| value.to_str().ok());
    let via = via.map_or(format!("1.1 {VIA}"), |before| format!("{before}, 1.1 {VIA}"));
    headers::set(&mut map, header::VIA, via);
    map
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
    loop {
        let target = match pick(shared, call, holder.as_ref(), &seen) {
            Ok(target) => target,
            Err(refusal) => return Err(Failed::new(refusal)),
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
        if let Err(Failed { holder: Some(elsewhere), .. }) = &tried
            && holder.as_ref() != Some(elsewhere)
            && body.is_replayable()
        {
            // Nothing was tried yet: the key only has to go where it may run.
            holder = Some(elsewhere.clone());
            continue;
        }
        let choice = if shared.settings.mechanisms.allowance {
            shared.buckets.with(service.clone(), |bucket| retries::decide(failure, account, bucket))
        } else {
            Some(naive(seen.len(), failure))
        };
        match choice {
            Some(Choice::Retry) => shared.metrics.retry("retry"),
            Some(Choice::Stop(stop)) => {
                shared.metrics.retry(name(stop));
                return tried.map_err(exhaust);
            }
            None => return tried.map_err(exhaust),
        }
        seen.push(target);
        tokio::time::sleep(PAUSE.mul_f64(rand::random())).await;
    }
}

/// The node that a ticket names.
fn named_holder(call: &Call) -> Option<Holder> {
    match key(&call.head).filter(|_| call.context.once)? {
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
fn naive(retries: usize, failure: Failure) -> Choice {
    if retries < NAIVE_RETRIES && failure.replayable && failure.left > Duration::ZERO {
        Choice::Retry
    } else {
        Choice::Stop(Stop::Allowance)
    }
}

/// Whoever is above has less to try with than this node had.
fn exhaust(mut failed: Failed) -> Failed {
    failed.refusal.exhausted = true;
    failed
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

fn name(stop: Stop) -> &'static str {
    match stop {
        Stop::Unsafe => "unsafe",
        Stop::Streamed => "streamed",
        Stop::Exhausted => "exhausted",
        Stop::Lethal => "lethal",
        Stop::Deadline => "deadline",
        Stop::Allowance => "allowance",
        Stop::Ratio => "ratio",
    }
}

fn finish<C: Clock>(shared: &Arc<Shared<C>>, call: &Call, tried: Tried<C>) -> Response<Payload<C>> {
    let rule = format!(
        "{} {}",
        call.rule.method.as_ref().map_or("*", |method| method.as_str()),
        call.rule.path
    );
    match tried {
        Ok(answer) => {
            let outcome = if answer.is_failure() { "failed" } else { "answered" };
            shared.metrics.call(&rule, call.context.class, outcome);
            Response::from_parts(answer.head, answer.body)
        }
        Err(failed) => {
            shared.metrics.call(&rule, call.context.class, failed.refusal.reason.as_str());
            refuse(shared, told(call, failed))
        }
    }
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
