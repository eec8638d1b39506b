//! Preparation of a call before anything is sent: its rule, its context, and the forwarded headers.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderName};
use quarantine::Fingerprint;
use reservation::Key;
use retries::RetryAllowance;
use rules::{CallRule, Class};
use units::{Clock, RootId};
use verdict::{Reason, Refusal};
use xxhash_rust::xxh3;

use super::attempt::Head;
use super::body::RequestBody;
use super::context::Context;
use super::headers;
use super::parent::Token;
use crate::process::shared::Shared;
use crate::version::Active;

const VIA_PSEUDONYM: &str = "almondknot";
const X_FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Origin of a call.
#[derive(Debug, Clone, Copy)]
pub enum Source {
    /// An external caller.
    Caller(IpAddr),
    /// The local upstream.
    Upstream,
}

/// A prepared call.
pub struct Call {
    /// Context for the receiving node.
    pub context: Context,
    /// Parent request, if it is a nested call.
    pub parent: Option<Token>,
    /// Matching rule.
    pub rule: Arc<CallRule>,
    /// Hash of the rule, by which its learned admission level is stored.
    pub rule_key: u64,
    /// Method, path and headers to forward.
    pub head: Head,
}

/// Finds the rule of a request and builds its context.
pub fn prepare<C: Clock>(
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
    let requested = headers::parse(&parts.headers, &headers::DEADLINE).map(Duration::from_millis);
    let deadline = now + rule.deadline.min(requested.unwrap_or(Duration::MAX));
    let parent = find_parent(shared, source, &parts.headers)?;
    let context = match parent {
        Some(parent) => nested_context(shared, parent, &rule, deadline)
            .ok_or_else(|| not_run(Reason::Deadline))?,
        None => root_context(source, &rule, deadline),
    };
    if context.depth > shared.settings.bounds.depth {
        return Err(not_run(Reason::TooDeep));
    }
    let rule_key = rule_key(&rule, &parts.method);
    let head = Head {
        method: parts.method,
        path,
        headers: forwarded_headers(source, parts.headers, &parts.uri),
    };
    Ok((Call { context, parent, rule, rule_key, head }, active))
}

/// Hash of a rule, by which its learned admission level is stored; the same in every version that has the rule.
pub fn rule_key(rule: &CallRule, method: &http::Method) -> u64 {
    xxh3::xxh3_64_with_seed(rule.path.as_bytes(), xxh3::xxh3_64(method.as_str().as_bytes()))
}

/// Parent request of a nested call. If it has ended, no caller waits for the call any more.
fn find_parent<C: Clock>(
    shared: &Shared<C>,
    source: Source,
    map: &http::HeaderMap,
) -> Result<Option<Token>, Refusal> {
    let Source::Upstream = source else { return Ok(None) };
    let token: Option<Token> = headers::baggage(map).and_then(|text| text.parse().ok());
    let Some(token) = token.filter(|token| shared.is_own_token(*token)) else { return Ok(None) };
    match shared.active_requests.with(token, |_| ()) {
        Some(()) => Ok(Some(token)),
        None => Err(Refusal::not_run(Reason::Deadline, &shared.settings.node)),
    }
}

fn nested_context<C: Clock>(
    shared: &Shared<C>,
    parent: Token,
    rule: &CallRule,
    deadline: Instant,
) -> Option<Context> {
    shared.active_requests.with(parent, |parent| Context {
        root: parent.context.root,
        class: parent.context.class,
        deadline: deadline.min(parent.context.deadline),
        retries: RetryAllowance(0),
        depth: parent.context.depth + 1,
        idempotent: rule.idempotent,
        service: rule.service.clone(),
        run_once: rule.run_once,
        fingerprint: Fingerprint::default(),
    })
}

/// Context of a root request. One from an upstream gets at most the class `internal` and no retries of its own: it
/// may be a nested call whose upstream does not forward the baggage.
fn root_context(source: Source, rule: &CallRule, deadline: Instant) -> Context {
    let (class, retries) = match source {
        Source::Caller(_) => (rule.class, RetryAllowance(rule.retries)),
        Source::Upstream => (rule.class.min(Class::Internal), RetryAllowance(0)),
    };
    Context {
        root: RootId(rand::random()),
        class,
        deadline,
        retries,
        depth: 0,
        idempotent: rule.idempotent,
        service: rule.service.clone(),
        run_once: rule.run_once,
        fingerprint: Fingerprint::default(),
    }
}

fn forwarded_headers(source: Source, mut map: http::HeaderMap, uri: &http::Uri) -> http::HeaderMap {
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
        let previous = map.get(&X_FORWARDED_FOR).and_then(|value| value.to_str().ok());
        let chain =
            previous.map_or(address.to_string(), |previous| format!("{previous}, {address}"));
        headers::set(&mut map, X_FORWARDED_FOR, chain);
    }
    let via = map.get(header::VIA).and_then(|value| value.to_str().ok());
    let via = via.map_or(format!("1.1 {VIA_PSEUDONYM}"), |previous| {
        format!("{previous}, 1.1 {VIA_PSEUDONYM}")
    });
    headers::set(&mut map, header::VIA, via);
    map
}

/// Idempotency key of a request.
pub fn idempotency_key(head: &Head) -> Option<Key> {
    headers::parse(&head.headers, &headers::IDEMPOTENCY_KEY)
}

/// A key identifies a request whatever its body; without a key, repeats are calls with equal method, path and body.
pub fn fingerprint<C: Clock>(head: &Head, body: &RequestBody<C>) -> Fingerprint {
    if let Some(key) = head.headers.get(headers::IDEMPOTENCY_KEY) {
        return Fingerprint::of_key(key.as_bytes());
    }
    let bytes = match body {
        RequestBody::Buffered(bytes) => bytes.as_ref(),
        RequestBody::Streamed(_) => &[],
    };
    Fingerprint::of_request(head.method.as_str(), head.path.as_str(), bytes)
}
