//! State of the keys that a holder may run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::key::Key;

units::record! {
    /// Outcome of a run.
    pub enum Outcome<A> {
        /// It did not start and may start later.
        Unrun,
        /// It ran and gave this answer.
        Answered(A),
        /// It ran, but its answer was not kept.
        Ran,
        /// It was started, and whether it ran to its end is unknown.
        Lost,
    }

    /// What to do with a request.
    pub enum Entry<A> {
        /// Run it, and record its end with [`Book::end`].
        Run,
        /// A request with the same key is running: wait for its end.
        Wait,
        /// It ran: return the answer of that run.
        Replay(A),
        /// It ran, but its answer was not kept.
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
    Ended(Outcome<A>),
}

#[derive(Debug, Clone)]
struct Record<A> {
    state: State<A>,
    since: Instant,
}

/// Keys held by one incarnation of a node.
#[derive(Debug, Clone)]
pub struct Book<A> {
    records: HashMap<Key, Record<A>>,
    window: Duration,
}

impl<A: Clone> Book<A> {
    /// An empty book that keeps keys for at least `window`.
    pub fn new(window: Duration) -> Self {
        Self { records: HashMap::new(), window }
    }

    /// Records that this node holds a key, as it won the claim or is named by the ticket.
    pub fn hold(&mut self, key: &Key, now: Instant) {
        self.records.entry(key.clone()).or_insert(Record { state: State::Held, since: now });
    }

    /// Whether a key is recorded.
    pub fn holds(&self, key: &Key) -> bool {
        self.records.contains_key(key)
    }

    /// Decides on a request with the key, and marks the key as running if it is to run.
    pub fn enter(&mut self, key: &Key) -> Entry<A> {
        let Some(record) = self.records.get_mut(key) else { return Entry::Unheld };
        match &record.state {
            State::Held => {
                record.state = State::Running;
                Entry::Run
            }
            State::Running => Entry::Wait,
            State::Ended(Outcome::Answered(answer)) => Entry::Replay(answer.clone()),
            State::Ended(Outcome::Ran) => Entry::Ran,
            State::Ended(Outcome::Lost | Outcome::Unrun) => Entry::Lost,
        }
    }

    /// Records the end of a run.
    pub fn end(&mut self, key: &Key, outcome: Outcome<A>, now: Instant) {
        let state = match outcome {
            Outcome::Unrun => State::Held,
            outcome => State::Ended(outcome),
        };
        if let Some(record) =
            self.records.get_mut(key).filter(|record| matches!(record.state, State::Running))
        {
            *record = Record { state, since: now };
        }
    }

    /// Removes keys whose window has passed, except running ones.
    pub fn tick(&mut self, now: Instant) {
        let window = self.window;
        let recent = |record: &Record<A>| now.saturating_duration_since(record.since) <= window;
        self.records.retain(|_, record| matches!(record.state, State::Running) || recent(record));
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
