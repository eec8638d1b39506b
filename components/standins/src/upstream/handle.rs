//! Handling of one request by an upstream.

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

const COLD_SLOWDOWN_FACTOR: f64 = 4.0;
const CRASH_EXIT_CODE: i32 = 3;
const MAX_BODY_BYTES: usize = 16 << 20;
const LOAD_PATH: &str = "/_load";
const DEADLINE_HEADER: &str = "almondknot-deadline-ms";

/// Handles one request. The future is dropped when the caller disconnects, which poem's server would not do.
pub async fn handle(upstream: &Arc<Upstream>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    if head.uri.path() == LOAD_PATH {
        return json_response(StatusCode::OK, &serde_json::json!(upstream.reported_load()));
    }
    lock(&upstream.stats).record_arrival(header(&head, "standin-id"));
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return refuse(upstream, StatusCode::BAD_REQUEST);
    };
    if refusal_sample(&head) < lock(&upstream.faults).refuse {
        return refuse(upstream, StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(_slot) = acquire_slot(upstream, &head).await else {
        return refuse(upstream, StatusCode::SERVICE_UNAVAILABLE);
    };
    run_request(upstream, &head, body.to_bytes().len()).await
}

fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn run_request(
    upstream: &Arc<Upstream>,
    head: &Parts,
    body_size: usize,
) -> Response<Full<Bytes>> {
    let id = header(head, "standin-id");
    let at = upstream.started.elapsed().as_millis() as u64;
    lock(&upstream.stats).record_start(id, header(head, "idempotency-key"), at);
    let mut run =
        Run { upstream, id, started: Instant::now(), service_time: None, finished: false };
    if header(head, "standin-crash").is_some() && lock(&upstream.faults).crash {
        std::process::exit(CRASH_EXIT_CODE);
    }
    tokio::time::sleep(service_time(upstream)).await;
    run.service_time = Some(run.started.elapsed());
    let children = chain::call_all(upstream, head.uri.path(), &head.headers).await;
    run.finished = true;
    let Some(children) = children else {
        lock(&upstream.stats).failed += 1;
        return json_response(StatusCode::BAD_GATEWAY, &serde_json::json!({ "whole": false }));
    };
    lock(&upstream.stats).finished += 1;
    let mut body = serde_json::json!({
        "id": id,
        "service": upstream.config.service,
        "size": body_size,
        "children": children,
        "whole": true,
    });
    if header(head, "standin-echo").is_some() {
        let headers = head.headers.iter().map(|(name, value)| {
            (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned().into())
        });
        body["headers"] = serde_json::Value::Object(headers.collect());
    }
    json_response(StatusCode::OK, &body)
}

/// Waits for a slot until the deadline; `None` if none gets free in time.
async fn acquire_slot<'a>(upstream: &'a Upstream, head: &Parts) -> Option<SemaphorePermit<'a>> {
    if let Ok(permit) = upstream.slots.try_acquire() {
        return Some(permit);
    }
    if lock(&upstream.faults).shed {
        return None;
    }
    let deadline =
        header(head, DEADLINE_HEADER).and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let _waiting = WaitingGuard::new(&upstream.waiting);
    let acquired = upstream.slots.acquire();
    match deadline {
        Some(deadline) => tokio::time::timeout(deadline, acquired).await.ok()?.ok(),
        None => acquired.await.ok(),
    }
}

/// Returns a number from 0 to 1 that differs between the attempts of a request, but not between test runs.
fn refusal_sample(head: &Parts) -> f64 {
    let text = header(head, "baggage").unwrap_or_default();
    let mut hasher = std::hash::DefaultHasher::new();
    std::hash::Hash::hash(text, &mut hasher);
    std::hash::Hasher::finish(&hasher) as f64 / u64::MAX as f64
}

/// Draws a service time: half of the mean is fixed, and half is the mean of an exponential distribution.
fn service_time(upstream: &Upstream) -> Duration {
    let uniform: f64 = lock(&upstream.rng).random();
    let slowdown = lock(&upstream.faults).slow;
    let cold_slowdown = if upstream.started.elapsed() < upstream.config.cold_time {
        COLD_SLOWDOWN_FACTOR
    } else {
        1.0
    };
    let factor = 0.5 - 0.5 * (1.0 - uniform).ln();
    upstream.config.service_time.mul_f64(factor * slowdown * cold_slowdown)
}

fn refuse(upstream: &Upstream, status: StatusCode) -> Response<Full<Bytes>> {
    lock(&upstream.stats).refused += 1;
    let mut response = json_response(status, &serde_json::json!({ "whole": false }));
    response.headers_mut().insert("almondknot-verdict", HeaderValue::from_static("not-run"));
    response
}

/// Counts a request as waiting until dropped.
struct WaitingGuard<'a>(&'a AtomicU32);

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that holds a slot. When dropped, it records its times, and counts as cancelled unless it has finished.
struct Run<'a> {
    upstream: &'a Upstream,
    id: Option<&'a str>,
    started: Instant,
    /// Time until the first of its own calls.
    service_time: Option<Duration>,
    finished: bool,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let held = self.started.elapsed();
        let service_time = self.service_time.unwrap_or(held);
        let mut stats = lock(&self.upstream.stats);
        stats.held_us += held.as_micros() as u64;
        if let Some(id) = self.id {
            *stats.work_us.entry(id.to_owned()).or_default() += service_time.as_micros() as u64;
        }
        stats.cancelled += u64::from(!self.finished);
    }
}
