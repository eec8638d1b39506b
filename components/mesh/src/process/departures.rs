//! Keeps announced departures of the upstream where they outlive the process, before they are acknowledged.
//!
//! They are part of this node's record: in the store, and at the other nodes, which keep them when a later incarnation of
//! this node replaces its record. A killed process so learns from either what it had acknowledged.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use super::control;
use super::events::Event;
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
    /// Departures that the store, or another node, knows.
    departures: Mutex<Vec<Departure>>,
    /// Revision of the member table that another node has applied.
    told: watch::Sender<u64>,
    /// Whether another node has to be told now, as the store has failed.
    urgent: AtomicBool,
}

impl Kept {
    /// Takes note that another node has applied this node's member table up to a revision.
    pub fn record_told(&self, revision: u64) {
        self.told.send_if_modified(|latest| {
            let later = revision > *latest;
            *latest = revision.max(*latest);
            later
        });
    }

    /// Whether another node has to be told of a departure now.
    pub fn is_urgent(&self) -> bool {
        self.urgent.load(Ordering::Relaxed)
    }

    /// Takes note that the store, or another node, knows departures.
    pub fn record_departures(&self, departures: &[Departure]) {
        members::add_departures(&mut lock(&self.departures), departures);
    }

    fn covers(&self, departures: &[Departure]) -> bool {
        let kept = lock(&self.departures);
        departures.iter().all(|departure| kept.iter().any(|other| other.covers(departure)))
    }
}

/// Keeps the departures that this node knows; false if neither the store nor another node has taken them.
pub async fn keep<P: Platform>(shared: &Shared<P>) -> bool {
    shared.publish_upstream();
    let (known, revision) = {
        let table = lock(&shared.members);
        let own = table.own().map(|own| own.record.departures.clone());
        (own.unwrap_or_default(), table.revision())
    };
    if shared.kept.covers(&known) {
        return true;
    }
    let asked = shared.now();
    let saved = tokio::time::timeout(STORE_TIMEOUT, store::save_record(shared)).await;
    let place = if matches!(saved, Ok(Ok(_))) {
        "store"
    } else {
        // The store gets it as soon as it can be reached.
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

/// Sends this node's record to another node; whether one has it in time.
async fn told_in_time<P: Platform>(shared: &Shared<P>, revision: u64) -> bool {
    let kept = &shared.kept;
    kept.urgent.store(true, Ordering::Relaxed);
    shared.exchange_now.notify_one();
    let mut told = kept.told.subscribe();
    let told = tokio::time::timeout(NODE_TIMEOUT, told.wait_for(|told| *told >= revision)).await;
    kept.urgent.store(false, Ordering::Relaxed);
    matches!(told, Ok(Ok(_)))
}

/// Restores departures of which the store, or another node, knows from an earlier incarnation of this node.
pub fn recall<P: Platform>(shared: &Shared<P>, departures: &[Departure], from: &str) {
    if departures.is_empty() {
        return;
    }
    shared.kept.record_departures(departures);
    let (changed, heartbeat, state) = {
        let mut upstream = lock(&shared.upstream);
        let changed = upstream.recall(departures, shared.moment());
        (changed, upstream.last_heartbeat().cloned(), upstream.state())
    };
    match heartbeat.filter(|_| changed) {
        Some(heartbeat) => control::upstream_changed(shared, &heartbeat, state, false, from),
        None => shared.publish_upstream(),
    }
}
