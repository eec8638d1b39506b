//! The guard's queue with the requests that wait in it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::decide::queue::{Decision, Load, Offer, Queue, Slot};

/// Slots of the upstream beside this node.
#[derive(Debug, Default)]
pub struct Gate {
    queue: Mutex<Queue<oneshot::Sender<()>>>,
}

/// Answer to a request that asks to run.
pub enum Entry<'a> {
    /// It runs.
    Run,
    /// It waits.
    Wait(Waiter<'a>),
    /// It would wait this long, which is too long.
    Full(Duration),
}

/// A request that waits; it leaves the queue when dropped.
pub struct Waiter<'a> {
    gate: &'a Gate,
    slot: Slot,
    turn: oneshot::Receiver<()>,
    settled: bool,
}

impl Gate {
    /// Takes the announced slots.
    pub fn set_slots(&self, slots: u32) {
        let mut queue = self.lock();
        queue.set_slots(slots);
        while let Some(next) = queue.fill() {
            pass(&mut queue, Some(next));
        }
    }

    /// Load now.
    pub fn load(&self) -> Load {
        self.lock().load()
    }

    /// Asks to run a request.
    pub fn enter(&self, offer: Offer, now: Instant) -> Entry<'_> {
        let (sender, turn) = oneshot::channel();
        match self.lock().offer(offer, now, || sender) {
            Decision::Run => Entry::Run,
            Decision::Wait(slot) => Entry::Wait(Waiter { gate: self, slot, turn, settled: false }),
            Decision::Refuse { wait } => Entry::Full(wait),
        }
    }

    /// A run has ended; `whole` if the time that it took says something.
    pub fn finish(&self, held: Duration, whole: bool) {
        let mut queue = self.lock();
        let next = queue.finish(held, whole);
        pass(&mut queue, next);
    }

    fn lock(&self) -> MutexGuard<'_, Queue<oneshot::Sender<()>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives a slot to a request; one that has gone passes it on.
fn pass(queue: &mut Queue<oneshot::Sender<()>>, mut next: Option<oneshot::Sender<()>>) {
    while let Some(turn) = next {
        if turn.send(()).is_ok() {
            return;
        }
        next = queue.finish(Duration::ZERO, false);
    }
}

impl Waiter<'_> {
    /// Waits for a slot; false when the moment came first.
    pub async fn turn(mut self, until: Instant) -> bool {
        let got = tokio::time::timeout_at(until.into(), &mut self.turn).await;
        self.settled = matches!(got, Ok(Ok(())));
        self.settled
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.settled || self.gate.lock().leave(self.slot) {
            return;
        }
        // It was given a slot that it no longer wants.
        if self.turn.try_recv().is_ok() {
            self.gate.finish(Duration::ZERO, false);
        }
    }
}
