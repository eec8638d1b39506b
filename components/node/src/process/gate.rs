//! The guard's decisions with the requests that wait for them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use limits::{Config, Decision, Guard, Load, Offer, Outcome, Priority, Refused};
use tokio::sync::oneshot;

use super::shards::lock;
use crate::request::parent::Token;

/// Answer that a waiting request gets.
type Answer = Result<(), Refused>;

struct State {
    guard: Guard<Token>,
    waiters: HashMap<Token, oneshot::Sender<Answer>>,
    /// Outcomes on their way to the waiters; kept for its memory only.
    outcomes: Vec<Outcome<Token>>,
}

/// Guard of the upstream beside this node.
pub struct Gate {
    state: Mutex<State>,
}

/// What becomes of a request that asks to run.
pub enum Entry<'a> {
    /// It runs.
    Run,
    /// It is refused.
    Refused(Refused),
    /// It waits.
    Wait(Waiter<'a>),
}

/// A request that waits; it leaves the queue when dropped.
pub struct Waiter<'a> {
    gate: &'a Gate,
    token: Token,
    answer: oneshot::Receiver<Answer>,
    now: Instant,
    settled: bool,
}

impl Gate {
    /// A gate of an upstream that has just started.
    pub fn new(config: Config, now: Instant) -> Self {
        let state =
            State { guard: Guard::new(config, now), waiters: HashMap::new(), outcomes: Vec::new() };
        Self { state: Mutex::new(state) }
    }

    /// Replaces the guard: the upstream was started anew.
    pub fn restart(&self, config: Config, now: Instant) {
        self.change(|guard, _| {
            let fresh = Guard::new(config, now);
            guard.restart(fresh);
        });
    }

    /// Takes a changed announcement or rule.
    pub fn configure(&self, config: Config) {
        lock(&self.state).guard.configure(config);
    }

    /// Asks to run a request.
    pub fn enter(&self, offer: Offer<Token>, now: Instant) -> Entry<'_> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let decision = state.guard.offer(offer, now, &mut state.outcomes);
        let entry = match decision {
            Decision::Run => Entry::Run,
            Decision::Refuse(refused) => Entry::Refused(refused),
            Decision::Wait => {
                let (sender, answer) = oneshot::channel();
                state.waiters.insert(offer.key, sender);
                Entry::Wait(Waiter { gate: self, token: offer.key, answer, now, settled: false })
            }
        };
        state.deliver();
        entry
    }

    /// Takes the end of a run.
    pub fn finish(&self, held: Duration, own: Duration, now: Instant) {
        self.change(|guard, out| guard.finish(held, own, now, out));
    }

    /// Takes the end of a run that says nothing about the upstream's speed.
    pub fn abandon(&self, now: Instant) {
        self.change(|guard, out| guard.abandon(now, out));
    }

    /// Refuses what has waited too long.
    pub fn tick(&self, now: Instant) {
        self.change(|guard, out| guard.tick(now, out));
    }

    /// Takes the upstream's own load report.
    pub fn hint(&self, busy: u32, waiting: u32, now: Instant) {
        lock(&self.state).guard.hint(busy, waiting, now);
    }

    /// Refuses new work from a moment on.
    pub fn drain(&self, from: Instant) {
        lock(&self.state).guard.drain(from);
    }

    /// Takes new work again.
    pub fn undrain(&self) {
        lock(&self.state).guard.undrain();
    }

    /// Whether nothing runs and nothing waits.
    pub fn is_idle(&self) -> bool {
        lock(&self.state).guard.is_idle()
    }

    /// The load now.
    pub fn load(&self, now: Instant) -> Load {
        lock(&self.state).guard.load(now)
    }

    /// The admission level.
    pub fn level(&self) -> Priority {
        lock(&self.state).guard.level()
    }

    /// Time after which a refused request may find a slot.
    pub fn retry_after(&self) -> Duration {
        lock(&self.state).guard.retry_after()
    }

    fn change(&self, action: impl FnOnce(&mut Guard<Token>, &mut Vec<Outcome<Token>>)) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        action(&mut state.guard, &mut state.outcomes);
        state.deliver();
    }
}

impl State {
    fn deliver(&mut self) {
        for outcome in self.outcomes.drain(..) {
            let (token, answer) = match outcome {
                Outcome::Run(token) => (token, Ok(())),
                Outcome::Refuse(token, refused) => (token, Err(refused)),
            };
            if let Some(waiter) = self.waiters.remove(&token) {
                // A waiter takes itself out under the lock before its receiver goes.
                let _ = waiter.send(answer);
            }
        }
    }
}

impl Waiter<'_> {
    /// Waits for the answer.
    pub async fn answer(mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.settled = true;
        answer.unwrap_or(Err(Refused::Draining))
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut state = lock(&self.gate.state);
        let state = &mut *state;
        state.waiters.remove(&self.token);
        let waited = state.guard.leave(self.token);
        // The slot may have been given in the moment the caller left.
        if !waited && let Ok(Ok(())) = self.answer.try_recv() {
            state.guard.abandon(self.now, &mut state.outcomes);
            state.deliver();
        }
    }
}
