//! Names of headers, and which of them go no further than one hop.

use http::HeaderMap;
use http::header::{self, HeaderName, HeaderValue};

/// Context of a call, between nodes.
pub const CONTEXT: HeaderName = HeaderName::from_static("almondknot-context");
/// Load of the upstream, on answers between nodes.
pub const REPORT: HeaderName = HeaderName::from_static("almondknot-report");
/// Admission level of the chain, on answers between nodes.
pub const LEVEL: HeaderName = HeaderName::from_static("almondknot-level");
/// Retries that were not spent, on answers between nodes.
pub const RETURNED: HeaderName = HeaderName::from_static("almondknot-returned");
/// Nobody above should retry.
pub const EXHAUSTED: HeaderName = HeaderName::from_static("almondknot-exhausted");
/// The node that alone may run a key.
pub const HOLDER: HeaderName = HeaderName::from_static("almondknot-holder");
/// The holder of the key says that it never ran.
pub const SETTLED: HeaderName = HeaderName::from_static("almondknot-settled");
/// The upstream died while it ran the request.
pub const LETHAL: HeaderName = HeaderName::from_static("almondknot-lethal");
/// Whether the request may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("almondknot-verdict");
/// Why there is no answer.
pub const REASON: HeaderName = HeaderName::from_static("almondknot-reason");
/// The node that refused.
pub const REFUSED_BY: HeaderName = HeaderName::from_static("almondknot-refused-by");
/// Time that a caller has, or an upstream gets, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("almondknot-deadline-ms");
/// Class of the root request, for the upstream.
pub const CLASS: HeaderName = HeaderName::from_static("almondknot-class");
/// W3C baggage, which ties a call to the request it is made for.
pub const BAGGAGE: HeaderName = HeaderName::from_static("baggage");

/// Key that names a request however often it is sent.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const OWN: [HeaderName; 12] = [
    CONTEXT, REPORT, LEVEL, RETURNED, EXHAUSTED, LETHAL, HOLDER, SETTLED, VERDICT, REASON,
    REFUSED_BY, CLASS,
];

/// Removes headers that concern one connection only (RFC 9110, section 7.6.1).
pub fn strip_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes this system's own headers from what comes from outside.
pub fn strip_own(headers: &mut HeaderMap) {
    for name in &OWN {
        headers.remove(name);
    }
}

/// Removes what only nodes need from an answer to a caller or an upstream.
pub fn strip_internal(headers: &mut HeaderMap) {
    for name in [&REPORT, &LEVEL, &RETURNED, &EXHAUSTED, &LETHAL, &HOLDER, &SETTLED] {
        headers.remove(name);
    }
}

/// Parses the text of a header.
pub fn parse<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Sets a header from something that prints as plain text.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: impl std::fmt::Display) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}

/// Value of this system's member of a `baggage` header.
pub fn baggage(headers: &HeaderMap) -> Option<&str> {
    let members = headers.get_all(&BAGGAGE).iter().filter_map(|value| value.to_str().ok());
    members
        .flat_map(|value| value.split(','))
        .find_map(|member| member.trim().strip_prefix("almondknot="))
}

/// Replaces this system's member of the `baggage` header and keeps the others.
pub fn set_baggage(headers: &mut HeaderMap, value: &str) {
    let others: Vec<String> = headers
        .get_all(&BAGGAGE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|member| member.trim().to_owned())
        .filter(|member| !member.is_empty() && !member.starts_with("almondknot="))
        .collect();
    let own = format!("almondknot={value}");
    let all: Vec<String> = others.into_iter().chain([own]).collect();
    set(headers, BAGGAGE, all.join(","));
}
