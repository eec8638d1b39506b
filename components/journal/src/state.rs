//! The configuration as a fold of its stream, with the same result at every reader.
//!
//! A publish is accepted if its base is the version in force at its offset, and is a conflict otherwise.
//! Nothing else counts, not even whether the text can be parsed, since program versions may differ in that.

use units::{Offset, Version};

use crate::interface::Entry;
use crate::record::{Outcome, PublishId, Published, Record, Snapshot};

/// Publish outcomes kept for authors who lost the response.
const MAX_KEPT_OUTCOMES: usize = 64;

units::record! {
    /// Effect of a record.
    pub enum Event {
        /// A publish became the new version.
        Accepted(Published),
        /// A publish was not based on the current version: it lost a race or started from an old one.
        Conflict {
            /// Id of the publish.
            id: PublishId,
            /// Author of the publish.
            author: units::Author,
            /// Version that it was based on.
            base: Version,
            /// Version in force at its offset.
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
        /// The record can't be parsed, and has no effect.
        Unreadable(String),
    }

    /// How to continue after a record.
    pub enum Step {
        /// It changed nothing.
        Unchanged,
        /// It had an effect.
        Event(Event),
        /// A snapshot was adopted; records from this offset on have to be read again.
        Rewind(Offset),
    }
}

/// State of one reader.
#[derive(Debug, Clone)]
pub struct ConfigurationState {
    state: Option<Snapshot>,
    /// Next offset to search for a snapshot, while the state before it is unknown.
    search_from: Option<Offset>,
}

impl Default for ConfigurationState {
    fn default() -> Self {
        Self { state: None, search_from: Some(Offset(0)) }
    }
}

impl ConfigurationState {
    /// The state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offset to read next.
    pub fn next_offset(&self) -> Offset {
        self.search_from.or(self.state.as_ref().map(|state| state.next)).unwrap_or(Offset(0))
    }

    /// Current version.
    pub fn version(&self) -> Version {
        self.current().map_or(Version(0), |current| current.version)
    }

    /// Current configuration.
    pub fn current(&self) -> Option<&Published> {
        self.state.as_ref()?.current.as_ref()
    }

    /// State for another reader to adopt; `None` while records are missing.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        if self.search_from.is_some() { None } else { self.state.as_ref() }
    }

    /// Outcome of a publish, if it is still kept.
    pub fn outcome(&self, id: &PublishId) -> Option<&Outcome> {
        let outcomes = &self.state.as_ref()?.outcomes;
        outcomes.iter().rev().find(|(known, _)| known == id).map(|(_, outcome)| outcome)
    }

    /// Adopts another reader's state if it is ahead; returns whether it was adopted.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        let is_ahead = self.snapshot().is_none_or(|state| snapshot.next > state.next);
        if !is_ahead || version_of(&snapshot) < self.version() {
            return false;
        }
        self.state = Some(snapshot);
        self.search_from = None;
        true
    }

    /// Sets the first offset that the stream still retains; called before its records are applied.
    pub fn start_batch(&mut self, first: Offset) {
        match (self.search_from, &self.state) {
            (Some(Offset(0)), None) if first == Offset(0) => {
                self.state =
                    Some(Snapshot { next: Offset(0), current: None, outcomes: Vec::new() });
                self.search_from = None;
            }
            (Some(offset), _) => self.search_from = Some(offset.max(first)),
            // Records that this reader missed were deleted. The configuration stays in force until a snapshot is found.
            (None, Some(state)) if first > state.next => self.search_from = Some(first),
            (None, _) => {}
        }
    }

    /// Applies the next record.
    pub fn apply(&mut self, entry: &Entry) -> Step {
        let record: Result<Record, _> = serde_json::from_str(&entry.text);
        let (None, Some(state)) = (self.search_from, &mut self.state) else {
            return self.search_snapshot(entry.offset, record.ok());
        };
        if entry.offset < state.next {
            return Step::Unchanged;
        }
        state.next = Offset(entry.offset.0 + 1);
        match record {
            Ok(Record::Publish { id, base, author, text }) => {
                let current = state.current.as_ref().map_or(Version(0), |current| current.version);
                if base != current {
                    record_outcome(state, &id, Outcome::Conflict(current));
                    return Step::Event(Event::Conflict { id, author, base, current });
                }
                let version = Version(entry.offset.0 + 1);
                record_outcome(state, &id, Outcome::Accepted(version));
                let published = Published { version, id, author, text };
                state.current = Some(published.clone());
                Step::Event(Event::Accepted(published))
            }
            Ok(Record::Applied { version, domain, at }) => {
                Step::Event(Event::Applied { version, domain, at })
            }
            Ok(Record::Snapshot(_)) => Step::Unchanged,
            Err(err) => Step::Event(Event::Unreadable(err.to_string())),
        }
    }

    /// Skips records until a snapshot is found: no publish can be evaluated while the state is unknown.
    fn search_snapshot(&mut self, offset: Offset, record: Option<Record>) -> Step {
        self.search_from = Some(Offset(offset.0 + 1));
        match record {
            Some(Record::Snapshot(snapshot))
                if snapshot.next <= offset && version_of(&snapshot) >= self.version() =>
            {
                let next = snapshot.next;
                self.state = Some(snapshot);
                self.search_from = None;
                Step::Rewind(next)
            }
            _ => Step::Unchanged,
        }
    }
}

fn version_of(snapshot: &Snapshot) -> Version {
    snapshot.current.as_ref().map_or(Version(0), |current| current.version)
}

fn record_outcome(state: &mut Snapshot, id: &PublishId, outcome: Outcome) {
    state.outcomes.push((id.clone(), outcome));
    if state.outcomes.len() > MAX_KEPT_OUTCOMES {
        state.outcomes.remove(0);
    }
}
