//! Calls that an upstream makes to other services.

use std::str;

use bytes::Bytes;
use http_body_util::Full;
use serde_json::Value;

use super::Upstream;
use crate::client;

/// Headers copied to each call: the context of the request and its id.
const FORWARDED_HEADERS: [&str; 2] = ["baggage", "standin-id"];

/// A call made for each request, such as `GET:/stock`, or for each request below a path, such as `GET:/stock@/prices`.
#[derive(Debug, Clone)]
pub struct ChildCall {
    method: http::Method,
    path: String,
    /// Path prefix of the requests for which the call is made.
    prefix: String,
}

impl str::FromStr for ChildCall {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("`{text}` is not METHOD:/path");
        let (method, path) = text.split_once(':').ok_or_else(invalid)?;
        let (path, prefix) = path.split_once('@').unwrap_or((path, "/"));
        let method = method.parse().map_err(|_| invalid())?;
        Ok(Self { method, path: path.to_owned(), prefix: prefix.to_owned() })
    }
}

/// Makes every call in order and returns the responses; `None` if one fails or its response is incomplete.
pub async fn call_all(
    upstream: &Upstream,
    path: &str,
    headers: &http::HeaderMap,
) -> Option<Vec<Value>> {
    let mut responses = Vec::new();
    for child in upstream.config.children.iter().filter(|child| path.starts_with(&child.prefix)) {
        responses.push(send_call(upstream, child, headers).await?);
    }
    Some(responses)
}

async fn send_call(
    upstream: &Upstream,
    child: &ChildCall,
    headers: &http::HeaderMap,
) -> Option<Value> {
    let node = upstream.config.node?;
    let mut request = http::Request::builder()
        .method(child.method.clone())
        .uri(format!("http://{node}{}", child.path));
    for name in FORWARDED_HEADERS {
        if let Some(value) = headers.get(name) {
            request = request.header(name, value);
        }
    }
    if let Some(key) = headers.get("idempotency-key").and_then(|key| key.to_str().ok()) {
        request = request.header("idempotency-key", format!("{}.{key}", &child.path[1..]));
    }
    let response =
        client::send(&upstream.http, request.body(Full::<Bytes>::default()).ok()?).await.ok()??;
    let body: Value = serde_json::from_slice(&response.body).ok()?;
    (response.head.status.is_success() && body["whole"] == true).then_some(body)
}
