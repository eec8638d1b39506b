//! The table of suspects, merged from node to node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use units::NodeId;

use crate::fingerprint::Fingerprint;

/// Deaths after which a request is in quarantine.
const DEATHS: usize = 2;
/// Time until a suspect is forgotten.
const LIFE: Duration = Duration::from_secs(600);
/// Suspects that are remembered; the oldest go first.
const MOST: usize = 4_096;

units::record! {
    /// One upstream's death.
    #[derive(Eq, Hash)]
    pub struct Death {
        /// The node beside it.
        pub node: NodeId,
        /// Which of its upstream's lives ended.
        pub epoch: u64,
    }

    /// News of a suspect, as nodes tell each other.
    pub struct Told {
        /// The request.
        pub fingerprint: Fingerprint,
        /// The death it was there at; `None` when it was cleared.
        pub death: Option<Death>,
        /// Method and path, for reports.
        pub call: String,
    }

    /// A suspect.
    pub struct Entry {
        /// Method and path, for reports.
        pub call: String,
        /// Deaths that it was there at.
        pub deaths: Vec<Death>,
        /// When it was first heard of.
        pub since: Instant,
        /// Somebody answered a request like it.
        pub cleared: bool,
    }
}

/// The suspects that a node knows of.
#[derive(Debug, Clone, Default)]
pub struct Table {
    entries: HashMap<Fingerprint, Entry>,
}

impl Table {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request must not run.
    pub fn holds(&self, fingerprint: Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(Entry::is_held)
    }

    /// A request was answered; true when it was a suspect, which others have to hear.
    pub fn answered(&mut self, fingerprint: Fingerprint) -> Option<Told> {
        let entry = self.entries.get_mut(&fingerprint).filter(|entry| !entry.cleared)?;
        entry.cleared = true;
        Some(Told { fingerprint, death: None, call: entry.call.clone() })
    }

    /// Takes news; true when it is new here and has to be passed on.
    pub fn merge(&mut self, told: &Told, now: Instant) -> bool {
        let fresh =
            || Entry { call: told.call.clone(), deaths: Vec::new(), since: now, cleared: false };
        let entry = self.entries.entry(told.fingerprint).or_insert_with(fresh);
        let news = match &told.death {
            Some(death) if entry.deaths.contains(death) => false,
            Some(death) => {
                entry.deaths.push(death.clone());
                true
            }
            None => !std::mem::replace(&mut entry.cleared, true),
        };
        self.trim();
        news
    }

    /// Forgets suspects that are old.
    pub fn tick(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now.saturating_duration_since(entry.since) < LIFE);
    }

    /// Requests in quarantine.
    pub fn held(&self) -> impl Iterator<Item = (Fingerprint, &Entry)> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.is_held())
            .map(|(fingerprint, entry)| (*fingerprint, entry))
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn trim(&mut self) {
        if self.entries.len() <= MOST {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.since)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

impl Entry {
    fn is_held(&self) -> bool {
        self.deaths.len() >= DEATHS && !self.cleared
    }
}
