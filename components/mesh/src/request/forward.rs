//! Forwards a request to one guard after another until one answers or retrying is no longer allowed.

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bounds::RequestBody;
use http::{StatusCode, response};

use super::body::Payload;
use super::call::{Call, RequestHead};
use super::outcome::{Fault, Outcome, Refusal, RefusalReason};
use super::routed::RoutedRequest;
use super::{guard, peer};
use crate::decide::choose;
use crate::platform::Platform;
use crate::process::events::Event;
use crate::process::shared::{Shared, Target, lock};

/// Most guards that are tried before the caller is refused.
const MAX_NODES: usize = 4;
/// Most sends of a request to upstreams that refuse it without running it.
const MAX_SHED: u32 = 12;
/// Accepted wait for a slot while another node of the service may have one free.
const SHORT_SLOT_WAIT: Duration = Duration::from_millis(30);
/// Fraction of the time to the target latency that a request may wait for a slot at the last guard.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Result of forwarding a request.
pub enum Forwarded<P: Platform> {
    /// An upstream answered.
    Answer {
        /// Status and headers.
        head: Box<response::Parts>,
        /// Body.
        body: Payload<P>,
    },
    /// The request was refused everywhere and did not run.
    Refused {
        /// The last refusal.
        refusal: Refusal,
        /// Number of guards that were tried.
        attempts: usize,
    },
    /// The request may have run.
    Failed {
        /// Why there is no answer.
        fault: Fault,
        /// The last node that was tried.
        node: Option<Arc<str>>,
    },
}

/// A request that is being forwarded.
struct Forwarder<'a, P: Platform> {
    shared: &'a Arc<Shared<P>>,
    routed: &'a RoutedRequest,
    head: &'a RequestHead,
    /// Guards that were tried.
    tried: Vec<Arc<str>>,
    /// Number of upstreams that the request was sent to.
    sent: u32,
    /// Those of them that refused it without running it, and how often that happened.
    shed_by: Vec<Target>,
    shed: u32,
    /// Whether the request is sent to one of these again.
    again: bool,
    fault: Option<Fault>,
    refusal: Refusal,
}

/// Forwards a request until one guard answers or retrying is no longer allowed.
pub async fn run<P: Platform>(
    shared: &Arc<Shared<P>>,
    routed: &RoutedRequest,
    head: &RequestHead,
    body: &RequestBody,
) -> Forwarded<P> {
    let calls = lock(&shared.traffic).admission.makes_calls(&routed.call.service);
    let now = shared.now();
    let rank = routed.call.root.rank();
    lock(&shared.budgets).record_send(&routed.call.service, calls, rank, now);
    let refusal = Refusal::new(RefusalReason::NoUpstream);
    let mut forwarder = Forwarder {
        shared,
        routed,
        head,
        tried: Vec::new(),
        sent: 0,
        shed_by: Vec::new(),
        shed: 0,
        again: false,
        fault: None,
        refusal,
    };
    while let Some((target, call)) = forwarder.next() {
        let (other, outcome) = forwarder.send_hedged(&target, call, body).await;
        let target = other.unwrap_or(target);
        if let Some((head, body)) = forwarder.handle_outcome(&target, outcome) {
            return Forwarded::Answer { head, body };
        }
        if forwarder.fault.is_some_and(|fault| !forwarder.may_retry(&target, fault)) {
            break;
        }
    }
    match forwarder.fault {
        Some(fault) => Forwarded::Failed { fault, node: forwarder.tried.pop() },
        None => Forwarded::Refused { refusal: forwarder.refusal, attempts: forwarder.tried.len() },
    }
}

impl<P: Platform> Forwarder<'_, P> {
    /// Chooses the next guard and the call to send to it.
    fn next(&mut self) -> Option<(Target, Call)> {
        let RoutedRequest { call, .. } = self.routed;
        let now = self.shared.now();
        if call.remaining(now).is_zero() {
            self.refusal = Refusal::new(RefusalReason::Deadline);
            return None;
        }
        if self.shared.shutdown.is_answering() {
            self.refusal = Refusal::new(RefusalReason::Stopping);
            return None;
        }
        if std::mem::take(&mut self.again) {
            let target = self.shed_by[rand::random_range(0..self.shed_by.len())].clone();
            return Some((target, Call { max_wait: max_wait(call, true, now), ..call.clone() }));
        }
        if self.tried.len() >= MAX_NODES {
            return None;
        }
        let (target, has_more) = self.shared.choose_node(&call.service, &self.tried)?;
        self.tried.push(target.record.node.clone());
        let last = !has_more || self.tried.len() == MAX_NODES;
        let max_wait = max_wait(call, last, now);
        Some((target, Call { max_wait, ..call.clone() }))
    }

    /// Handles the outcome of one send. An answer is final, unless the upstream did not run the request and a retry is
    /// allowed.
    fn handle_outcome(
        &mut self,
        target: &Target,
        outcome: Outcome<P>,
    ) -> Option<(Box<response::Parts>, Payload<P>)> {
        let now = self.shared.now();
        let node = &target.record.node;
        match outcome {
            Outcome::Answer { head, body, not_run: false } => {
                self.shared.with_peer(node, |peer| peer.record_outcome(true, now));
                return Some((head, body));
            }
            Outcome::Answer { head, body, not_run: true } => {
                self.shared.with_peer(node, |peer| peer.record_outcome(false, now));
                let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
                let retried = if misdirected {
                    self.sent += 1;
                    self.take_retry(target, "misdirected", self.sent)
                } else {
                    self.retry_shed(target)
                };
                // An earlier upstream may have run it, which this answer would deny.
                if !retried && self.fault.is_none() {
                    return Some((head, body));
                }
            }
            Outcome::Refused(refusal) => {
                self.refusal = refusal;
                match refusal.reason {
                    RefusalReason::Unreachable => {
                        self.shared.with_peer(node, |peer| peer.record_failure(now));
                    }
                    RefusalReason::NoUpstream if !target.local => {
                        self.shared.record_unknown_upstream(&target.record);
                    }
                    _ => {}
                }
            }
            Outcome::Failed(fault) => {
                self.shared.with_peer(node, |peer| {
                    // What a stopping node cuts off tells nothing of its upstream.
                    if fault != Fault::Stopped {
                        peer.record_outcome(fault == Fault::Timeout, now);
                    }
                    if fault == Fault::Crashed {
                        peer.record_failure(now);
                    }
                });
                self.sent += 1;
                self.fault = Some(fault);
            }
        }
        None
    }

    /// Whether a request that an upstream refused without running it is sent again: to another upstream, or to one that
    /// has refused it if it may be sent to no further one. An upstream that sheds a share of its calls takes the next one
    /// as likely as any other upstream does.
    fn retry_shed(&mut self, target: &Target) -> bool {
        self.shed += 1;
        if !self.shed_by.iter().any(|other| other.record.node == target.record.node) {
            self.shed_by.push(target.clone());
            self.sent += 1;
        }
        let max_upstreams = u32::from(self.routed.route.max_attempts);
        let nodes_left = self.sent < max_upstreams && self.tried.len() < MAX_NODES;
        let sent = self.sent.min(max_upstreams.saturating_sub(1));
        self.again = self.shed < MAX_SHED && self.take_retry(target, "shed", sent);
        let granted = self.again;
        self.again &= !nodes_left || !self.has_other_node();
        granted
    }

    fn has_other_node(&self) -> bool {
        self.shared.choose_node(&self.routed.call.service, &self.tried).is_some()
    }

    /// Whether a request that may have run is sent again.
    fn may_retry(&self, target: &Target, fault: Fault) -> bool {
        let final_fault = matches!(fault, Fault::Timeout | Fault::Quarantined);
        self.routed.call.idempotent
            && !final_fault
            && self.take_retry(target, fault.as_str(), self.sent)
    }

    /// Sends a request, and hedges it to another node while the first one is silent. Returns the outcome, and the
    /// other node if the outcome is from there. The first send is not cancelled without an answer, as its upstream may
    /// be working on it.
    async fn send_hedged(
        &mut self,
        target: &Target,
        call: Call,
        body: &RequestBody,
    ) -> (Option<Target>, Outcome<P>) {
        let (shared, head) = (self.shared, self.head);
        let (node, idempotent) = (&target.record.node, call.idempotent);
        let mut first = pin!(send(shared, target, call.clone(), head, body));
        if !idempotent || target.local {
            return (None, first.await);
        }
        loop {
            let silence = shared.with_peer(node, |peer| peer.silence_timeout());
            if let Ok(outcome) = tokio::time::timeout(silence, &mut first).await {
                return (None, outcome);
            }
            let now = shared.now();
            if !shared.with_peer(node, |peer| peer.is_silent(now)) {
                continue;
            }
            let Some(other) = self.choose_hedge(target) else { continue };
            let second = send(shared, &other, call, head, body);
            let (from_other, outcome) = first_answer(first, pin!(second)).await;
            if from_other {
                let now = shared.now();
                shared.with_peer(node, |peer| peer.record_failure(now));
            }
            return (from_other.then_some(other), outcome);
        }
    }

    /// Chooses another node for a hedged request, if there is one and the retry budget allows it.
    fn choose_hedge(&mut self, target: &Target) -> Option<Target> {
        let RoutedRequest { route, call, .. } = self.routed;
        let (other, _) = self.shared.choose_node(&call.service, &self.tried)?;
        if !choose::may_hedge(route.large, self.shared.tier(&other.record))
            || !self.take_retry(target, "silent", self.sent + 1)
        {
            return None;
        }
        self.tried.push(other.record.node.clone());
        self.sent += 1;
        Some(other)
    }

    /// Takes a retry from the budget, if the request may be sent to that many upstreams.
    fn take_retry(&self, target: &Target, reason: &str, sent: u32) -> bool {
        let RoutedRequest { route, call, .. } = self.routed;
        let now = self.shared.now();
        let remaining = call.remaining(now);
        if sent >= u32::from(route.max_attempts) || remaining.is_zero() {
            return false;
        }
        if !lock(&self.shared.budgets).try_retry(&call.service, call.root.rank(), now) {
            return false;
        }
        self.shared.metrics.retries.with_label_values(&[reason]).inc();
        self.shared.log(&Event::Retried {
            id: self.head.id.to_str().unwrap_or_default(),
            route: &route.name,
            from: &target.record.node,
            reason,
            left_ms: remaining.as_millis() as u64,
        });
        true
    }
}

/// The first answer of two sends, and whether it is from the second. Without an answer, a refusal counts only if neither
/// send failed, as the other upstream may have run the request.
async fn first_answer<P: Platform>(
    mut first: Pin<&mut impl Future<Output = Outcome<P>>>,
    mut second: Pin<&mut impl Future<Output = Outcome<P>>>,
) -> (bool, Outcome<P>) {
    let is_answer =
        |outcome: &Outcome<P>| matches!(outcome, Outcome::Answer { not_run: false, .. });
    let (one, two) = tokio::select! {
        outcome = &mut first => {
            if is_answer(&outcome) {
                return (false, outcome);
            }
            (outcome, second.await)
        }
        outcome = &mut second => {
            if is_answer(&outcome) {
                return (true, outcome);
            }
            (first.await, outcome)
        }
    };
    let failed = |outcome: &Outcome<P>| matches!(outcome, Outcome::Failed(_));
    let refused = matches!(one, Outcome::Refused(_));
    let from_second =
        !is_answer(&one) && (is_answer(&two) || refused || !failed(&one) && failed(&two));
    (from_second, if from_second { two } else { one })
}

/// Accepted wait for a slot. A call of a running request waits until its deadline, another request only while its
/// answer is still of value.
fn max_wait(call: &Call, last: bool, now: Instant) -> Duration {
    if !last {
        return SHORT_SLOT_WAIT;
    }
    if call.internal {
        return call.remaining(now);
    }
    let to_target = call.root.target_time.saturating_duration_since(now);
    to_target.min(call.remaining(now)).mul_f64(MAX_WAIT_FRACTION)
}

async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Target,
    call: Call,
    head: &RequestHead,
    body: &RequestBody,
) -> Outcome<P> {
    if !target.local {
        return peer::send(shared, target, &call, head, body).await;
    }
    let in_flight = peer::InFlight::new(shared.clone(), target.record.node.clone());
    let outcome = guard::serve(shared, &call, head, body).await;
    drop(in_flight);
    let now = shared.now();
    let load = shared.limiter.load(now);
    shared.with_peer(&target.record.node, |peer| peer.record_report(load, now));
    outcome
}
