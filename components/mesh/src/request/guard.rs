//! The guard's side of a call: whether it runs, the run at the upstream, and whether what comes back is its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header;
use http::{Request, Response, response};
use http_body_util::Full;
use hyper::body::Incoming;
use quarantine::Fingerprint;

use super::body::{Hold, Payload};
use super::call::{self, Call, Head};
use super::outcome::{Fault, Outcome, Refusal, Why};
use crate::connection::pool::{Lane, SendError};
use crate::connection::socket;
use crate::decide::family;
use crate::decide::queue::Offer;
use crate::platform::{Beat, Platform};
use crate::process::events::Event;
use crate::process::gate::Entry;
use crate::process::shared::{Shared, lock};

/// Time over the deadline in which the upstream's own word on it may still come.
const GRACE: Duration = Duration::from_millis(40);
/// Least time in which an upstream can answer anything.
const LEAST: Duration = Duration::from_millis(10);
/// Time for which an unused connection to the upstream is kept where the upstream doesn't say.
const LANE_FRESH: Duration = Duration::from_secs(5);
/// The same for requests that can't be sent again if the connection turns out to be closed.
const LANE_FRESH_UNSAFE: Duration = Duration::from_millis(1_500);
/// Time in which a dead upstream refuses a connection.
const PROBE: Duration = Duration::from_millis(100);

/// A slot of the upstream that is held.
pub struct Run<P: Platform> {
    shared: Arc<Shared<P>>,
    route: Arc<str>,
    since: Instant,
    key: family::Key,
    /// The answer came, so the time that it took says something.
    pub whole: bool,
}

impl<P: Platform> Drop for Run<P> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let held = now.saturating_duration_since(self.since);
        lock(&self.shared.family).end(self.key);
        lock(&self.shared.intake).used(&self.route, held, now);
        if self.whole {
            self.shared.metrics.held.observe(held.as_secs_f64());
        }
        self.shared.gate.finish(held, self.whole);
    }
}

/// Runs a call at the upstream beside this node, if there is room for it.
pub async fn serve<P: Platform>(
    shared: &Arc<Shared<P>>,
    call: &Call,
    head: &Head,
    body: &Bytes,
) -> Outcome<P> {
    let print = fingerprint(call, head, body);
    if lock(&shared.suspects).holds(print) {
        return Outcome::Failed(Fault::Quarantined);
    }
    if let Err(refusal) = pin(shared, call) {
        return Outcome::Refused(refusal);
    }
    if let Err(refusal) = admit(shared, call, head).await {
        return Outcome::Refused(refusal);
    }
    let now = shared.now();
    let (key, left) = {
        let mut family = lock(&shared.family);
        family.start(call.left(now), now, call.root.clone(), call.called)
    };
    let route = call.root.route.clone();
    let run = Run { shared: shared.clone(), route, since: now, key, whole: false };
    // It may have waited: the upstream may have begun to leave meanwhile.
    let upstream = match pin(shared, call) {
        Ok(upstream) if left >= LEAST => upstream,
        Ok(_) => return Outcome::Refused(Refusal::new(Why::Deadline)),
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let request = request(shared, call, head, body, &upstream, left);
    let fresh = if call.idempotent { LANE_FRESH } else { LANE_FRESH_UNSAFE };
    let answer = shared.lanes.send(shared.place.upstream, request, fresh, now);
    let sent = match tokio::time::timeout(left + GRACE, answer).await {
        Ok(Ok((response, lane))) => {
            let rest = (left + GRACE).saturating_sub(shared.now().saturating_duration_since(now));
            let read = read(shared, head, response, lane, run);
            tokio::time::timeout(rest, read).await.unwrap_or(Err(Broken::Late))
        }
        Ok(Err(SendError::Unsent(why))) => Err(Broken::Unsent(why)),
        Ok(Err(SendError::Lost(why))) => Err(Broken::Lost(why)),
        Err(_) => Err(Broken::Late),
    };
    match sent {
        Ok(outcome) => outcome,
        Err(broken) => fail(shared, head, &upstream, print, &broken, now).await,
    }
}

/// How a run ended without an answer.
enum Broken {
    Unsent(String),
    Lost(String),
    Foreign,
    Late,
}

/// The upstream, if it may be sent such a request now.
fn pin<P: Platform>(shared: &Shared<P>, call: &Call) -> Result<Beat, Refusal> {
    let upstream = lock(&shared.upstream);
    let known = upstream.known().filter(|beat| *beat.service == *call.service);
    if known.is_none() {
        return Err(Refusal::new(Why::NoUpstream));
    }
    upstream.pin(shared.moment()).cloned().ok_or_else(|| Refusal::new(Why::Leaving))
}

async fn admit<P: Platform>(
    shared: &Arc<Shared<P>>,
    call: &Call,
    head: &Head,
) -> Result<(), Refusal> {
    let now = shared.now();
    let Call { root, until, patience, .. } = call;
    let offer = Offer { rank: root.rank, due: root.due, until: *until, patience: *patience };
    let (why, wait) = match shared.gate.enter(offer, now) {
        Entry::Run => return Ok(()),
        Entry::Full(wait) => (Why::Full, wait),
        Entry::Wait(waiter) => {
            let got = waiter.turn(*until).await;
            let waited = shared.now().saturating_duration_since(now);
            shared.metrics.waited.observe(waited.as_secs_f64());
            if got {
                return Ok(());
            }
            (Why::Deadline, waited)
        }
    };
    shared.metrics.turned.with_label_values(&[why.as_str()]).inc();
    let load = shared.gate.load();
    shared.tell(&Event::Turned {
        id: head.id.to_str().unwrap_or_default(),
        why: why.as_str(),
        running: load.running,
        waiting: load.waiting,
        limit: load.limit,
        wait_ms: wait.as_millis() as u64,
    });
    Err(Refusal { why, wait })
}

fn request<P: Platform>(
    shared: &Shared<P>,
    call: &Call,
    head: &Head,
    body: &Bytes,
    upstream: &Beat,
    left: Duration,
) -> Request<Full<Bytes>> {
    let names = shared.platform.headers();
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = http::Uri::from(head.path.clone());
    let mut map = head.headers.clone();
    call::set(&mut map, names.deadline.clone(), left.as_millis());
    call::set(&mut map, names.pin.clone(), &upstream.id);
    call::set(&mut map, names.caller.clone(), &call.caller);
    *request.headers_mut() = map;
    request
}

/// Reads the answer, which has to be the one to this request.
async fn read<P: Platform>(
    shared: &Arc<Shared<P>>,
    head: &Head,
    response: Response<Incoming>,
    lane: Lane,
    mut run: Run<P>,
) -> Result<Outcome<P>, Broken> {
    let names = shared.platform.headers();
    let (mut parts, incoming) = response.into_parts();
    let unrun = parts.headers.contains_key(&names.unrun);
    match parts.headers.get(&names.id) {
        Some(id) if *id == head.id => {}
        None if unrun => {}
        _ => return Err(Broken::Foreign),
    }
    if parts.status.is_informational() || parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Err(Broken::Foreign);
    }
    run.whole = !unrun && !parts.status.is_server_error();
    let reusable = !closes(&parts);
    let hold = Hold { run: Some(run), sent: None, lane: Some(lane) };
    let (body, hold) =
        Payload::read(incoming, hold).await.map_err(|err| Broken::Lost(err.to_string()))?;
    if let Some(Hold { lane: Some(lane), .. }) = hold
        && reusable
    {
        lane.give_back(shared.now());
    }
    call::strip(&mut parts.headers);
    Ok(Outcome::Answer { head: Box::new(parts), body, unrun })
}

fn closes(parts: &response::Parts) -> bool {
    let named = parts.headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    named.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

async fn fail<P: Platform>(
    shared: &Arc<Shared<P>>,
    head: &Head,
    upstream: &Beat,
    print: Fingerprint,
    broken: &Broken,
    since: Instant,
) -> Outcome<P> {
    let (why, detail) = match broken {
        Broken::Unsent(detail) => ("unsent", detail.as_str()),
        Broken::Lost(detail) => ("lost", detail.as_str()),
        Broken::Foreign => ("foreign", "another answer came"),
        Broken::Late => ("late", "no answer in time"),
    };
    shared.tell(&Event::Broken {
        id: head.id.to_str().unwrap_or_default(),
        upstream: &upstream.id,
        why: detail,
        after_ms: shared.now().saturating_duration_since(since).as_millis() as u64,
    });
    shared.metrics.turned.with_label_values(&[why]).inc();
    match broken {
        Broken::Unsent(_) => {
            shared.lanes.close(shared.place.upstream);
            Outcome::Refused(Refusal::new(Why::Unreachable))
        }
        Broken::Lost(_) => {
            let gone = socket::connect(None, shared.place.upstream, PROBE).await.is_err();
            if gone {
                shared.suspect(print, upstream.born);
            }
            Outcome::Failed(if gone { Fault::Died } else { Fault::Lost })
        }
        Broken::Foreign => Outcome::Failed(Fault::Foreign),
        Broken::Late => Outcome::Failed(Fault::Late),
    }
}

/// The same caller, path and body make the same request, sent again.
fn fingerprint(call: &Call, head: &Head, body: &Bytes) -> Fingerprint {
    Fingerprint::of_request(&call.caller, head.path.as_str(), body)
}
