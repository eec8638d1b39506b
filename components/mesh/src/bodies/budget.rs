//! Tasks that wait for a share of the byte budget of request bodies; [`crate::decide::bodies`] decides.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use units::Clock;

use crate::decide::bodies::{self, BodyId, Grant, Ledger, Usage};

/// Interval in which a waiting body asks again, as time alone may decide.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The body was discarded, as its bytes were needed for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Discarded;

struct State {
    ledger: Ledger,
    /// Tell bodies that they were discarded.
    readers: HashMap<BodyId, Arc<Notify>>,
}

/// Budget of a node for the bytes of request bodies.
pub struct Budget {
    state: Mutex<State>,
    /// Notified when bytes are released.
    released: Notify,
    /// Whether a body has had to wait.
    reached: AtomicBool,
}

/// The share of one body, which is released when this is dropped.
pub struct Reservation {
    budget: Arc<Budget>,
    id: BodyId,
    discarded: Arc<Notify>,
}

impl Budget {
    /// The budget of a process that may take `memory` bytes; without a bound if none is given.
    pub fn new(memory: Option<u64>) -> Self {
        let ledger = Ledger::new(memory.map(bodies::budget));
        Self {
            state: Mutex::new(State { ledger, readers: HashMap::new() }),
            released: Notify::new(),
            reached: AtomicBool::new(false),
        }
    }

    /// Starts a body, whose declared length is `length` if it is known.
    pub fn open(self: &Arc<Self>, length: Option<u64>, clock: &impl Clock) -> Reservation {
        let mut state = self.lock();
        let id = state.ledger.open(length, clock.now());
        let discarded = Arc::new(Notify::new());
        state.readers.insert(id, discarded.clone());
        Reservation { budget: self.clone(), id, discarded }
    }

    /// State of the budget.
    pub fn usage(&self) -> Usage {
        self.lock().ledger.usage()
    }

    /// Whether a body has had to wait, the first time that this is asked since then.
    pub fn take_first_reached(&self) -> bool {
        // Bodies that wait later are in the metrics.
        let usage = self.usage();
        let exhausted = usage.waiting > 0 || usage.discarded > 0;
        exhausted && !self.reached.swap(true, Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reservation {
    /// Waits for bytes.
    pub async fn grow(&self, bytes: u64, clock: &impl Clock) -> Result<(), Discarded> {
        loop {
            let mut released = pin!(self.budget.released.notified());
            // A release between the answer and the wait counts, too.
            released.as_mut().enable();
            match self.ask(bytes, clock) {
                Grant::Granted => return Ok(()),
                Grant::Discarded => return Err(Discarded),
                Grant::Wait(_) => {
                    // Either way, the ledger is asked again.
                    let _ = tokio::time::timeout(RETRY_INTERVAL, released).await;
                }
            }
        }
    }

    fn ask(&self, bytes: u64, clock: &impl Clock) -> Grant {
        let mut state = self.budget.lock();
        let grant = state.ledger.grow(self.id, bytes, clock.now());
        if let Grant::Wait(Some(victim)) = grant
            && let Some(reader) = state.readers.get(&victim)
        {
            reader.notify_one();
        }
        grant
    }

    /// Completes when the body is discarded in favour of another.
    pub async fn discarded(&self) -> Discarded {
        self.discarded.notified().await;
        Discarded
    }

    /// The whole body has arrived; from now on it isn't discarded.
    pub fn complete(&self) {
        self.budget.lock().ledger.complete(self.id);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.ledger.close(self.id);
        state.readers.remove(&self.id);
        drop(state);
        self.budget.released.notify_waiters();
    }
}
