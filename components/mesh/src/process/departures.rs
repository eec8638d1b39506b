//! Keeps announced departures of the upstream where they outlive the process, before they are acknowledged.
//!
//! They are part of this node's record: in the store, and at the other nodes, which keep them when a later incarnation of
//! this node replaces its record. A killed process so learns from either what it had acknowledged. Where the store fails,
//! a node of another failure domain has to know them, as this one may be lost as a whole, and they are written to the
//! store until it has them. Where all that knew are lost, a new process needs more than one heartbeat to use the upstream
//! (see [`super::upstream`]).

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use quarantine::SavedCrash;
use tokio::sync::watch;

use super::control;
use super::events::Event;
use super::exchange::targets;
use super::shared::{Shared, lock};
use super::store;
use crate::decide::members::{self, Departure};
use crate::platform::Platform;

/// Time in which the store, and after that another node, has to take a departure: the upstream waits a second for the
/// acknowledgement.
const STORE_TIMEOUT: Duration = Duration::from_millis(450);
const NODE_TIMEOUT: Duration = Duration::from_millis(400);

/// What of this node's record outlives its process.
#[derive(Debug, Default)]
pub struct Kept {
    /// Held while the record is written to the store, so that an older one does not replace it.
    pub writing: tokio::sync::Mutex<()>,
    /// Departures that the store, or a node of another failure domain, knows.
    departures: Mutex<Vec<Departure>>,
    /// Departures that the store knows.
    stored: Mutex<Vec<Departure>>,
    /// How far other nodes have applied the member table.
    told: watch::Sender<Told>,
    /// Whether another node has to be told now, as the store has failed.
    urgent: AtomicBool,
    /// Crashes of quarantined requests in the record that the store has, or is to get.
    quarantined: Mutex<BTreeSet<SavedCrash>>,
    /// Whether the record that an earlier process left in the store has been read.
    restored: AtomicBool,
}

/// Revisions of the member table that other nodes have applied.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    /// One in this failure domain.
    inside: u64,
    /// One in another.
    outside: u64,
}

impl Kept {
    /// Takes note that another node has applied this node's member table up to a revision.
    pub fn record_told(&self, revision: u64, same_domain: bool) {
        self.told.send_if_modified(|told| {
            let latest = if same_domain { &mut told.inside } else { &mut told.outside };
            let later = revision > *latest;
            *latest = revision.max(*latest);
            later
        });
    }

    /// Whether another node has to be told of a departure now.
    pub fn is_urgent(&self) -> bool {
        self.urgent.load(Ordering::Relaxed)
    }

    /// Takes note of the crashes of quarantined requests that the store knows, or is to be told; false if these were known.
    pub fn record_quarantined(&self, crashes: BTreeSet<SavedCrash>) -> bool {
        let mut known = lock(&self.quarantined);
        let differs = *known != crashes;
        *known = crashes;
        differs
    }

    /// Takes note that the record which an earlier process left in the store has been read.
    pub fn record_restored(&self) {
        self.restored.store(true, Ordering::Relaxed);
    }

    /// Whether a write of this node's record replaces nothing that this process does not know.
    pub fn is_restored(&self) -> bool {
        self.restored.load(Ordering::Relaxed)
    }

    /// Takes note that the store knows departures.
    pub fn record_stored(&self, departures: &[Departure]) {
        members::add_departures(&mut lock(&self.stored), departures);
        self.record_departures(departures);
    }

    fn record_departures(&self, departures: &[Departure]) {
        members::add_departures(&mut lock(&self.departures), departures);
    }
}

fn covers(known: &Mutex<Vec<Departure>>, departures: &[Departure]) -> bool {
    let known = lock(known);
    departures.iter().all(|departure| known.iter().any(|other| other.covers(departure)))
}

/// Where departures were learned.
#[derive(Debug, Clone, Copy)]
pub enum Source<'a> {
    /// In the store.
    Store,
    /// From this node.
    Node(&'a str),
}

/// Keeps the departures that this node knows; false if neither the store nor another node has taken them.
pub async fn keep<P: Platform>(shared: &Shared<P>) -> bool {
    shared.publish_upstream();
    let (known, revision) = {
        let table = lock(&shared.members);
        let own = table.own().map(|own| own.record.departures.clone());
        (own.unwrap_or_default(), table.revision())
    };
    if covers(&shared.kept.departures, &known) {
        return true;
    }
    let asked = shared.now();
    let saved = tokio::time::timeout(STORE_TIMEOUT, store::save_record(shared)).await;
    let place = if matches!(saved, Ok(Ok(_))) {
        "store"
    } else {
        // It is written until the store has it.
        shared.record_outdated.notify_one();
        if told_in_time(shared, revision).await { "node" } else { "" }
    };
    shared.log(&Event::DeparturesKept {
        place,
        departures: known.len(),
        after_ms: shared.now().saturating_duration_since(asked).as_millis() as u64,
    });
    if place.is_empty() {
        return false;
    }
    shared.kept.record_departures(&known);
    true
}

/// Sends this node's record to other nodes; whether one that is not lost with this node's failure domain has it in time.
/// Where no other failure domain can be reached at present, one of this domain is enough.
async fn told_in_time<P: Platform>(shared: &Shared<P>, revision: u64) -> bool {
    let kept = &shared.kept;
    let is_alone = targets::reachable_domains(shared, shared.now()).is_empty();
    kept.urgent.store(true, Ordering::Relaxed);
    shared.exchange_now.notify_one();
    let mut told = kept.told.subscribe();
    let is_kept = |told: &Told| told.outside >= revision || (is_alone && told.inside >= revision);
    let told = tokio::time::timeout(NODE_TIMEOUT, told.wait_for(is_kept)).await;
    kept.urgent.store(false, Ordering::Relaxed);
    matches!(told, Ok(Ok(_)))
}

/// Restores departures of which the store, or another node, knows from an earlier incarnation of this node.
pub fn recall<P: Platform>(shared: &Shared<P>, departures: &[Departure], source: Source<'_>) {
    if departures.is_empty() {
        return;
    }
    let from = match source {
        Source::Store => {
            shared.kept.record_stored(departures);
            "store"
        }
        Source::Node(node) => {
            if !shared.is_neighbour(node) {
                shared.kept.record_departures(departures);
            }
            node
        }
    };
    let (changed, heartbeat, state) = {
        let mut upstream = lock(&shared.upstream);
        let changed = upstream.recall(departures, shared.moment());
        (changed, upstream.last_heartbeat().cloned(), upstream.state())
    };
    match heartbeat.filter(|_| changed) {
        Some(heartbeat) => control::upstream_changed(shared, &heartbeat, state, false, from),
        None => shared.publish_upstream(),
    }
    if !covers(&shared.kept.stored, departures) {
        shared.record_outdated.notify_one();
    }
}
