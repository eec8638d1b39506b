//! The guard's side of a call: admission, the run at the upstream, and what the answer says of the tree below.

use std::sync::Arc;

use http::header::{self, HeaderValue};
use http::{HeaderMap, Request};
use limits::{Learned, Offer, Refused};
use quarantine::{Death, Told};
use units::Clock;
use verdict::{Reason, Refusal, Verdict};

use super::attempt::{Answer, Failed, Head, Trailer, Tried};
use super::body::Payload;
use super::context::Context;
use super::headers;
use super::hold::{Hold, Run};
use super::once;
use super::parent::{Parent, Token};
use super::plan;
use crate::connection::peers::SendError;
use crate::connection::upstream::Pool;
use crate::process::gate::Entry;
use crate::process::shared::Shared;
use crate::process::upstream::Announced;

/// Serves a call at the upstream beside this node.
pub async fn serve<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> Tried<C> {
    match context.once {
        true => once::serve(shared, context, head, body).await,
        false => run(shared, context, head, body).await,
    }
}

/// Runs a call at the upstream beside this node, if the guard lets it.
pub async fn run<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> Tried<C> {
    let token = shared.token();
    let Some(announced) =
        shared.announced().filter(|announced| announced.service == context.service)
    else {
        return Err(unrun(shared, &context, Reason::NoUpstream));
    };
    if shared.is_held(context.fingerprint) {
        let refusal = Refusal::new(Verdict::MayHaveRun, Reason::Quarantined, &shared.settings.node);
        return Err(Failed::new(refusal.exhausted()));
    }
    let key = below_key(shared, head);
    if sheds_below(shared, &context, key) {
        return Err(shed(shared, &context, key));
    }
    admit(shared, &context, token).await?;
    let epoch = shared.epoch();
    shared.calls.insert(token, Parent::new(context.clone()));
    let run = Run::new(shared.clone(), token);
    let Some(request) = request(shared, &context, token, &announced, head, body) else {
        return Err(unrun(shared, &context, Reason::Malformed));
    };
    let left = context.left(shared.clock.now());
    let sent = tokio::time::timeout(left, shared.pool.send(announced.address, request)).await;
    let (response, lane) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(SendError::Unsent(_))) => {
            shared.upstream_died(epoch);
            return Err(unrun(shared, &context, Reason::Unreachable));
        }
        Ok(Err(SendError::Lost(_))) => {
            return Err(broken(shared, &context, token, &announced, epoch, head).await);
        }
        Err(_) => return Err(lost(shared, token, Reason::Deadline)),
    };
    if !response.status().is_server_error() {
        shared.answered(context.fingerprint);
    }
    learn_below(shared, token, key);
    Ok(answer(
        shared,
        token,
        response,
        Hold { run: Some(run), lane: Some(lane), ..Hold::default() },
    ))
}

async fn admit<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: &Context,
    token: Token,
) -> Result<(), Failed> {
    let now = shared.clock.now();
    let offer = Offer {
        key: token,
        priority: context.priority(),
        deadline: context.deadline,
        root: context.depth == 0,
    };
    let refused = match shared.gate.enter(offer, now) {
        Entry::Run => return Ok(()),
        Entry::Refused(refused) => refused,
        Entry::Wait(waiter) => match waiter.answer().await {
            Ok(()) => return Ok(()),
            Err(refused) => refused,
        },
    };
    Err(unrun(shared, context, reason(refused)))
}

fn reason(refused: Refused) -> Reason {
    match refused {
        Refused::Level | Refused::Full | Refused::Waited => Reason::Overloaded,
        Refused::Deadline => Reason::Deadline,
        Refused::Draining => Reason::Draining,
    }
}

fn below_key<C: Clock>(shared: &Shared<C>, head: &Head) -> u64 {
    let active = shared.active();
    let rule = active.as_ref().and_then(|active| active.rules.find(&head.method, head.path.path()));
    rule.map_or(0, |rule| plan::rule_key(rule, &head.method))
}

/// Whether a service that the upstream calls for such requests would refuse the tree later.
fn sheds_below<C: Clock>(shared: &Shared<C>, context: &Context, key: u64) -> bool {
    let now = shared.clock.now();
    let admits = |learned: &mut Learned| learned.admits(context.priority(), now);
    context.depth == 0
        && shared.settings.mechanisms.levels
        && shared.below.with(key, admits) == Some(false)
}

/// A refusal before any work was done, by what the calls of earlier requests met. No other upstream of the service
/// would do better, as all call the same one.
fn shed<C: Clock>(shared: &Shared<C>, context: &Context, key: u64) -> Failed {
    let now = shared.clock.now();
    let mut failed = unrun(shared, context, Reason::ShedEarly);
    failed.refusal.exhausted = true;
    let below = shared.below.with(key, |learned| learned.get(now)).unwrap_or_default();
    failed.trailer.level = failed.trailer.level.max(below);
    failed
}

/// A refusal before a byte was handed to the upstream.
fn unrun<C: Clock>(shared: &Shared<C>, context: &Context, reason: Reason) -> Failed {
    shared.metrics.refusal(reason, Verdict::NotRun);
    let mut refusal = Refusal::not_run(reason, &shared.settings.node);
    if matches!(reason, Reason::Overloaded | Reason::ShedEarly) {
        refusal = refusal.retry_after(shared.gate.retry_after());
    }
    let trailer =
        Trailer { level: shared.gate.level(), returned: context.retries, exhausted: false };
    Failed { trailer, ..Failed::new(refusal) }
}

/// A failure after the request was handed to the upstream.
fn lost<C: Clock>(shared: &Shared<C>, token: Token, reason: Reason) -> Failed {
    shared.metrics.refusal(reason, Verdict::MayHaveRun);
    let refusal = Refusal::new(Verdict::MayHaveRun, reason, &shared.settings.node);
    Failed { trailer: trailer(shared, token), ..Failed::new(refusal) }
}

/// The connection broke while the request ran. If the upstream is gone, the request is a suspect, and others hear of
/// it before its caller does and can send it again.
async fn broken<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: &Context,
    token: Token,
    announced: &Announced,
    epoch: u64,
    head: &Head,
) -> Failed {
    let mut failed = lost(shared, token, Reason::ConnectionLost);
    failed.lethal = Pool::<C>::is_gone(announced.address).await;
    if failed.lethal {
        shared.upstream_died(epoch);
        let death = Some(Death { node: shared.settings.node.clone(), epoch });
        let call = format!("{} {}", head.method, head.path.path());
        shared.suspect(Told { fingerprint: context.fingerprint, death, call }).await;
    }
    failed
}

fn answer<C: Clock>(
    shared: &Arc<Shared<C>>,
    token: Token,
    response: http::Response<hyper::body::Incoming>,
    mut hold: Hold<C>,
) -> Answer<C> {
    let trailer = trailer(shared, token);
    let (mut parts, incoming) = response.into_parts();
    headers::strip_hop(&mut parts.headers);
    let upstream_verdict: Option<Verdict> = headers::parse(&parts.headers, &headers::VERDICT);
    headers::strip_own(&mut parts.headers);
    if parts.status.is_server_error() {
        if let Some(run) = &mut hold.run {
            run.spoil();
        }
        // Only an explicit word of the upstream makes it `not run`.
        let verdict =
            upstream_verdict.filter(|verdict| *verdict == Verdict::NotRun).unwrap_or(Verdict::Ran);
        headers::set(&mut parts.headers, headers::VERDICT, verdict);
    }
    Answer { head: parts, body: Payload::answer(incoming, hold), trailer }
}

/// Learns the level that the calls of a request met.
fn learn_below<C: Clock>(shared: &Shared<C>, token: Token, key: u64) {
    let now = shared.clock.now();
    let met = shared.calls.with(token, |parent| parent.met()).flatten();
    if let Some(level) = met {
        shared.below.with_or(key, || Learned::new(now), |learned| learned.learn(level, now));
    }
}

/// What the run says of the tree below it; the rest of its allowance goes back with the answer.
fn trailer<C: Clock>(shared: &Shared<C>, token: Token) -> Trailer {
    let own = shared.gate.level();
    let below = shared.calls.with(token, |parent| Trailer {
        level: parent.level.max(own),
        returned: parent.close(),
        exhausted: parent.exhausted,
    });
    below.unwrap_or(Trailer { level: own, ..Trailer::default() })
}

fn request<C: Clock>(
    shared: &Shared<C>,
    context: &Context,
    token: Token,
    announced: &Announced,
    head: &Head,
    body: Payload<C>,
) -> Option<Request<Payload<C>>> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = http::Uri::from(head.path.clone());
    let mut map = head.headers.clone();
    tie(&mut map, shared, context, token);
    if !map.contains_key(header::HOST) {
        map.insert(header::HOST, HeaderValue::try_from(announced.address.to_string()).ok()?);
    }
    *request.headers_mut() = map;
    Some(request)
}

/// Adds what the upstream forwards or goes by: the baggage, the time left and the class.
fn tie<C: Clock>(map: &mut HeaderMap, shared: &Shared<C>, context: &Context, token: Token) {
    headers::set_baggage(map, &token.to_string());
    headers::set(map, headers::DEADLINE, context.left(shared.clock.now()).as_millis());
    headers::set(map, headers::CLASS, context.class);
}
