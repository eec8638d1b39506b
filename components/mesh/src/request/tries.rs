//! Sending a request to one guard after the other, until there is an answer or a reason to stop.

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{StatusCode, response};

use super::body::Payload;
use super::call::{Call, Head};
use super::entry::Plan;
use super::outcome::{Fault, Outcome, Refusal, Why};
use super::{guard, peer};
use crate::platform::Platform;
use crate::process::events::Event;
use crate::process::shared::{Shared, Target, lock};

/// Guards that are asked for room before the caller is told that there is none.
const MOST_TRIES: usize = 4;
/// Wait for a slot that is accepted while other nodes of the service may have room.
const SHORT_WAIT: Duration = Duration::from_millis(30);
/// Part of the time to the aim that a request may wait for a slot where it is asked last.
const WAIT_SHARE: f64 = 0.5;

/// How the tries ended.
pub enum Ended<P: Platform> {
    /// With an answer of an upstream.
    Answer {
        /// Status and headers.
        head: Box<response::Parts>,
        /// Body.
        body: Payload<P>,
    },
    /// No upstream was sent the request.
    Refused {
        /// The last refusal.
        refusal: Refusal,
        /// Guards that were asked.
        tries: usize,
    },
    /// It may have run.
    Failed {
        /// Why there is no answer.
        fault: Fault,
        /// The node that was asked last.
        at: Option<Arc<str>>,
    },
}

/// A request on its way.
struct Tries<'a, P: Platform> {
    shared: &'a Arc<Shared<P>>,
    plan: &'a Plan,
    head: &'a Head,
    /// Guards that were asked.
    tried: Vec<Arc<str>>,
    /// Upstreams that were sent the request.
    sent: u32,
    fault: Option<Fault>,
    refusal: Refusal,
}

/// Sends a request until there is an answer or a reason to stop.
pub async fn run<P: Platform>(
    shared: &Arc<Shared<P>>,
    plan: &Plan,
    head: &Head,
    body: &Bytes,
) -> Ended<P> {
    let calls = lock(&shared.intake).admission.calls(&plan.call.service);
    lock(&shared.budgets).entry(plan.call.service.clone()).or_default().first(calls);
    let refusal = Refusal::new(Why::NoUpstream);
    let mut tries = Tries { shared, plan, head, tried: Vec::new(), sent: 0, fault: None, refusal };
    while let Some((target, call)) = tries.next() {
        let (other, outcome) = tries.hedged(&target, call, body).await;
        let target = other.unwrap_or(target);
        if let Some((head, body)) = tries.take(&target, outcome) {
            return Ended::Answer { head, body };
        }
        if tries.fault.is_some_and(|fault| !tries.may_repeat(&target, fault)) {
            break;
        }
    }
    match tries.fault {
        Some(fault) => Ended::Failed { fault, at: tries.tried.pop() },
        None => Ended::Refused { refusal: tries.refusal, tries: tries.tried.len() },
    }
}

impl<P: Platform> Tries<'_, P> {
    /// The next guard and what it is sent.
    fn next(&mut self) -> Option<(Target, Call)> {
        let Plan { call, .. } = self.plan;
        let now = self.shared.now();
        if call.left(now).is_zero() {
            self.refusal = Refusal::new(Why::Deadline);
            return None;
        }
        if self.tried.len() >= MOST_TRIES {
            return None;
        }
        let (target, more) = self.shared.choose(&call.service, &self.tried)?;
        self.tried.push(target.record.node.clone());
        let last = !more || self.tried.len() == MOST_TRIES;
        let patience = patience(call, last, now);
        Some((target, Call { patience, ..call.clone() }))
    }

    /// Takes the outcome of a try; an answer ends the tries, unless the upstream says that it did not run the
    /// request and another may.
    fn take(
        &mut self,
        target: &Target,
        outcome: Outcome<P>,
    ) -> Option<(Box<response::Parts>, Payload<P>)> {
        let now = self.shared.now();
        let node = &target.record.node;
        match outcome {
            Outcome::Answer { head, body, unrun: false } => {
                self.shared.peer(node, |peer| peer.judge(true, now));
                return Some((head, body));
            }
            Outcome::Answer { head, body, unrun: true } => {
                self.shared.peer(node, |peer| peer.judge(false, now));
                self.sent += 1;
                let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
                let why = if misdirected { "misdirected" } else { "shed" };
                if !self.repeat(target, why, self.sent) {
                    return Some((head, body));
                }
            }
            Outcome::Refused(refusal) => {
                self.refusal = refusal;
                if refusal.why == Why::Unreachable {
                    self.shared.peer(node, |peer| peer.failed(now));
                }
            }
            Outcome::Failed(fault) => {
                self.shared.peer(node, |peer| {
                    peer.judge(fault == Fault::Late, now);
                    if fault == Fault::Died {
                        peer.failed(now);
                    }
                });
                self.sent += 1;
                self.fault = Some(fault);
            }
        }
        None
    }

    /// Whether a request that may have run is sent again.
    fn may_repeat(&self, target: &Target, fault: Fault) -> bool {
        let pointless = matches!(fault, Fault::Late | Fault::Quarantined);
        self.plan.call.idempotent && !pointless && self.repeat(target, fault.as_str(), self.sent)
    }

    /// Sends a request, and to another node too while the first one is silent; the outcome, and the other node if it is
    /// from there. The first is never given up for nothing, as its upstream may be at work.
    async fn hedged(
        &mut self,
        target: &Target,
        call: Call,
        body: &Bytes,
    ) -> (Option<Target>, Outcome<P>) {
        let (shared, head) = (self.shared, self.head);
        let (node, idempotent) = (&target.record.node, call.idempotent);
        let mut first = pin!(send(shared, target, call.clone(), head, body));
        if !idempotent || target.local {
            return (None, first.await);
        }
        loop {
            let look = shared.peer(node, |peer| peer.silence());
            if let Ok(outcome) = tokio::time::timeout(look, &mut first).await {
                return (None, outcome);
            }
            let now = shared.now();
            if !shared.peer(node, |peer| peer.is_silent(now)) {
                continue;
            }
            let Some(other) = self.hedge(target) else { continue };
            let second = send(shared, &other, call, head, body);
            let (from_other, outcome) = first_answer(first, pin!(second)).await;
            if from_other {
                let now = shared.now();
                shared.peer(node, |peer| peer.failed(now));
            }
            return (from_other.then_some(other), outcome);
        }
    }

    /// Another node for a request whose first is silent, if there is one and the share of retries pays for it.
    fn hedge(&mut self, target: &Target) -> Option<Target> {
        let (other, _) = self.shared.choose(&self.plan.call.service, &self.tried)?;
        if !self.repeat(target, "silent", self.sent + 1) {
            return None;
        }
        self.tried.push(other.record.node.clone());
        self.sent += 1;
        Some(other)
    }

    /// Pays for another upstream, if that many may be sent the request.
    fn repeat(&self, target: &Target, why: &str, sent: u32) -> bool {
        let Plan { route, call, .. } = self.plan;
        let left = call.left(self.shared.now());
        if sent >= u32::from(route.attempts) || left.is_zero() {
            return false;
        }
        if !lock(&self.shared.budgets)
            .entry(call.service.clone())
            .or_default()
            .take(call.root.rank == 0)
        {
            return false;
        }
        self.shared.metrics.retries.with_label_values(&[why]).inc();
        self.shared.tell(&Event::Retried {
            id: self.head.id.to_str().unwrap_or_default(),
            route: &route.name,
            from: &target.record.node,
            why,
            left_ms: left.as_millis() as u64,
        });
        true
    }
}

/// The first answer of two sends, and whether it is the second's. Where neither answers, a refusal counts only if both
/// refused: the other one may have run the request.
async fn first_answer<P: Platform>(
    mut first: Pin<&mut impl Future<Output = Outcome<P>>>,
    mut second: Pin<&mut impl Future<Output = Outcome<P>>>,
) -> (bool, Outcome<P>) {
    let answers = |outcome: &Outcome<P>| matches!(outcome, Outcome::Answer { unrun: false, .. });
    let (one, two) = tokio::select! {
        outcome = &mut first => {
            if answers(&outcome) {
                return (false, outcome);
            }
            (outcome, second.await)
        }
        outcome = &mut second => {
            if answers(&outcome) {
                return (true, outcome);
            }
            (first.await, outcome)
        }
    };
    let from_second = !answers(&one) && (answers(&two) || matches!(one, Outcome::Refused(_)));
    (from_second, if from_second { two } else { one })
}

/// Wait for a slot that is accepted. A tree that has begun waits as long as it can; another request only as long as
/// its answer keeps its worth.
fn patience(call: &Call, last: bool, now: Instant) -> Duration {
    if !last {
        return SHORT_WAIT;
    }
    if call.called {
        return call.left(now);
    }
    let to_aim = call.root.due.saturating_duration_since(now);
    to_aim.min(call.left(now)).mul_f64(WAIT_SHARE)
}

async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Target,
    call: Call,
    head: &Head,
    body: &Bytes,
) -> Outcome<P> {
    if !target.local {
        return peer::send(shared, target, &call, head, body).await;
    }
    let sent = peer::Sent::new(shared.clone(), target.record.node.clone());
    let outcome = guard::serve(shared, &call, head, body).await;
    drop(sent);
    let (load, now) = (shared.gate.load(), shared.now());
    shared.peer(&target.record.node, |peer| peer.reported(load, now));
    outcome
}
