//! Table of suspects, replicated between nodes by merging updates.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use units::NodeId;

use crate::fingerprint::Fingerprint;

/// Crashes, with no answer since, after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// Time after which a suspect is removed, if it has caused few crashes.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Time from the second crash until a quarantined request is tried again.
const TRIAL_DELAY: Duration = Duration::from_secs(10);
/// Factor by which that time, and the time to live, grow with each further crash.
const TRIAL_DELAY_FACTOR: u32 = 8;
/// Crashes beyond which they no longer grow.
const MAX_DELAY_CRASHES: usize = 8;
/// Time for which a change is told to nodes that may know it: exchanges spread it in a fraction of that.
const UPDATE_AGE: Duration = Duration::from_secs(15);
/// Maximum number of suspects; the oldest that are not quarantined are evicted first.
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

    /// Crash of an upstream during which a request was in flight, as it is saved by the upstream's node.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct SavedCrash {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Epoch of the upstream process that crashed.
        pub epoch: u64,
    }

    /// Update on a suspect, exchanged between nodes.
    pub struct SuspectUpdate {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Crash during which it was in flight.
        pub crash: Crash,
        /// An upstream has answered it since.
        pub cleared: bool,
        /// Method and path, for reports.
        pub call: String,
    }

    /// A request that was in flight when an upstream crashed.
    pub struct Suspect {
        /// Method and path, for reports.
        pub call: String,
        /// Crashes during which it was in flight, and whether an upstream has answered it since.
        pub crashes: HashMap<Crash, bool>,
        /// When it became known to this node.
        pub since: Instant,
        /// When a crash was added or cleared last; none since it was restored.
        pub changed_at: Option<Instant>,
        /// When a crash was added, or a trial began, last; or when that was restored.
        tried_at: Instant,
        /// Its age then: the clock may not reach back as far.
        age: Duration,
    }
}

/// Suspects known to a node.
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    entries: HashMap<Fingerprint, Suspect>,
    /// Part of the trial delay that this node waits beyond it, so that nodes don't try a request all at once.
    trial_spread: f64,
}

impl SuspectTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty table of a node that waits for a trial longer than others, by this part of the delay.
    pub fn with_trial_spread(trial_spread: f64) -> Self {
        Self { trial_spread, ..Self::default() }
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(Suspect::is_quarantined)
    }

    /// Whether a request is refused: it is quarantined, and not to be tried yet.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.is_quarantined() && !self.is_due(entry, now))
    }

    /// Admits a request unless it is refused. A quarantined one is then on trial, and the next one is refused until the
    /// trial delay has passed again: an answer to the trial releases it, a crash extends the delay.
    pub fn try_admit(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        if self.is_refused(fingerprint, now) {
            return false;
        }
        let entry = self.entries.get_mut(&fingerprint);
        if let Some(entry) = entry.filter(|entry| entry.is_quarantined()) {
            entry.record_trial(Duration::ZERO, now);
        }
        true
    }

    fn is_due(&self, entry: &Suspect, now: Instant) -> bool {
        let delay = entry.trial_delay().mul_f64(1.0 + self.trial_spread);
        entry.trial_age(now) >= delay
    }

    /// Clears a request that was answered of the crashes known so far; returns the updates for other nodes.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) -> Vec<SuspectUpdate> {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return Vec::new() };
        let mut updates = entry.updates(fingerprint);
        updates.retain(|update| !update.cleared);
        for update in &mut updates {
            update.cleared = true;
            entry.crashes.insert(update.crash.clone(), true);
            entry.changed_at = Some(now);
        }
        updates
    }

    /// Merges an update; true when it changed the table and has to be forwarded.
    pub fn merge(&mut self, update: &SuspectUpdate, now: Instant) -> bool {
        let changed = self.add(update, Duration::ZERO, now);
        if let Some(entry) = self.entries.get_mut(&update.fingerprint).filter(|_| changed) {
            entry.changed_at = Some(now);
        }
        self.evict_excess();
        changed
    }

    /// Restores a crash that was saved, as of a suspect that was last seen to crash an upstream, or tried, `age` ago.
    pub fn restore(&mut self, saved: &SavedCrash, node: &NodeId, age: Duration, now: Instant) {
        let crash = Crash { node: node.clone(), epoch: saved.epoch };
        let (fingerprint, call) = (saved.fingerprint, String::new());
        let update = SuspectUpdate { fingerprint, crash, cleared: false, call };
        self.add(&update, age, now);
        self.evict_excess();
    }

    /// The crashes of a node's upstream that no answer has cleared, at most `max`: those of quarantined requests first, then
    /// the latest; each with the time since its suspect last crashed an upstream, or was tried.
    pub fn crashes_of(
        &self,
        node: &NodeId,
        max: usize,
        now: Instant,
    ) -> Vec<(SavedCrash, Duration)> {
        let mut suspects: Vec<(&Fingerprint, &Suspect)> = self.entries.iter().collect();
        suspects.sort_unstable_by_key(|(fingerprint, entry)| {
            (!entry.is_quarantined(), entry.trial_age(now), fingerprint.0)
        });
        let crashes = suspects.into_iter().flat_map(|(fingerprint, entry)| {
            let age = entry.trial_age(now);
            entry
                .uncleared_at(node)
                .map(move |epoch| (SavedCrash { fingerprint: *fingerprint, epoch }, age))
        });
        crashes.take(max).collect()
    }

    /// Those of quarantined requests alone.
    pub fn quarantined_crashes_of(&self, node: &NodeId) -> BTreeSet<SavedCrash> {
        let crashes = self.quarantined().flat_map(|(fingerprint, entry)| {
            entry.uncleared_at(node).map(move |epoch| SavedCrash { fingerprint, epoch })
        });
        crashes.collect()
    }

    /// Adds what an update tells, of a crash `age` ago; true if it changed anything.
    fn add(&mut self, update: &SuspectUpdate, age: Duration, now: Instant) -> bool {
        let new_entry = || Suspect {
            call: update.call.clone(),
            crashes: HashMap::new(),
            since: now,
            changed_at: None,
            tried_at: now,
            age,
        };
        let entry = self.entries.entry(update.fingerprint).or_insert_with(new_entry);
        let changed = match entry.crashes.get_mut(&update.crash) {
            Some(cleared) => update.cleared && !std::mem::replace(cleared, true),
            None => entry.crashes.insert(update.crash.clone(), update.cleared).is_none(),
        };
        if changed && !update.cleared && age < entry.trial_age(now) {
            entry.record_trial(age, now);
        }
        changed
    }

    /// Updates to send to another node, at most `max`: of quarantined requests, and of those that changed lately. A node
    /// that may know none, as it `is_new`, is sent all suspects that were not cleared, too.
    pub fn updates_for(&self, is_new: bool, max: usize, now: Instant) -> Vec<SuspectUpdate> {
        let mut entries: Vec<(&Fingerprint, &Suspect)> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry.changed_at.is_some_and(|at| now.saturating_duration_since(at) < UPDATE_AGE)
                    || entry.is_quarantined()
                    || is_new && entry.crashes.values().any(|cleared| !cleared)
            })
            .collect();
        entries.sort_unstable_by_key(|(_, entry)| {
            std::cmp::Reverse((entry.is_quarantined(), entry.changed_at))
        });
        let updates = entries.into_iter().flat_map(|(print, entry)| entry.updates(*print));
        updates.take(max).collect()
    }

    /// Removes suspects past their time to live.
    pub fn tick(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.trial_age(now) < entry.time_to_live());
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
            .min_by_key(|(_, entry)| (entry.is_quarantined(), entry.since))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

impl Suspect {
    fn updates(&self, fingerprint: Fingerprint) -> Vec<SuspectUpdate> {
        let update = |(crash, cleared): (&Crash, &bool)| SuspectUpdate {
            fingerprint,
            crash: crash.clone(),
            cleared: *cleared,
            call: self.call.clone(),
        };
        self.crashes.iter().map(update).collect()
    }

    /// Time since a crash was added, or a trial began, last.
    fn trial_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.tried_at) + self.age
    }

    fn record_trial(&mut self, age: Duration, now: Instant) {
        (self.tried_at, self.age) = (now, age);
    }

    /// Epochs of a node's upstream that crashed, and whose crash no answer has cleared.
    fn uncleared_at(&self, node: &NodeId) -> impl Iterator<Item = u64> {
        let crashes =
            self.crashes.iter().filter(|(crash, cleared)| !**cleared && crash.node == *node);
        crashes.map(|(crash, _)| crash.epoch)
    }

    fn uncleared(&self) -> usize {
        self.crashes.values().filter(|cleared| !**cleared).count()
    }

    fn is_quarantined(&self) -> bool {
        self.uncleared() >= QUARANTINE_CRASHES
    }

    /// Time from the last crash, or trial, until the next trial.
    fn trial_delay(&self) -> Duration {
        let further = self.uncleared().min(MAX_DELAY_CRASHES).saturating_sub(QUARANTINE_CRASHES);
        TRIAL_DELAY * TRIAL_DELAY_FACTOR.pow(further as u32)
    }

    fn time_to_live(&self) -> Duration {
        SUSPECT_TTL.max(self.trial_delay() * TRIAL_DELAY_FACTOR)
    }
}
