//! Admission to the local upstream: the decisions of the limiter, and the requests waiting for them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use limits::{
    AdmissionController, AdmissionRequest, Config, Decision, Load, Outcome, Priority, RefusalReason,
};
use tokio::sync::oneshot;

use super::shards::lock;
use crate::request::parent::Token;

/// Decision on a waiting request.
type WaitResult = Result<(), RefusalReason>;

struct State {
    limiter: AdmissionController<Token>,
    waiters: HashMap<Token, oneshot::Sender<WaitResult>>,
    /// Buffer for outcomes until they are delivered; kept to reuse its allocation.
    outcomes: Vec<Outcome<Token>>,
}

/// Admission control for the local upstream.
pub struct AdmissionQueue {
    state: Mutex<State>,
}

/// Result of a request for admission.
pub enum Admission<'a> {
    /// Admitted.
    Run,
    /// Refused.
    Refused(RefusalReason),
    /// Queued.
    Wait(Waiter<'a>),
}

/// A queued request; leaves the queue when dropped.
pub struct Waiter<'a> {
    queue: &'a AdmissionQueue,
    token: Token,
    answer: oneshot::Receiver<WaitResult>,
    entered: Instant,
    decided: bool,
}

impl AdmissionQueue {
    /// Admission queue for an upstream that has just started.
    pub fn new(config: Config, now: Instant) -> Self {
        let state = State {
            limiter: AdmissionController::new(config, now),
            waiters: HashMap::new(),
            outcomes: Vec::new(),
        };
        Self { state: Mutex::new(state) }
    }

    /// Replaces the limiter after a restart of the upstream.
    pub fn restart(&self, config: Config, now: Instant) {
        self.update(|limiter, _| {
            let fresh = AdmissionController::new(config, now);
            limiter.restart(fresh);
        });
    }

    /// Applies a changed announcement or rule.
    pub fn configure(&self, config: Config) {
        lock(&self.state).limiter.configure(config);
    }

    /// Requests admission.
    pub fn enter(&self, request: AdmissionRequest<Token>, now: Instant) -> Admission<'_> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let decision = state.limiter.admit(request, now, &mut state.outcomes);
        let admission = match decision {
            Decision::Run => Admission::Run,
            Decision::Refuse(reason) => Admission::Refused(reason),
            Decision::Wait => {
                let (sender, answer) = oneshot::channel();
                state.waiters.insert(request.key, sender);
                Admission::Wait(Waiter {
                    queue: self,
                    token: request.key,
                    answer,
                    entered: now,
                    decided: false,
                })
            }
        };
        state.deliver();
        admission
    }

    /// Records the end of a run: the time its slot was held, and the part of it spent in the upstream itself.
    pub fn finish(&self, service_time: Duration, self_time: Duration, now: Instant) {
        self.update(|limiter, out| limiter.finish(service_time, self_time, now, out));
    }

    /// Records the end of a run whose time is no sample of the upstream's latency.
    pub fn abandon(&self, now: Instant) {
        self.update(|limiter, out| limiter.abandon(now, out));
    }

    /// Refuses requests that have waited too long.
    pub fn tick(&self, now: Instant) {
        self.update(|limiter, out| limiter.tick(now, out));
    }

    /// Applies the upstream's own load report.
    pub fn report_load(&self, busy: u32, waiting: u32, now: Instant) {
        lock(&self.state).limiter.report_load(busy, waiting, now);
    }

    /// Refuses new work from a given time on.
    pub fn drain(&self, from: Instant) {
        lock(&self.state).limiter.drain(from);
    }

    /// Accepts new work again.
    pub fn undrain(&self) {
        lock(&self.state).limiter.undrain();
    }

    /// Whether no request is running or queued.
    pub fn is_idle(&self) -> bool {
        lock(&self.state).limiter.is_idle()
    }

    /// Current load.
    pub fn load(&self, now: Instant) -> Load {
        lock(&self.state).limiter.load(now)
    }

    /// Admission level.
    pub fn level(&self) -> Priority {
        lock(&self.state).limiter.level()
    }

    /// Time after which a refused request may be admitted.
    pub fn retry_after(&self) -> Duration {
        lock(&self.state).limiter.retry_after()
    }

    fn update(
        &self,
        action: impl FnOnce(&mut AdmissionController<Token>, &mut Vec<Outcome<Token>>),
    ) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        action(&mut state.limiter, &mut state.outcomes);
        state.deliver();
    }
}

impl State {
    fn deliver(&mut self) {
        for outcome in self.outcomes.drain(..) {
            let (token, answer) = match outcome {
                Outcome::Run(token) => (token, Ok(())),
                Outcome::Refuse(token, reason) => (token, Err(reason)),
            };
            if let Some(waiter) = self.waiters.remove(&token) {
                // A dropped waiter has removed itself under the lock, so the receiver is still alive.
                let _ = waiter.send(answer);
            }
        }
    }
}

impl Waiter<'_> {
    /// Waits for the decision.
    pub async fn answer(mut self) -> WaitResult {
        let answer = (&mut self.answer).await;
        self.decided = true;
        answer.unwrap_or(Err(RefusalReason::Draining))
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let mut state = lock(&self.queue.state);
        let state = &mut *state;
        state.waiters.remove(&self.token);
        let was_queued = state.limiter.cancel(self.token);
        // The slot may have been granted while the caller was disconnecting.
        if !was_queued && let Ok(Ok(())) = self.answer.try_recv() {
            state.limiter.abandon(self.entered, &mut state.outcomes);
            state.deliver();
        }
    }
}
