//! Tracks the epoch of the store, in the log and the metrics.

use super::events::Event;
use super::shared::Shared;
use crate::decide::epoch::{self, EpochChange};
use crate::platform::{AnswerEpoch, Platform, StoreEpoch};

/// Takes note of the epoch in an answer of the store.
pub fn observe_answer<P: Platform>(shared: &Shared<P>, seen: &AnswerEpoch) {
    match seen {
        AnswerEpoch::Missing => {}
        AnswerEpoch::Invalid(reason) => ignored(shared, "invalid", reason),
        AnswerEpoch::Valid(seen) => observe(shared, *seen),
    }
}

/// Takes note of an epoch that another node knows: a node that doesn't read the store hears of a restore in this way.
pub fn observe_relayed<P: Platform>(shared: &Shared<P>, known: StoreEpoch) {
    if shared.store_epoch.borrow().is_none_or(|latest| latest < known) {
        observe(shared, known);
    }
}

fn observe<P: Platform>(shared: &Shared<P>, seen: StoreEpoch) {
    let mut change = EpochChange::Same;
    shared.store_epoch.send_if_modified(|latest| {
        change = epoch::compare(*latest, seen);
        let newer = matches!(change, EpochChange::First | EpochChange::Restored(_));
        if newer {
            *latest = Some(seen);
        }
        newer
    });
    match change {
        EpochChange::Same => {}
        EpochChange::First => shared.metrics.store.epoch.set(seen.0 as i64),
        EpochChange::Restored(before) => {
            shared.metrics.store.epoch.set(seen.0 as i64);
            shared.metrics.store.restores.inc();
            shared.log(&Event::StoreRestored { before: before.0, after: seen.0 });
        }
        EpochChange::Older(latest) => {
            ignored(shared, "older", &format!("epoch {seen} after epoch {latest}"));
        }
    }
}

fn ignored<P: Platform>(shared: &Shared<P>, kind: &str, reason: &str) {
    shared.metrics.store.ignored_epochs.with_label_values(&[kind]).inc();
    shared.log(&Event::StoreEpochIgnored { reason });
}
