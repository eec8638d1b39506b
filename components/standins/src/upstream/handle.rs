//! One request at an upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::Data;
use poem::{Request, Response, handler};
use rand::RngExt;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use super::{Upstream, chain, lock};

const COLD_SLOWDOWN: f64 = 4.0;
const CRASH_CODE: i32 = 3;
const LARGEST_BODY: usize = 16 << 20;
const DEADLINE_HEADER: &str = "almondknot-deadline-ms";

/// Serves any call.
#[handler]
pub async fn call(upstream: Data<&Arc<Upstream>>, request: &Request, body: poem::Body) -> Response {
    let upstream = &**upstream;
    lock(&upstream.witness).arrive(request.header("standin-id"));
    let Ok(body) = body.into_bytes_limit(LARGEST_BODY).await else {
        return refuse(upstream, StatusCode::BAD_REQUEST);
    };
    if chance(request) < lock(&upstream.faults).refuse {
        return refuse(upstream, StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(_slot) = slot(upstream, request).await else {
        return refuse(upstream, StatusCode::SERVICE_UNAVAILABLE);
    };
    run(upstream, request, body.len()).await
}

async fn run(upstream: &Arc<Upstream>, request: &Request, size: usize) -> Response {
    let id = request.header("standin-id");
    let at = upstream.started.elapsed().as_millis() as u64;
    lock(&upstream.witness).start(id, request.header("idempotency-key"), at);
    let mut held = Held { upstream, id, since: Instant::now(), worked: None, finished: false };
    if request.header("standin-crash").is_some() && lock(&upstream.faults).crash {
        std::process::exit(CRASH_CODE);
    }
    tokio::time::sleep(service_time(upstream)).await;
    held.worked = Some(held.since.elapsed());
    let children = chain::call_all(upstream, request.uri().path(), request.headers()).await;
    held.finished = true;
    let Some(children) = children else {
        lock(&upstream.witness).failed += 1;
        return Response::builder().status(StatusCode::BAD_GATEWAY).body("{\"whole\":false}");
    };
    lock(&upstream.witness).finished += 1;
    let answer = serde_json::json!({
        "id": id,
        "service": upstream.plan.service,
        "size": size,
        "children": children,
        "whole": true,
    });
    Response::builder().content_type("application/json").body(answer.to_string())
}

/// Waits for a slot, no longer than the deadline; `None` when there is none in time.
async fn slot<'a>(upstream: &'a Upstream, request: &Request) -> Option<SemaphorePermit<'a>> {
    if let Ok(permit) = upstream.slots.try_acquire() {
        return Some(permit);
    }
    if lock(&upstream.faults).shed {
        return None;
    }
    let deadline = request
        .header(DEADLINE_HEADER)
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    let _waiting = Waiting::new(&upstream.waiting);
    let acquired = upstream.slots.acquire();
    match deadline {
        Some(deadline) => tokio::time::timeout(deadline, acquired).await.ok()?.ok(),
        None => acquired.await.ok(),
    }
}

/// A number from 0 to 1 that differs from try to try of a request, and from run to run not at all.
fn chance(request: &Request) -> f64 {
    let text = request.header("baggage").unwrap_or_default();
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

fn refuse(upstream: &Upstream, status: StatusCode) -> Response {
    lock(&upstream.witness).refused += 1;
    Response::builder()
        .status(status)
        .header("almondknot-verdict", "not-run")
        .body("{\"whole\":false}")
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
