//! Requests suspected of crashing upstreams: what this node's upstream shows, and what other nodes tell.

use quarantine::{Crash, Fingerprint, SuspectUpdate};
use units::NodeId;

use super::events::Event;
use super::shared::{Shared, lock};
use crate::platform::Platform;

/// Records a request that was in flight when the upstream, which started at `epoch`, crashed.
pub fn record_crash<P: Platform>(shared: &Shared<P>, fingerprint: Fingerprint, epoch: u64) {
    let node = &shared.settings.node;
    let node = match node.parse::<NodeId>() {
        Ok(node) => node,
        Err(err) => return shared.record_skipped(node, &err.to_string(), "crash"),
    };
    let crash = Crash { node, epoch };
    let call = String::new();
    merge(shared, &SuspectUpdate { fingerprint, crash, cleared: false, call }, "crash");
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
