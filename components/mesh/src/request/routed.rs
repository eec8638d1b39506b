//! What is decided about a request before it is sent: its route, tenant, parent and service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header;
use http::{HeaderValue, request};

use super::call::{self, Call, RequestHead, Root};
use crate::configuration::{Route, Tenant};
use crate::decide::{budget, parents};
use crate::platform::Platform;
use crate::process::shared::{Shared, lock};

/// A request with its route and everything else that is decided before sending it.
pub struct RoutedRequest {
    /// The matching route.
    pub route: Arc<Route>,
    /// The tenant that sends it, if any.
    pub tenant: Option<Arc<Tenant>>,
    /// Attributes sent to the guard.
    pub call: Call,
    /// When the request arrived.
    pub started: Instant,
    /// The caller's own timeout, which bounds the delay before a retry.
    pub caller_timeout: Duration,
    /// Running request of the upstream that this call is made for.
    pub parent: Option<parents::Key>,
}

/// Host that a request names.
pub fn host(parts: &request::Parts) -> &str {
    let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    named.or_else(|| parts.uri.host()).unwrap_or_default()
}

/// The caller's own timeout; that of the route if it names none.
pub fn caller_timeout<P: Platform>(
    shared: &Shared<P>,
    route: &Route,
    parts: &request::Parts,
) -> Duration {
    let names = shared.platform.headers();
    let requested = call::parse_header(&parts.headers, &names.deadline).map(Duration::from_millis);
    requested.unwrap_or(route.timeout)
}

/// Finds the parent and the service of a request that arrived at `now`.
pub fn resolve<P: Platform>(
    shared: &Shared<P>,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
    parts: &request::Parts,
    now: Instant,
) -> RoutedRequest {
    let caller_timeout = caller_timeout(shared, &route, parts);
    let priority = priority(&route, tenant.as_deref());
    let (internal, class) = {
        let mut traffic = lock(&shared.traffic);
        let class = traffic.classify(&route.name, route.priority, priority);
        let internal = traffic.admission.is_internal(&route.name);
        if internal || tenant.is_none() {
            traffic.record_arrival(&class, now);
        }
        (internal, class)
    };
    let parent = if internal { find_parent(shared, &route, caller_timeout, now) } else { None };
    let (parent, root) = match parent {
        Some((key, root)) => (Some(key), root),
        None => {
            let target_time = now + route.target_latency;
            let number = rand::random_range(0..budget::UNKNOWN);
            (None, Root { route: class, priority, target_time, number })
        }
    };
    let service = pick_service(shared, &route);
    let call = Call {
        root,
        service,
        caller: shared.settings.service.clone(),
        deadline: now + caller_timeout.min(route.timeout),
        max_wait: Duration::ZERO,
        idempotent: route.idempotent,
        internal,
    };
    RoutedRequest { route, tenant, call, started: now, caller_timeout, parent }
}

/// Priority of a root request: a tenant's priority goes before that of the route.
fn priority(route: &Route, tenant: Option<&Tenant>) -> u8 {
    tenant.map_or(route.priority, |tenant| tenant.priority_on(route))
}

/// Finds the running request of the upstream that a call is made for. If that is a guess, its tree counts as unknown for
/// retries.
fn find_parent<P: Platform>(
    shared: &Shared<P>,
    route: &Route,
    left: Duration,
    now: Instant,
) -> Option<(parents::Key, Root)> {
    if let [only] = &route.services[..] {
        let mut limits = lock(&shared.call_limits);
        let limit = limits.entry(only.service.clone()).or_default();
        *limit = left.max(*limit);
    }
    let mut parents = lock(&shared.parents);
    if let Some((key, root)) = parents.match_deadline(left, now) {
        return Some((key, root.clone()));
    }
    let (key, root) = parents.most_likely(left, now)?;
    Some((key, Root { number: budget::UNKNOWN, ..root.clone() }))
}

fn pick_service<P: Platform>(shared: &Shared<P>, route: &Route) -> Arc<str> {
    if let [only] = &route.services[..] {
        return only.service.clone();
    }
    let weights: Vec<u32> = route.services.iter().map(|service| service.weight).collect();
    let mut splits = lock(&shared.splits);
    let next = splits.entry(route.name.clone()).or_default().next(&weights);
    route.services[next].service.clone()
}

/// The head that is passed on; `None` if the request has no path. Where the configuration has tenants, what the caller
/// says of its tenant and its key go no further.
pub fn forwarded_head<P: Platform>(
    shared: &Shared<P>,
    mut parts: request::Parts,
    id: HeaderValue,
    no_body: bool,
    has_tenants: bool,
    tenant: Option<&Tenant>,
) -> Option<RequestHead> {
    let names = shared.platform.headers();
    let path = parts.uri.path_and_query().cloned()?;
    call::strip_headers(&mut parts.headers);
    // Also if the caller lists it in `Connection`, or sends several: the answer has to name this one.
    parts.headers.insert(&names.id, id.clone());
    for name in [&names.deadline, &names.incarnation, &names.caller] {
        parts.headers.remove(name);
    }
    if has_tenants {
        parts.headers.remove(&names.key);
        parts.headers.remove(&names.tenant);
        if let Some(tenant) = tenant {
            parts.headers.insert(&names.tenant, tenant.header.clone());
        }
    }
    if !no_body || parts.headers.contains_key(header::CONTENT_LENGTH) {
        // The body is buffered; its length is set when it is sent.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    Some(RequestHead { method: parts.method, path, headers: parts.headers, id })
}
