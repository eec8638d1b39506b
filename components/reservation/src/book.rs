//! What a holder remembers of the keys that it may run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::key::Key;

units::record! {
    /// What became of a run.
    pub enum Outcome<A> {
        /// It never started, and may be started later.
        Unrun,
        /// It ran and this is its answer.
        Answered(A),
        /// It ran, and its answer was not kept.
        Ran,
        /// It was started and nobody knows how far it got.
        Lost,
    }

    /// What to do with a request.
    pub enum Entry<A> {
        /// Run it; its end has to be told.
        Run,
        /// The same request runs already: wait for its end.
        Wait,
        /// It ran: give the first run's answer.
        Replay(A),
        /// It ran, and its answer was not kept.
        Ran,
        /// It may have run.
        Lost,
        /// This node doesn't hold the key.
        Unheld,
    }
}

#[derive(Debug, Clone)]
enum State<A> {
    Held,
    Running,
    Over(Outcome<A>),
}

#[derive(Debug, Clone)]
struct Page<A> {
    state: State<A>,
    since: Instant,
}

/// The keys that one life of a node holds.
#[derive(Debug, Clone)]
pub struct Book<A> {
    pages: HashMap<Key, Page<A>>,
    window: Duration,
}

impl<A: Clone> Book<A> {
    /// A book that remembers keys for at least `window`.
    pub fn new(window: Duration) -> Self {
        Self { pages: HashMap::new(), window }
    }

    /// This node holds a key from now on: it won the claim, or is named by the ticket.
    pub fn hold(&mut self, key: &Key, now: Instant) {
        self.pages.entry(key.clone()).or_insert(Page { state: State::Held, since: now });
    }

    /// Whether this node remembers a key.
    pub fn holds(&self, key: &Key) -> bool {
        self.pages.contains_key(key)
    }

    /// A request with the key asks to run.
    pub fn enter(&mut self, key: &Key) -> Entry<A> {
        let Some(page) = self.pages.get_mut(key) else { return Entry::Unheld };
        match &page.state {
            State::Held => {
                page.state = State::Running;
                Entry::Run
            }
            State::Running => Entry::Wait,
            State::Over(Outcome::Answered(answer)) => Entry::Replay(answer.clone()),
            State::Over(Outcome::Ran) => Entry::Ran,
            State::Over(Outcome::Lost | Outcome::Unrun) => Entry::Lost,
        }
    }

    /// A run ended.
    pub fn end(&mut self, key: &Key, outcome: Outcome<A>, now: Instant) {
        let state = match outcome {
            Outcome::Unrun => State::Held,
            outcome => State::Over(outcome),
        };
        if let Some(page) =
            self.pages.get_mut(key).filter(|page| matches!(page.state, State::Running))
        {
            *page = Page { state, since: now };
        }
    }

    /// Forgets keys whose window has passed; one that runs is never forgotten.
    pub fn tick(&mut self, now: Instant) {
        let window = self.window;
        let fresh = |page: &Page<A>| now.saturating_duration_since(page.since) <= window;
        self.pages.retain(|_, page| matches!(page.state, State::Running) || fresh(page));
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.pages.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.pages.is_empty()
    }
}
