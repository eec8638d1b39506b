//! Header names, and the removal of headers that must not be forwarded.

use http::header::{self, HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};

/// Context of a call, between nodes.
pub const CONTEXT: HeaderName = HeaderName::from_static("almondknot-context");
/// Load of the upstream, in answers between nodes.
pub const REPORT: HeaderName = HeaderName::from_static("almondknot-report");
/// Highest admission level of a call and its nested calls, in answers between nodes.
pub const LEVEL: HeaderName = HeaderName::from_static("almondknot-level");
/// Unspent retries, in answers between nodes.
pub const RETURNED: HeaderName = HeaderName::from_static("almondknot-returned");
/// Callers further up must not retry.
pub const EXHAUSTED: HeaderName = HeaderName::from_static("almondknot-exhausted");
/// The only node that may run an idempotency key.
pub const HOLDER: HeaderName = HeaderName::from_static("almondknot-holder");
/// The holder of the key confirms that it never ran.
pub const NEVER_RAN: HeaderName = HeaderName::from_static("almondknot-settled");
/// The upstream crashed while it ran the request.
pub const CRASHED: HeaderName = HeaderName::from_static("almondknot-lethal");
/// Whether the request may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("almondknot-verdict");
/// Why there is no answer.
pub const REASON: HeaderName = HeaderName::from_static("almondknot-reason");
/// Node that refused.
pub const REFUSED_BY: HeaderName = HeaderName::from_static("almondknot-refused-by");
/// Time left to the caller or for the upstream, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("almondknot-deadline-ms");
/// Class of the root request, for the upstream.
pub const CLASS: HeaderName = HeaderName::from_static("almondknot-class");
/// W3C baggage; links a nested call to its parent request.
pub const BAGGAGE: HeaderName = HeaderName::from_static("baggage");

/// Idempotency key: the same each time a request is sent.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

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
    CONTEXT, REPORT, LEVEL, RETURNED, EXHAUSTED, CRASHED, HOLDER, NEVER_RAN, VERDICT, REASON,
    REFUSED_BY, CLASS,
];

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1).
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

/// Removes this system's own headers from an external message.
pub fn strip_own(headers: &mut HeaderMap) {
    for name in &OWN {
        headers.remove(name);
    }
}

/// Removes headers meant for nodes only from an answer to a caller or an upstream.
pub fn strip_node_only(headers: &mut HeaderMap) {
    for name in [&REPORT, &LEVEL, &RETURNED, &EXHAUSTED, &CRASHED, &HOLDER, &NEVER_RAN] {
        headers.remove(name);
    }
}

/// Parses a header's value.
pub fn parse<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Sets a header to a value's text form.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: impl std::fmt::Display) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}

/// Whether a status is that of a final response; one outside of the five classes (RFC 9110, section 15) is not, as no
/// client has to understand it.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Value of this system's entry in the `baggage` header.
pub fn baggage(headers: &HeaderMap) -> Option<&str> {
    let values = headers.get_all(&BAGGAGE).iter().filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .find_map(|entry| entry.trim().strip_prefix("almondknot="))
}

/// Replaces this system's entry in the `baggage` header and keeps the others.
pub fn set_baggage(headers: &mut HeaderMap, value: &str) {
    let others: Vec<String> = headers
        .get_all(&BAGGAGE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|entry| entry.trim().to_owned())
        .filter(|entry| !entry.is_empty() && !entry.starts_with("almondknot="))
        .collect();
    let own = format!("almondknot={value}");
    let all: Vec<String> = others.into_iter().chain([own]).collect();
    set(headers, BAGGAGE, all.join(","));
}
