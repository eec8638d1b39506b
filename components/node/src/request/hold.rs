//! What a request holds until its answer's last byte has passed.

use std::sync::Arc;
use std::time::Instant;

use routing::Tier;
use units::Clock;

use super::parent::Token;
use crate::connection::upstream::Lane;
use crate::process::members::Target;
use crate::process::shared::Shared;

/// Everything that one answer's body holds.
pub struct Hold<C: Clock> {
    /// A slot of the upstream beside this node.
    pub run: Option<Run<C>>,
    /// A call to another node.
    pub sent: Option<Sent<C>>,
    /// The wait of a request of the upstream for a call it made.
    pub wait: Option<Wait<C>>,
    /// The connection to the upstream, which serves another request afterwards.
    pub lane: Option<Lane<C>>,
}

impl<C: Clock> Default for Hold<C> {
    fn default() -> Self {
        Self { run: None, sent: None, wait: None, lane: None }
    }
}

impl<C: Clock> Hold<C> {
    /// The whole answer has passed.
    pub fn complete(&mut self) {
        if let Some(run) = &mut self.run {
            run.done = !run.spoiled;
        }
        if let Some(lane) = self.lane.take() {
            lane.give_back();
        }
        *self = Self::default();
    }

    /// Bytes of the answer have passed.
    pub fn passed(&mut self, bytes: u64) {
        if let Some(sent) = &self.sent {
            sent.count(bytes);
        }
    }
}

/// A slot of the upstream.
pub struct Run<C: Clock> {
    shared: Arc<Shared<C>>,
    token: Token,
    since: Instant,
    /// The answer came whole, so the time it took says something.
    done: bool,
    /// The answer was an error, so the time it took says nothing.
    spoiled: bool,
}

impl<C: Clock> Run<C> {
    /// Holds a slot that the guard gave.
    pub fn new(shared: Arc<Shared<C>>, token: Token) -> Self {
        let since = shared.clock.now();
        Self { shared, token, since, done: false, spoiled: false }
    }

    /// Notes that the answer is an error.
    pub fn spoil(&mut self) {
        self.spoiled = true;
    }
}

impl<C: Clock> Drop for Run<C> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let held = now.saturating_duration_since(self.since);
        let waited = self
            .shared
            .calls
            .remove(self.token)
            .map(|parent| parent.waited(now))
            .unwrap_or_default();
        if self.done {
            self.shared.gate.finish(held, held.saturating_sub(waited), now);
        } else {
            self.shared.gate.abandon(now);
        }
    }
}

/// A call in flight to another node.
pub struct Sent<C: Clock> {
    shared: Arc<Shared<C>>,
    target: Arc<Target>,
}

impl<C: Clock> Sent<C> {
    /// Counts a call as in flight.
    pub fn new(shared: Arc<Shared<C>>, target: Arc<Target>) -> Self {
        target.peer().sent();
        Self { shared, target }
    }

    /// Counts bytes by where they go.
    pub fn count(&self, bytes: u64) {
        self.shared.metrics.path(self.target.tier, bytes);
        if self.target.tier == Tier::Remote {
            self.shared.charge(bytes);
        }
    }
}

impl<C: Clock> Drop for Sent<C> {
    fn drop(&mut self) {
        self.target.peer().ended();
    }
}

/// A request of the upstream that waits for a call it made.
pub struct Wait<C: Clock> {
    shared: Arc<Shared<C>>,
    token: Token,
}

impl<C: Clock> Wait<C> {
    /// Notes that the request waits.
    pub fn new(shared: Arc<Shared<C>>, token: Token) -> Self {
        let now = shared.clock.now();
        shared.calls.with(token, |parent| parent.call_started(now));
        Self { shared, token }
    }
}

impl<C: Clock> Drop for Wait<C> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.calls.with(self.token, |parent| parent.call_ended(now));
    }
}
