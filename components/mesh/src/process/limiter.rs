//! Limits the requests that run at the upstream at once, and their rate; others wait in a priority queue.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot};
use units::{Clock, Rate};

use crate::decide::queue::{Decision, Load, Position, Queue, SlotRequest};
use crate::decide::rate_limit::Answer;
use crate::decide::slow_start::{Cause, Failure, Transition};

/// Shortest pause of a queued request before it asks for a token again.
const MIN_TOKEN_PAUSE: Duration = Duration::from_millis(1);

/// Concurrency and rate limiter for the upstream beside this node.
#[derive(Debug, Default)]
pub struct Limiter {
    queue: Mutex<Queue<oneshot::Sender<()>>>,
    /// Notified when the rate limit changes, as queued requests then wait for another time.
    rate_changed: Notify,
}

/// Answer to a request for a slot.
pub enum Acquire<'a> {
    /// A slot was free; the request may run.
    Run,
    /// The request has to wait.
    Wait(Waiter<'a>),
    /// Refused: the expected wait for a slot is too long.
    Full(Duration),
    /// Refused: the rate limit allows the request only after this time.
    RateLimited(Duration),
}

/// A queued request; leaves the queue when dropped.
pub struct Waiter<'a> {
    limiter: &'a Limiter,
    position: Position,
    granted: oneshot::Receiver<()>,
    acquired: bool,
    /// When the queue was last looked at.
    now: Instant,
}

impl Limiter {
    /// Sets the number of slots that the upstream announced.
    pub fn set_slots(&self, slots: u32, now: Instant) {
        self.lock().set_slots(slots);
        self.grant_waiting(now);
    }

    /// Forgets the rate limit: a new incarnation of the upstream has started.
    pub fn reset_rate_limit(&self) {
        self.lock().reset_rate_limit();
        self.rate_changed.notify_waiters();
    }

    /// Sets a rate limit that was known before a restart; false if an answer has arrived since.
    pub fn restore_rate_limit(&self, limit: Rate, now: Instant) -> bool {
        let restored = self.lock().restore_rate_limit(limit, now);
        self.rate_changed.notify_waiters();
        restored
    }

    /// Records that there was no rate limit before a restart.
    pub fn restore_unlimited(&self, now: Instant) {
        self.lock().restore_unlimited();
        self.grant_waiting(now);
    }

    /// Updates the rate limit from an answer; returns the announced limit before and after it.
    pub fn record_answer(&self, answer: Answer, now: Instant) -> (Option<Rate>, Option<Rate>) {
        let (before, after) = {
            let mut queue = self.lock();
            let before = (queue.announced_limit(), queue.load(now).rate);
            queue.record_answer(answer, now);
            (before, (queue.announced_limit(), queue.load(now).rate))
        };
        self.grant_waiting(now);
        if before.1 != after.1 {
            self.rate_changed.notify_waiters();
        }
        (before.0, after.0)
    }

    /// Records the service-time factor that the upstream reported.
    pub fn record_factor(&self, factor: f64, now: Instant) {
        self.lock().record_factor(factor, now);
    }

    /// Forgets the service times: a new incarnation of the upstream has started.
    pub fn reset_service_times(&self) {
        self.lock().reset_service_times();
    }

    /// The latest service-time factor and its age.
    pub fn latest_factor(&self, now: Instant) -> Option<(f64, Duration)> {
        self.lock().latest_factor(now)
    }

    /// Begins a slow start.
    pub fn begin_slow_start(&self, cause: Cause, now: Instant) {
        self.lock().begin_slow_start(cause, now);
    }

    /// Records that a request failed at the upstream that was sent at `sent_at`.
    pub fn record_failure(&self, failure: Failure, sent_at: Instant, now: Instant) {
        self.lock().record_failure(failure, sent_at, now);
    }

    /// The latest beginning or end of a slow start that was not reported yet.
    pub fn take_transition(&self) -> Option<Transition> {
        self.lock().take_transition()
    }

    /// The announced rate limit.
    pub fn announced_limit(&self) -> Option<Rate> {
        self.lock().announced_limit()
    }

    /// Current load.
    pub fn load(&self, now: Instant) -> Load {
        self.lock().load(now)
    }

    /// Asks for a slot.
    pub fn acquire(&self, request: SlotRequest, now: Instant) -> Acquire<'_> {
        let (sender, granted) = oneshot::channel();
        match self.lock().acquire(request, now, || sender) {
            Decision::Run => Acquire::Run,
            Decision::Wait(position) => {
                Acquire::Wait(Waiter { limiter: self, position, granted, acquired: false, now })
            }
            Decision::Refuse { wait, rate_limited: false } => Acquire::Full(wait),
            Decision::Refuse { wait, rate_limited: true } => Acquire::RateLimited(wait),
        }
    }

    /// Releases a slot that was held for `held`; `complete` if the call ran normally, so that the time is typical.
    pub fn release(&self, held: Duration, complete: bool, now: Instant) {
        self.lock().release(held, complete, now);
        self.grant_waiting(now);
    }

    /// Releases a slot whose request was not sent.
    pub fn release_unused(&self, now: Instant) {
        self.lock().release_unused();
        self.grant_waiting(now);
    }

    /// Starts queued requests as far as slots and the rate limit allow, skipping those that have gone.
    fn grant_waiting(&self, now: Instant) {
        let mut queue = self.lock();
        while let Some(sender) = queue.grant_next(now) {
            if sender.send(()).is_err() {
                queue.release_unused();
            }
        }
    }

    /// When to check again whether the rate limit allows a queued request; `None` if it waits only for a slot.
    fn token_pause(&self, position: Position, now: Instant) -> Option<Duration> {
        let wait = self.lock().token_wait(position, now);
        (!wait.is_zero()).then(|| wait.max(MIN_TOKEN_PAUSE))
    }

    fn lock(&self) -> MutexGuard<'_, Queue<oneshot::Sender<()>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiter<'_> {
    /// Waits for a slot; false if `deadline` passes first.
    pub async fn wait(mut self, deadline: Instant, clock: &impl Clock) -> bool {
        loop {
            let rate_changed = self.limiter.rate_changed.notified();
            self.now = clock.now();
            self.limiter.grant_waiting(self.now);
            let pause = self.limiter.token_pause(self.position, self.now);
            let wake_at = pause.map_or(deadline, |pause| deadline.min(self.now + pause));
            tokio::select! {
                biased;
                granted = &mut self.granted => {
                    self.acquired = granted.is_ok();
                    return self.acquired;
                }
                () = tokio::time::sleep_until(wake_at.into()) => {
                    if clock.now() >= deadline {
                        return false;
                    }
                }
                () = rate_changed => {}
            }
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.acquired || self.limiter.lock().cancel(self.position) {
            return;
        }
        // The slot was granted but never used.
        if self.granted.try_recv().is_ok() {
            self.limiter.release_unused(self.now);
        }
    }
}
