//! The configuration in force.

use std::collections::VecDeque;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};
use std::time::{Duration, Instant};

use crate::configuration::Configuration;
use crate::decide::revision::{Origin, Revision};

/// Versions whose time of activation is remembered.
const MAX_TAKEN_VERSIONS: usize = 64;
/// Replaced documents of the version in force that are remembered.
const MAX_REPLACED: usize = 8;

/// What became of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It is in force from now on.
    Activated,
    /// It is the one in force, or of an older version.
    Known,
    /// It bears the version of the one in force, which stays.
    Conflict,
}

#[derive(Debug)]
struct Active {
    configuration: Arc<Configuration>,
    revision: Revision,
    /// Documents of the same version that were in force before.
    replaced: Vec<Revision>,
}

impl Active {
    fn observe(&mut self, revision: &Revision) {
        let known = &mut self.revision;
        let same = (known.version, known.digest) == (revision.version, revision.digest);
        if same && revision.origin.epoch > known.origin.epoch {
            known.origin = revision.origin;
        }
    }
}

#[derive(Debug, Default)]
struct State {
    active: Option<Active>,
    /// Versions that were taken last, and when.
    taken: VecDeque<(u64, Instant)>,
}

/// The configuration in force, and what is known of its document.
#[derive(Debug, Default)]
pub struct ActiveConfiguration(RwLock<State>);

impl ActiveConfiguration {
    /// The configuration; `None` before the first.
    pub fn get(&self) -> Option<Arc<Configuration>> {
        self.read().active.as_ref().map(|active| active.configuration.clone())
    }

    /// Its document, and those of the same version that it replaced.
    pub fn revisions(&self) -> Option<(Revision, Vec<Revision>)> {
        self.read().active.as_ref().map(|active| (active.revision, active.replaced.clone()))
    }

    /// Whether a document replaces the one in force; `told` are those that its sender has replaced.
    pub fn is_replaced_by(&self, revision: &Revision, told: &[Revision]) -> bool {
        let state = self.read();
        let active = state.active.as_ref();
        active.is_none_or(|active| revision.replaces(&active.revision, &active.replaced, told))
    }

    /// Takes note of a document that another node has, which may be the one in force in a later epoch of the store.
    pub fn observe(&self, revision: &Revision) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(active) = &mut state.active {
            active.observe(revision);
        }
    }

    /// Activates a configuration if its document replaces the one in force.
    pub fn take(
        &self,
        configuration: Configuration,
        origin: Origin,
        told: &[Revision],
        now: Instant,
    ) -> Taken {
        let Configuration { version, digest, .. } = configuration;
        let revision = Revision { version, digest, origin };
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let mut replaced = Vec::new();
        if let Some(active) = &mut state.active {
            active.observe(&revision);
            if !revision.replaces(&active.revision, &active.replaced, told) {
                let same_version = version == active.revision.version;
                let conflict = same_version && digest != active.revision.digest;
                return if conflict { Taken::Conflict } else { Taken::Known };
            }
            if version == active.revision.version {
                replaced.append(&mut active.replaced);
                replaced.retain(|old| !old.is_copy_of(&revision));
                replaced.push(active.revision);
                let excess = replaced.len().saturating_sub(MAX_REPLACED);
                replaced.drain(..excess);
            }
        }
        state.active = Some(Active { configuration: Arc::new(configuration), revision, replaced });
        if state.taken.len() == MAX_TAKEN_VERSIONS {
            state.taken.pop_front();
        }
        state.taken.push_back((version, now));
        Taken::Activated
    }

    /// Latest version that has been in force for at least `age`; 0 if there is none.
    pub fn version_before(&self, age: Duration, now: Instant) -> u64 {
        let state = self.read();
        let mut latest = state.taken.iter().rev();
        let old = latest.find(|(_, at)| now.saturating_duration_since(*at) >= age);
        old.map_or(0, |(version, _)| *version)
    }

    fn read(&self) -> RwLockReadGuard<'_, State> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }
}
