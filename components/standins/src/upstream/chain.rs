//! The calls that an upstream makes further down the chain.

use std::str;

use bytes::Bytes;
use http_body_util::Full;
use serde_json::Value;

use super::Upstream;
use crate::client;

/// Headers that tie a call to the request it is made for, and the request's own id.
const FORWARDED: [&str; 2] = ["baggage", "standin-id"];

/// A call made for each request, such as `GET:/stock`, or for some, such as `GET:/stock@/prices`.
#[derive(Debug, Clone)]
pub struct Child {
    method: http::Method,
    path: String,
    /// Path prefix of the requests that it is made for.
    only: String,
}

impl str::FromStr for Child {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || format!("`{text}` is not METHOD:/path");
        let (method, path) = text.split_once(':').ok_or_else(wrong)?;
        let (path, only) = path.split_once('@').unwrap_or((path, "/"));
        let method = method.parse().map_err(|_| wrong())?;
        Ok(Self { method, path: path.to_owned(), only: only.to_owned() })
    }
}

/// Makes every call, one after the other; `None` when one has no whole answer.
pub async fn call_all(
    upstream: &Upstream,
    path: &str,
    headers: &http::HeaderMap,
) -> Option<Vec<Value>> {
    let mut answers = Vec::new();
    for child in upstream.plan.children.iter().filter(|child| path.starts_with(&child.only)) {
        answers.push(call(upstream, child, headers).await?);
    }
    Some(answers)
}

async fn call(upstream: &Upstream, child: &Child, headers: &http::HeaderMap) -> Option<Value> {
    let node = upstream.plan.node?;
    let mut request = http::Request::builder()
        .method(child.method.clone())
        .uri(format!("http://{node}{}", child.path));
    for name in FORWARDED {
        if let Some(value) = headers.get(name) {
            request = request.header(name, value);
        }
    }
    if let Some(key) = headers.get("idempotency-key").and_then(|key| key.to_str().ok()) {
        request = request.header("idempotency-key", format!("{}.{key}", &child.path[1..]));
    }
    let answer =
        client::send(&upstream.http, request.body(Full::<Bytes>::default()).ok()?).await.ok()??;
    let body: Value = serde_json::from_slice(&answer.body).ok()?;
    (answer.head.status.is_success() && body["whole"] == true).then_some(body)
}
