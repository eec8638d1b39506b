//! Table of suspects, replicated between nodes by merging updates.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use units::NodeId;

use crate::fingerprint::Fingerprint;

/// Crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// Time after which a suspect is removed.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Maximum number of suspects; the oldest are evicted first.
const MAX_SUSPECTS: usize = 4_096;

units::record! {
    /// Crash of an upstream.
    #[derive(Eq, Hash)]
    pub struct Crash {
        /// Node that the upstream belongs to.
        pub node: NodeId,
        /// Epoch of the upstream process that crashed.
        pub epoch: u64,
    }

    /// Update on a suspect, exchanged between nodes.
    pub struct SuspectUpdate {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Crash during which it was in flight; `None` when it was cleared.
        pub crash: Option<Crash>,
        /// Method and path, for reports.
        pub call: String,
    }

    /// A request that was in flight when an upstream crashed.
    pub struct Suspect {
        /// Method and path, for reports.
        pub call: String,
        /// Crashes during which it was in flight.
        pub crashes: Vec<Crash>,
        /// When it became known to this node.
        pub since: Instant,
        /// A request with the same fingerprint was answered.
        pub cleared: bool,
    }
}

/// Suspects known to a node.
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    entries: HashMap<Fingerprint, Suspect>,
}

impl SuspectTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(Suspect::is_quarantined)
    }

    /// Clears a request that was answered; returns the update for other nodes if it was an uncleared suspect.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> Option<SuspectUpdate> {
        let entry = self.entries.get_mut(&fingerprint).filter(|entry| !entry.cleared)?;
        entry.cleared = true;
        Some(SuspectUpdate { fingerprint, crash: None, call: entry.call.clone() })
    }

    /// Merges an update; true when it changed the table and has to be forwarded.
    pub fn merge(&mut self, update: &SuspectUpdate, now: Instant) -> bool {
        let new_entry = || Suspect {
            call: update.call.clone(),
            crashes: Vec::new(),
            since: now,
            cleared: false,
        };
        let entry = self.entries.entry(update.fingerprint).or_insert_with(new_entry);
        let changed = match &update.crash {
            Some(crash) if entry.crashes.contains(crash) => false,
            Some(crash) => {
                entry.crashes.push(crash.clone());
                true
            }
            None => !std::mem::replace(&mut entry.cleared, true),
        };
        self.evict_excess();
        changed
    }

    /// Removes suspects past their time to live.
    pub fn tick(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now.saturating_duration_since(entry.since) < SUSPECT_TTL);
    }

    /// Quarantined requests.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.is_quarantined())
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

    fn evict_excess(&mut self) {
        if self.entries.len() <= MAX_SUSPECTS {
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

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= QUARANTINE_CRASHES && !self.cleared
    }
}
