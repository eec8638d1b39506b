//! The configuration as a fold of its stream: the same at every reader.
//!
//! A publish is accepted if its base is the version in force at its place in the log, and is a conflict otherwise.
//! Nothing else decides, not even whether the text can be read, as programs of different age may differ on that.

use units::{Offset, Version};

use crate::interface::Entry;
use crate::record::{ChangeId, Outcome, Published, Record, Snapshot};

/// Outcomes that are remembered, for authors whose answer was lost.
const OUTCOMES: usize = 64;

units::record! {
    /// What a record did.
    pub enum Event {
        /// A publish is the new version.
        Accepted(Published),
        /// A publish lost a race, or was made from an old version.
        Conflict {
            /// Id of the publish.
            id: ChangeId,
            /// Who published.
            author: units::Author,
            /// Version that it started from.
            base: Version,
            /// Version in force at its place.
            current: Version,
        },
        /// A failure domain has a version in force.
        Applied {
            /// The version.
            version: Version,
            /// The failure domain.
            domain: units::DomainName,
            /// Milliseconds since the epoch.
            at: u64,
        },
        /// The record can't be read; it has no effect.
        Unreadable(String),
    }

    /// How to go on after a record.
    pub enum Step {
        /// It changed nothing.
        Nothing,
        /// It had an effect.
        Event(Event),
        /// A snapshot was taken over; records from this offset on have to be read again.
        Rewind(Offset),
    }
}

/// State of the fold.
#[derive(Debug, Clone)]
pub struct Fold {
    state: Option<Snapshot>,
    /// Offset to look for a snapshot from, while the state at the next record is not known.
    seek: Option<Offset>,
}

impl Default for Fold {
    fn default() -> Self {
        Self { state: None, seek: Some(Offset(0)) }
    }
}

impl Fold {
    /// A fold that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offset to read next.
    pub fn next(&self) -> Offset {
        self.seek.or(self.state.as_ref().map(|state| state.next)).unwrap_or(Offset(0))
    }

    /// Version now.
    pub fn version(&self) -> Version {
        self.current().map_or(Version(0), |current| current.version)
    }

    /// Configuration now.
    pub fn current(&self) -> Option<&Published> {
        self.state.as_ref()?.current.as_ref()
    }

    /// State to hand over to another reader; `None` while records are missing.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        if self.seek.is_some() { None } else { self.state.as_ref() }
    }

    /// What became of a publish, as far as it is remembered.
    pub fn outcome(&self, id: &ChangeId) -> Option<&Outcome> {
        let outcomes = &self.state.as_ref()?.outcomes;
        outcomes.iter().rev().find(|(known, _)| known == id).map(|(_, outcome)| outcome)
    }

    /// Takes over another reader's state if it is further on.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        let further = self.snapshot().is_none_or(|state| snapshot.next > state.next);
        if !further || version_of(&snapshot) < self.version() {
            return false;
        }
        self.state = Some(snapshot);
        self.seek = None;
        true
    }

    /// Notes the first offset that the stream still has; called before its records are applied.
    pub fn begin(&mut self, first: Offset) {
        match (self.seek, &self.state) {
            (Some(Offset(0)), None) if first == Offset(0) => {
                self.state =
                    Some(Snapshot { next: Offset(0), current: None, outcomes: Vec::new() });
                self.seek = None;
            }
            (Some(seek), _) => self.seek = Some(seek.max(first)),
            // Records that this reader missed are gone. The configuration stays in force until a snapshot is found.
            (None, Some(state)) if first > state.next => self.seek = Some(first),
            (None, _) => {}
        }
    }

    /// Takes the next record.
    pub fn apply(&mut self, entry: &Entry) -> Step {
        let record: Result<Record, _> = serde_json::from_str(&entry.text);
        let (None, Some(state)) = (self.seek, &mut self.state) else {
            return self.search(entry.offset, record.ok());
        };
        if entry.offset < state.next {
            return Step::Nothing;
        }
        state.next = Offset(entry.offset.0 + 1);
        match record {
            Ok(Record::Publish { id, base, author, text }) => {
                let current = state.current.as_ref().map_or(Version(0), |current| current.version);
                if base != current {
                    remember(state, &id, Outcome::Conflict(current));
                    return Step::Event(Event::Conflict { id, author, base, current });
                }
                let version = Version(entry.offset.0 + 1);
                remember(state, &id, Outcome::Accepted(version));
                let published = Published { version, id, author, text };
                state.current = Some(published.clone());
                Step::Event(Event::Accepted(published))
            }
            Ok(Record::Applied { version, domain, at }) => {
                Step::Event(Event::Applied { version, domain, at })
            }
            Ok(Record::Snapshot(_)) => Step::Nothing,
            Err(err) => Step::Event(Event::Unreadable(err.to_string())),
        }
    }

    /// Without the state nothing can be judged; only a snapshot helps.
    fn search(&mut self, offset: Offset, record: Option<Record>) -> Step {
        self.seek = Some(Offset(offset.0 + 1));
        match record {
            Some(Record::Snapshot(snapshot))
                if snapshot.next <= offset && version_of(&snapshot) >= self.version() =>
            {
                let next = snapshot.next;
                self.state = Some(snapshot);
                self.seek = None;
                Step::Rewind(next)
            }
            _ => Step::Nothing,
        }
    }
}

fn version_of(snapshot: &Snapshot) -> Version {
    snapshot.current.as_ref().map_or(Version(0), |current| current.version)
}

fn remember(state: &mut Snapshot, id: &ChangeId, outcome: Outcome) {
    state.outcomes.push((id.clone(), outcome));
    if state.outcomes.len() > OUTCOMES {
        state.outcomes.remove(0);
    }
}
