//! What is decided about a call before anything is sent: its rule, its context, and the headers that go on.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderName};
use quarantine::Fingerprint;
use reservation::Key;
use retries::Allowance;
use rules::{CallRule, Class};
use units::{Clock, RootId};
use verdict::{Reason, Refusal};
use xxhash_rust::xxh3;

use super::attempt::Head;
use super::body::Kept;
use super::context::Context;
use super::headers;
use super::parent::Token;
use crate::process::shared::Shared;
use crate::version::Active;

const VIA: &str = "almondknot";
const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Where a call comes from.
#[derive(Debug, Clone, Copy)]
pub enum Source {
    /// A caller outside the system.
    Caller(IpAddr),
    /// The upstream beside this node.
    Upstream,
}

/// A call with everything that was decided before it is sent.
pub struct Call {
    /// What it carries.
    pub context: Context,
    /// The request of the upstream that it is made for.
    pub parent: Option<Token>,
    /// The rule that it falls under.
    pub rule: Arc<CallRule>,
    /// Names the rule in what is learned about it.
    pub key: u64,
    /// Method, path and headers.
    pub head: Head,
}

/// Finds the rule and draws up the context.
pub fn plan<C: Clock>(
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

/// The key of a request.
pub fn key(head: &Head) -> Option<Key> {
    headers::parse(&head.headers, &headers::KEY)
}

/// A key names a request whatever its body; without one the same call with the same body counts as the same.
pub fn fingerprint<C: Clock>(head: &Head, body: &Kept<C>) -> Fingerprint {
    if let Some(key) = head.headers.get(headers::KEY) {
        return Fingerprint::of_key(key.as_bytes());
    }
    let bytes = match body {
        Kept::Whole(bytes) => bytes.as_ref(),
        Kept::Once(_) => &[],
    };
    Fingerprint::of_request(head.method.as_str(), head.path.as_str(), bytes)
}
