//! Requests suspected of crashing upstreams: what this node's upstream shows, and what other nodes tell.
//!
//! Each node saves the crashes of its own upstream in its record in the store, where they outlive all processes. A request that is
//! quarantined, or no longer, has the record written anew; other suspects are in it whenever it is written.

use std::collections::BTreeSet;

use quarantine::{Crash, Fingerprint, SavedCrash, SuspectUpdate};
use units::NodeId;

use super::events::Event;
use super::saved;
use super::shared::{Shared, lock};
use crate::platform::Platform;

/// Records a request that was in flight when the upstream, which started at `epoch`, crashed.
pub fn record_crash<P: Platform>(shared: &Shared<P>, fingerprint: Fingerprint, epoch: u64) {
    let Some(node) = node_id(shared, &shared.settings.node, "crash") else { return };
    let crash = Crash { node, epoch };
    let call = String::new();
    merge(shared, &SuspectUpdate { fingerprint, crash, cleared: false, call }, "crash");
}

/// Restores the crashes that nodes have saved, by the names of these.
pub fn restore<P: Platform>(shared: &Shared<P>, saved: &[(&str, Vec<saved::Crash>)]) {
    let (now, wall_ms) = (shared.now(), shared.wall_ms());
    let mut restored = BTreeSet::new();
    for (node, crashes) in saved.iter().filter(|(_, crashes)| !crashes.is_empty()) {
        let Some(node) = node_id(shared, node, "store") else { continue };
        let mut table = lock(&shared.suspects);
        for crash in crashes {
            let (crash, age) = crash.read(wall_ms);
            if !table.is_quarantined(crash.fingerprint) {
                restored.insert(crash.fingerprint);
            }
            table.restore(&crash, &node, age, now);
        }
    }
    {
        let mut table = lock(&shared.suspects);
        // How long a suspect is kept depends on its crashes at all nodes.
        table.tick(now);
        restored.retain(|fingerprint| table.is_quarantined(*fingerprint));
    }
    for fingerprint in restored {
        changed(shared, fingerprint, true, "store");
    }
}

/// The crashes of this node's upstream, to be saved.
pub fn own_crashes<P: Platform>(shared: &Shared<P>) -> Vec<saved::Crash> {
    let Ok(node) = shared.settings.node.parse::<NodeId>() else { return Vec::new() };
    let wall_ms = shared.wall_ms();
    let crashes = lock(&shared.suspects).crashes_of(&node, saved::MAX_CRASHES, shared.now());
    crashes.into_iter().map(|(crash, age)| saved::Crash::new(crash, age, wall_ms)).collect()
}

/// Those of quarantined requests alone.
pub fn own_quarantined<P: Platform>(shared: &Shared<P>) -> BTreeSet<SavedCrash> {
    let node = shared.settings.node.parse::<NodeId>();
    node.map_or_else(
        |_| BTreeSet::new(),
        |node| lock(&shared.suspects).quarantined_crashes_of(&node),
    )
}

/// Has this node's record written anew if other crashes of quarantined requests are to be saved.
pub fn save_changes<P: Platform>(shared: &Shared<P>) {
    if shared.kept.record_quarantined(own_quarantined(shared)) {
        shared.record_outdated.notify_one();
    }
}

fn node_id<P: Platform>(shared: &Shared<P>, node: &str, from: &str) -> Option<NodeId> {
    let id = node.parse::<NodeId>();
    id.inspect_err(|err| shared.record_skipped(node, &err.to_string(), from)).ok()
}

/// Clears a request that the upstream has answered of the crashes known so far.
pub fn record_answer<P: Platform>(shared: &Shared<P>, fingerprint: Fingerprint) {
    let now = shared.now();
    let released = {
        let mut table = lock(&shared.suspects);
        let before = table.is_quarantined(fingerprint);
        table.clear(fingerprint, now);
        before
    };
    if released {
        changed(shared, fingerprint, false, "answer");
    }
}

/// Admits a call to the upstream unless it is quarantined and not to be tried again yet.
pub fn try_admit<P: Platform>(shared: &Shared<P>, fingerprint: Fingerprint) -> bool {
    let (admitted, trial) = {
        let mut table = lock(&shared.suspects);
        (table.try_admit(fingerprint, shared.now()), table.is_quarantined(fingerprint))
    };
    if admitted && trial {
        shared.log(&Event::QuarantineTrial { fingerprint: &fingerprint.to_string() });
    }
    admitted
}

/// Merges an update; `from` is another node, or what this node has seen.
pub fn merge<P: Platform>(shared: &Shared<P>, update: &SuspectUpdate, from: &str) {
    let fingerprint = update.fingerprint;
    let (merged, before, after) = {
        let mut table = lock(&shared.suspects);
        let before = table.is_quarantined(fingerprint);
        let merged = table.merge(update, shared.now());
        (merged, before, table.is_quarantined(fingerprint))
    };
    if before != after {
        changed(shared, fingerprint, after, from);
    } else if merged && !update.cleared {
        shared.exchange_now.notify_one();
    }
}

/// Logs that a request is quarantined, or no longer, and passes it on.
fn changed<P: Platform>(shared: &Shared<P>, fingerprint: Fingerprint, active: bool, from: &str) {
    let text = fingerprint.to_string();
    shared.log(&Event::QuarantineChanged { fingerprint: &text, active, from });
    shared.exchange_now.notify_one();
}
