//! State of the keys that a holder may run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::key::Key;

units::record! {
    /// Outcome of a run.
    pub enum Outcome<A> {
        /// It did not start and may start later.
        NotRun,
        /// It ran and gave this answer.
        Answered(A),
        /// It ran, but its answer was not kept.
        Ran,
        /// It was started, and whether it ran to its end is unknown.
        Unknown,
    }

    /// What to do with a request.
    pub enum Action<A> {
        /// Run it, and record its end with [`KeyRecords::finish`].
        Run,
        /// A request with the same key is running: wait for its end.
        Wait,
        /// It ran: return the answer of that run.
        Replay(A),
        /// It ran, but its answer was not kept.
        Ran,
        /// It may have run.
        Unknown,
        /// This node doesn't hold the key.
        NotHeld,
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
pub struct KeyRecords<A> {
    records: HashMap<Key, Record<A>>,
    window: Duration,
}

impl<A: Clone> KeyRecords<A> {
    /// No keys; each is kept for at least `window`.
    pub fn new(window: Duration) -> Self {
        Self { records: HashMap::new(), window }
    }

    /// Records that this node holds a key, as it won the claim or is named by the ticket.
    pub fn hold(&mut self, key: &Key, now: Instant) {
        self.records.entry(key.clone()).or_insert(Record { state: State::Held, since: now });
    }

    /// Whether a key is recorded.
    pub fn contains(&self, key: &Key) -> bool {
        self.records.contains_key(key)
    }

    /// Decides on a request with the key, and marks the key as running if it is to run.
    pub fn admit(&mut self, key: &Key) -> Action<A> {
        let Some(record) = self.records.get_mut(key) else { return Action::NotHeld };
        match &record.state {
            State::Held => {
                record.state = State::Running;
                Action::Run
            }
            State::Running => Action::Wait,
            State::Ended(Outcome::Answered(answer)) => Action::Replay(answer.clone()),
            State::Ended(Outcome::Ran) => Action::Ran,
            State::Ended(Outcome::Unknown | Outcome::NotRun) => Action::Unknown,
        }
    }

    /// Records the end of a run.
    pub fn finish(&mut self, key: &Key, outcome: Outcome<A>, now: Instant) {
        let state = match outcome {
            Outcome::NotRun => State::Held,
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
