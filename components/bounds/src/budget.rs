//! Tasks that wait for a share of the byte budget of what clients make a node hold; [`crate::ledger`] decides.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use units::Clock;

use crate::ledger::{self, BodyId, Grant, Ledger, Usage, Use};

/// Interval in which a waiting body asks again, as time alone may decide.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The body was discarded, as its bytes were needed for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Discarded;

/// What the task of a body waits for.
#[derive(Default)]
struct Reader {
    /// Notified when the body is discarded.
    discarded: Notify,
    /// Notified when the body may get bytes.
    released: Notify,
}

struct State {
    ledger: Ledger,
    readers: HashMap<BodyId, Arc<Reader>>,
}

impl State {
    /// Wakes those that get bytes next.
    fn wake_first(&self) {
        for id in self.ledger.first_waiting() {
            if let Some(reader) = self.readers.get(&id) {
                reader.released.notify_one();
            }
        }
    }
}

/// Budget of a node for the bytes that clients make it hold.
pub struct Budget {
    state: Mutex<State>,
    /// Notified when bytes are released, for responses that wait for them.
    released: Notify,
    /// Whether a body has had to wait.
    reached: AtomicBool,
}

/// The share of one body, which is released when this is dropped.
pub struct Reservation {
    budget: Arc<Budget>,
    id: BodyId,
    reader: Arc<Reader>,
}

/// Bytes of a connection or a response, which are given back when this is dropped.
pub struct Holding {
    budget: Arc<Budget>,
    used_for: Use,
    bytes: AtomicU64,
}

impl Budget {
    /// The budget of a process that may take `memory` bytes; without a bound if none is given.
    pub fn new(memory: Option<u64>) -> Self {
        let total = memory.map_or(u64::MAX, ledger::total);
        Self::with_ledger(Ledger::with_total(memory.map(ledger::budget), total))
    }

    /// A budget of so many bytes in all.
    pub fn of(total: u64) -> Self {
        Self::with_ledger(Ledger::with_total(Some(total / 4 * 3), total))
    }

    fn with_ledger(ledger: Ledger) -> Self {
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
        let reader = Arc::<Reader>::default();
        state.readers.insert(id, reader.clone());
        Reservation { budget: self.clone(), id, reader }
    }

    /// A share without bytes yet, for a connection or a response.
    pub fn holding(self: &Arc<Self>, used_for: Use) -> Holding {
        Holding { budget: self.clone(), used_for, bytes: AtomicU64::new(0) }
    }

    /// Waits until bytes are released, for a short time at most.
    pub async fn changed(&self) {
        // Either way, the ledger is asked again.
        let _ = tokio::time::timeout(RETRY_INTERVAL, self.released.notified()).await;
    }

    /// Tells tasks that bytes were released.
    fn wake(&self, state: &State) {
        state.wake_first();
        self.released.notify_one();
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
            match self.ask(bytes, clock) {
                Grant::Granted => return Ok(()),
                Grant::Discarded => return Err(Discarded),
                Grant::Wait(_) => {
                    // Either way, the ledger is asked again.
                    let released = self.reader.released.notified();
                    let _ = tokio::time::timeout(RETRY_INTERVAL, released).await;
                }
            }
        }
    }

    fn ask(&self, bytes: u64, clock: &impl Clock) -> Grant {
        let mut state = self.budget.lock();
        let was_first = state.ledger.first_waiting().any(|first| first == self.id);
        let grant = state.ledger.grow(self.id, bytes, clock.now());
        match grant {
            Grant::Wait(Some(victim)) => {
                if let Some(reader) = state.readers.get(&victim) {
                    reader.discarded.notify_one();
                }
            }
            // It is the turn of the next one, which may get bytes as well.
            Grant::Granted | Grant::Discarded if was_first => state.wake_first(),
            _ => {}
        }
        grant
    }

    /// Completes when the body is discarded in favour of another.
    pub async fn discarded(&self) -> Discarded {
        self.reader.discarded.notified().await;
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
        self.budget.wake(&state);
    }
}

impl Holding {
    /// Takes further bytes, if there is room.
    pub fn try_grow(&self, bytes: u64) -> bool {
        let fits = self.budget.lock().ledger.hold(self.used_for, bytes);
        if fits {
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        fits
    }

    /// Takes further bytes that are not needed, if there is much room.
    pub fn try_grow_spare(&self, bytes: u64) -> bool {
        let fits = self.budget.lock().ledger.hold_spare(bytes);
        if fits {
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        fits
    }

    /// Takes further bytes for which something else is about to be released.
    pub fn force(&self, bytes: u64) {
        self.budget.lock().ledger.force(self.used_for, bytes);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Bytes that it has.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let bytes = self.bytes();
        if bytes > 0 {
            let mut state = self.budget.lock();
            state.ledger.give_back(self.used_for, bytes);
            self.budget.wake(&state);
        }
    }
}
