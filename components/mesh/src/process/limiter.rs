//! Limits the requests that run at the upstream at once; others wait in a priority queue.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::decide::queue::{Decision, Load, Position, Queue, SlotRequest};

/// Concurrency limiter for the upstream beside this node.
#[derive(Debug, Default)]
pub struct Limiter {
    queue: Mutex<Queue<oneshot::Sender<()>>>,
}

/// Answer to a request for a slot.
pub enum Acquire<'a> {
    /// A slot was free; the request may run.
    Run,
    /// The request has to wait.
    Wait(Waiter<'a>),
    /// Refused: the expected wait is too long.
    Full(Duration),
}

/// A queued request; leaves the queue when dropped.
pub struct Waiter<'a> {
    limiter: &'a Limiter,
    position: Position,
    granted: oneshot::Receiver<()>,
    acquired: bool,
}

impl Limiter {
    /// Sets the number of slots that the upstream announced.
    pub fn set_slots(&self, slots: u32) {
        let mut queue = self.lock();
        queue.set_slots(slots);
        while let Some(next) = queue.grant_next() {
            grant(&mut queue, Some(next));
        }
    }

    /// Current load.
    pub fn load(&self) -> Load {
        self.lock().load()
    }

    /// Asks for a slot.
    pub fn acquire(&self, request: SlotRequest, now: Instant) -> Acquire<'_> {
        let (sender, granted) = oneshot::channel();
        match self.lock().acquire(request, now, || sender) {
            Decision::Run => Acquire::Run,
            Decision::Wait(position) => {
                Acquire::Wait(Waiter { limiter: self, position, granted, acquired: false })
            }
            Decision::Refuse { wait } => Acquire::Full(wait),
        }
    }

    /// Releases a slot that was held for `held`; `complete` if the call ran normally, so that the time is typical.
    pub fn release(&self, held: Duration, complete: bool) {
        let mut queue = self.lock();
        let next = queue.release(held, complete);
        grant(&mut queue, next);
    }

    fn lock(&self) -> MutexGuard<'_, Queue<oneshot::Sender<()>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Grants a slot to the next waiter, skipping those that have gone.
fn grant(queue: &mut Queue<oneshot::Sender<()>>, mut next: Option<oneshot::Sender<()>>) {
    while let Some(sender) = next {
        if sender.send(()).is_ok() {
            return;
        }
        next = queue.release(Duration::ZERO, false);
    }
}

impl Waiter<'_> {
    /// Waits for a slot; false if `deadline` passes first.
    pub async fn wait(mut self, deadline: Instant) -> bool {
        let result = tokio::time::timeout_at(deadline.into(), &mut self.granted).await;
        self.acquired = matches!(result, Ok(Ok(())));
        self.acquired
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.acquired || self.limiter.lock().cancel(self.position) {
            return;
        }
        // The slot was granted but never used.
        if self.granted.try_recv().is_ok() {
            self.limiter.release(Duration::ZERO, false);
        }
    }
}
