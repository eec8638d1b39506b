//! One request at an upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use super::{Upstream, chain, lock};

const COLD_SLOWDOWN: f64 = 4.0;
const CRASH_CODE: i32 = 3;
const LARGEST_BODY: usize = 16 << 20;
const LOAD_PATH: &str = "/_load";
const DEADLINE_HEADER: &str = "almondknot-deadline-ms";

/// Serves one request. It is dropped when its caller leaves, which poem's server would not do.
pub async fn call(upstream: &Arc<Upstream>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    if head.uri.path() == LOAD_PATH {
        return answer(StatusCode::OK, &serde_json::json!(upstream.told_load()));
    }
    lock(&upstream.witness).arrive(header(&head, "standin-id"));
    let Ok(body) = Limited::new(body, LARGEST_BODY).collect().await else {
        return refuse(upstream, StatusCode::BAD_REQUEST);
    };
    if chance(&head) < lock(&upstream.faults).refuse {
        return refuse(upstream, StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(_slot) = slot(upstream, &head).await else {
        return refuse(upstream, StatusCode::SERVICE_UNAVAILABLE);
    };
    run(upstream, &head, body.to_bytes().len()).await
}

fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn answer(status: StatusCode, body: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn run(upstream: &Arc<Upstream>, head: &Parts, size: usize) -> Response<Full<Bytes>> {
    let id = header(head, "standin-id");
    let at = upstream.started.elapsed().as_millis() as u64;
    lock(&upstream.witness).start(id, header(head, "idempotency-key"), at);
    let mut held = Held { upstream, id, since: Instant::now(), worked: None, finished: false };
    if header(head, "standin-crash").is_some() && lock(&upstream.faults).crash {
        std::process::exit(CRASH_CODE);
    }
    tokio::time::sleep(service_time(upstream)).await;
    held.worked = Some(held.since.elapsed());
    let children = chain::call_all(upstream, head.uri.path(), &head.headers).await;
    held.finished = true;
    let Some(children) = children else {
        lock(&upstream.witness).failed += 1;
        return answer(StatusCode::BAD_GATEWAY, &serde_json::json!({ "whole": false }));
    };
    lock(&upstream.witness).finished += 1;
    let mut body = serde_json::json!({
        "id": id,
        "service": upstream.plan.service,
        "size": size,
        "children": children,
        "whole": true,
    });
    if header(head, "standin-echo").is_some() {
        let seen = head.headers.iter().map(|(name, value)| {
            (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned().into())
        });
        body["headers"] = serde_json::Value::Object(seen.collect());
    }
    answer(StatusCode::OK, &body)
}

/// Waits for a slot, no longer than the deadline; `None` when there is none in time.
async fn slot<'a>(upstream: &'a Upstream, head: &Parts) -> Option<SemaphorePermit<'a>> {
    if let Ok(permit) = upstream.slots.try_acquire() {
        return Some(permit);
    }
    if lock(&upstream.faults).shed {
        return None;
    }
    let deadline =
        header(head, DEADLINE_HEADER).and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let _waiting = Waiting::new(&upstream.waiting);
    let acquired = upstream.slots.acquire();
    match deadline {
        Some(deadline) => tokio::time::timeout(deadline, acquired).await.ok()?.ok(),
        None => acquired.await.ok(),
    }
}

/// A number from 0 to 1 that differs from try to try of a request, and from run to run not at all.
fn chance(head: &Parts) -> f64 {
    let text = header(head, "baggage").unwrap_or_default();
    let mut hasher = std::hash::DefaultHasher::new();
    std::hash::Hash::hash(text, &mut hasher);
    std::hash::Hasher::finish(&hasher) as f64 / u64::MAX as f64
}

/// Half of the time is fixed and half is exponentially distributed.
fn service_time(upstream: &Upstream) -> Duration {
    let uniform: f64 = lock(&upstream.random).random();
    let slow = lock(&upstream.faults).slow;
    let cold = if upstream.started.elapsed() < upstream.plan.cold { COLD_SLOWDOWN } else { 1.0 };
    let spread = 0.5 - 0.5 * (1.0 - uniform).ln();
    upstream.plan.time.mul_f64(spread * slow * cold)
}

fn refuse(upstream: &Upstream, status: StatusCode) -> Response<Full<Bytes>> {
    lock(&upstream.witness).refused += 1;
    let mut response = answer(status, &serde_json::json!({ "whole": false }));
    response.headers_mut().insert("almondknot-verdict", HeaderValue::from_static("not-run"));
    response
}

/// Counts a request that waits, until it is dropped.
struct Waiting<'a>(&'a AtomicU32);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A run in its slot; dropped unfinished when the caller leaves.
struct Held<'a> {
    upstream: &'a Upstream,
    id: Option<&'a str>,
    since: Instant,
    /// Time until it began to call others.
    worked: Option<Duration>,
    finished: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let held = self.since.elapsed();
        let worked = self.worked.unwrap_or(held);
        let mut witness = lock(&self.upstream.witness);
        witness.held += held.as_micros() as u64;
        if let Some(id) = self.id {
            *witness.work.entry(id.to_owned()).or_default() += worked.as_micros() as u64;
        }
        witness.cancelled += u64::from(!self.finished);
    }
}
