//! Resources that a request holds until the last byte of its answer is forwarded.

use std::sync::Arc;
use std::time::Instant;

use bounds::Holding;
use routing::Tier;
use units::Clock;

use super::parent::Token;
use crate::connection::upstream::PooledConnection;
use crate::process::routes::Target;
use crate::process::shared::Shared;

/// Resources released at the end of an answer's body.
pub struct Resources<C: Clock> {
    /// Concurrency slot of the local upstream.
    pub slot: Option<SlotGuard<C>>,
    /// Call in flight to another node.
    pub in_flight: Option<InFlightGuard<C>>,
    /// Wait of the parent request for this call.
    pub parent_wait: Option<WaitGuard<C>>,
    /// Connection to the upstream, reused afterwards.
    pub connection: Option<PooledConnection<C>>,
    /// Memory of the request.
    pub memory: Option<Box<Holding>>,
}

impl<C: Clock> Default for Resources<C> {
    fn default() -> Self {
        Self { slot: None, in_flight: None, parent_wait: None, connection: None, memory: None }
    }
}

impl<C: Clock> Resources<C> {
    /// Releases everything after the answer was forwarded completely.
    pub fn complete(&mut self) {
        if let Some(slot) = &mut self.slot {
            slot.complete = !slot.failed;
        }
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
        *self = Self::default();
    }

    /// Counts forwarded bytes of the answer.
    pub fn add_bytes(&mut self, bytes: u64) {
        if let Some(in_flight) = &self.in_flight {
            in_flight.add_bytes(bytes);
        }
    }
}

/// Holds a concurrency slot of the upstream until dropped.
pub struct SlotGuard<C: Clock> {
    shared: Arc<Shared<C>>,
    token: Token,
    since: Instant,
    /// The answer arrived completely: its run time counts as a sample.
    complete: bool,
    /// The answer is an error: its run time is no sample.
    failed: bool,
}

impl<C: Clock> SlotGuard<C> {
    /// Holds a slot granted by admission control.
    pub fn new(shared: Arc<Shared<C>>, token: Token) -> Self {
        let since = shared.clock.now();
        Self { shared, token, since, complete: false, failed: false }
    }

    /// Marks the answer as an error.
    pub fn mark_failed(&mut self) {
        self.failed = true;
    }
}

impl<C: Clock> Drop for SlotGuard<C> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let held = now.saturating_duration_since(self.since);
        let waited = self
            .shared
            .active_requests
            .remove(self.token)
            .map(|parent| parent.waited(now))
            .unwrap_or_default();
        if self.complete {
            self.shared.admission.finish(held, held.saturating_sub(waited), now);
        } else {
            self.shared.admission.abandon(now);
        }
    }
}

/// Counts a call to another node as in flight until dropped.
pub struct InFlightGuard<C: Clock> {
    shared: Arc<Shared<C>>,
    target: Arc<Target>,
}

impl<C: Clock> InFlightGuard<C> {
    /// Starts counting.
    pub fn new(shared: Arc<Shared<C>>, target: Arc<Target>) -> Self {
        target.peer().record_sent();
        Self { shared, target }
    }

    /// Counts bytes of the answer by the target's tier.
    pub fn add_bytes(&self, bytes: u64) {
        self.shared.metrics.add_path_bytes(self.target.tier, bytes);
        if self.target.tier == Tier::Remote {
            self.shared.charge_link(bytes);
        }
    }
}

impl<C: Clock> Drop for InFlightGuard<C> {
    fn drop(&mut self) {
        self.target.peer().record_ended();
    }
}

/// Marks a parent request as waiting for a nested call until dropped.
pub struct WaitGuard<C: Clock> {
    shared: Arc<Shared<C>>,
    token: Token,
}

impl<C: Clock> WaitGuard<C> {
    /// Starts the wait.
    pub fn new(shared: Arc<Shared<C>>, token: Token) -> Self {
        let now = shared.clock.now();
        shared.active_requests.with(token, |parent| parent.call_started(now));
        Self { shared, token }
    }
}

impl<C: Clock> Drop for WaitGuard<C> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.active_requests.with(self.token, |parent| parent.call_ended(now));
    }
}
