//! The entry's side of a call to another node.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::body::{Hold, Payload};
use super::call::{self, Call, Head};
use super::outcome::{Fault, Header, Outcome, Refusal, Why};
use crate::connection::pool::{Lane, SendError};
use crate::decide::queue::Load;
use crate::platform::Platform;
use crate::process::events::Event;
use crate::process::shared::{Shared, Target};

/// Time over the deadline in which the guard's own word on it may still come: a path between regions and back.
const GRACE: Duration = Duration::from_millis(80);
/// Time for which an unused connection to another node is kept.
pub const LINK_FRESH: Duration = Duration::from_secs(20);

/// A request that was sent to a node and has not ended.
pub struct Sent<P: Platform> {
    shared: Arc<Shared<P>>,
    node: Arc<str>,
}

impl<P: Platform> Sent<P> {
    /// Counts a request as sent.
    pub fn new(shared: Arc<Shared<P>>, node: Arc<str>) -> Self {
        let now = shared.now();
        shared.peer(&node, |peer| peer.sent(now));
        Self { shared, node }
    }
}

impl<P: Platform> Drop for Sent<P> {
    fn drop(&mut self) {
        self.shared.peer(&self.node, |peer| peer.ended());
    }
}

/// Sends a call to another node.
pub async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Target,
    call: &Call,
    head: &Head,
    body: &Bytes,
) -> Outcome<P> {
    let started = shared.now();
    let node = &target.record.node;
    let sent = Sent::new(shared.clone(), node.clone());
    let patience = call.left(started) + GRACE;
    let request = request(call.header(started), head, body);
    let links = &shared.links;
    let answer = links.send(target.record.address, request, LINK_FRESH, started);
    let (response, lane) = match tokio::time::timeout(patience, answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(err)) => return lost(shared, node, &err),
        Err(_) => return Outcome::Failed(Fault::Late),
    };
    let (head, incoming) = response.into_parts();
    let answered = shared.now();
    shared.peer(node, |peer| {
        peer.answered(answered);
        if let Some(Report { load, taken }) = call::parse(&head.headers, &call::LOAD) {
            peer.reported(load, answered);
            peer.added(answered.saturating_duration_since(started), taken, answered);
        }
    });
    let Some(outcome) = call::parse(&head.headers, &call::OUTCOME) else {
        return Outcome::Failed(Fault::Foreign);
    };
    match outcome {
        Header::Answer(unrun) => {
            let hold = Hold { run: None, sent: Some(sent), lane: Some(lane) };
            let left = patience.saturating_sub(answered.saturating_duration_since(started));
            let read = read(shared, node, head, incoming, hold, unrun);
            tokio::time::timeout(left, read).await.unwrap_or(Outcome::Failed(Fault::Late))
        }
        Header::Refused(refusal) => {
            drain(shared, incoming, lane).await;
            Outcome::Refused(refusal)
        }
        Header::Failed(fault) => {
            drain(shared, incoming, lane).await;
            Outcome::Failed(fault)
        }
    }
}

async fn read<P: Platform>(
    shared: &Arc<Shared<P>>,
    node: &Arc<str>,
    mut head: response::Parts,
    incoming: Incoming,
    hold: Hold<P>,
    unrun: bool,
) -> Outcome<P> {
    match Payload::read(incoming, hold).await {
        Ok((body, hold)) => {
            if let Some(lane) = hold.and_then(|hold| hold.lane) {
                lane.give_back(shared.now());
            }
            call::strip(&mut head.headers);
            Outcome::Answer { head: Box::new(head), body, unrun }
        }
        Err(err) => {
            shared.tell(&Event::PeerLost { peer: node, why: &err.to_string() });
            Outcome::Failed(Fault::Lost)
        }
    }
}

/// Reads the empty body of an answer that is not the upstream's.
async fn drain<P: Platform>(shared: &Arc<Shared<P>>, incoming: Incoming, lane: Lane) {
    let hold = Hold::<P> { run: None, sent: None, lane: Some(lane) };
    if let Ok((_, Some(Hold { lane: Some(lane), .. }))) = Payload::read(incoming, hold).await {
        lane.give_back(shared.now());
    }
}

fn lost<P: Platform>(shared: &Arc<Shared<P>>, node: &Arc<str>, err: &SendError) -> Outcome<P> {
    let now = shared.now();
    shared.peer(node, |peer| peer.failed(now));
    shared.tell(&Event::PeerLost { peer: node, why: &err.to_string() });
    match err {
        SendError::Unsent(_) => Outcome::Refused(Refusal::new(Why::Unreachable)),
        SendError::Lost(_) => Outcome::Failed(Fault::Lost),
    }
}

fn request(header: call::Header, head: &Head, body: &Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = http::Uri::from(head.path.clone());
    *request.headers_mut() = head.headers.clone();
    call::set(request.headers_mut(), call::CALL, header);
    request
}

/// A load report as a header.
pub struct Report {
    /// Load of the upstream.
    pub load: Load,
    /// Time from the request's arrival at the node to its answer.
    pub taken: Duration,
}

impl std::fmt::Display for Report {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Load { running, waiting, limit, held } = self.load;
        write!(out, "{running}/{waiting}/{limit}/{held}/{}", self.taken.as_micros())
    }
}

impl std::str::FromStr for Report {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/');
        let mut number = || parts.next().unwrap_or_default().parse();
        let load =
            Load { running: number()?, waiting: number()?, limit: number()?, held: number()? };
        Ok(Self { load, taken: Duration::from_micros(number()?.into()) })
    }
}
