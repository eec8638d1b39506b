//! Membership in the store: the records of other nodes are read at startup, and this node's record is kept there.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use units::Rate;

use super::backoff::Backoff;
use super::events::Event;
use super::shared::{Shared, lock};
use super::upstream::Predecessor;
use super::{announced, control, departures, epoch, saved, suspects};
use crate::decide::members::{MAX_STORED_INCARNATION, MemberUpdate, Merged, Record, SavedUpstream};
use crate::decide::notice::Notice;
use crate::platform::{
    AnnouncedState, Answer, Heartbeat, KeyedRecords, Platform, StoreEpoch, StoreError,
};

/// Delays before the records are read again at startup, where they are needed.
const REREAD_DELAYS: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(2_500)];

/// Time in which another node has to answer before this one serves by what the store has.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time over which the nodes spread the writes of their records after a restore of the store.
const REWRITE_SPREAD: Duration = Duration::from_secs(1);

/// Age up to which the upstream state saved at the last shutdown is used: a restart takes less.
const SAVED_STATE_MAX_AGE: Duration = Duration::from_secs(6);

/// Joins the membership: reads the records of other nodes, and keeps this node's own in the store until the task is
/// aborted.
pub async fn join<P: Platform>(shared: Arc<Shared<P>>) {
    let mut backoff = Backoff::default();
    loop {
        let asked = shared.now();
        let Answer { epoch, result } = shared.platform.node_records().await;
        epoch::observe_answer(&shared, &epoch);
        match result {
            Ok(read) => {
                backoff.succeeded(&shared, "records");
                let is_first = !has_key(&read, &shared.settings.node);
                let (records, skipped) = decode_records(&shared, &read);
                restore_crashes(&shared, &read, &records);
                restore_departures(&shared, &records);
                restore_upstream(&shared, &records, epoch.valid());
                if is_first {
                    control::learn_predecessor(&shared, Predecessor::Absent, "store");
                }
                shared.kept.record_restored();
                merge_records(&shared, records, skipped, epoch.valid());
                break;
            }
            Err(err) => backoff.failed(&shared, "records", asked, &err).await,
        }
    }
    let mut written = write_record(&shared, &mut backoff).await;
    shared.exchange_now.notify_one();
    let compared = async {
        if lock(&shared.members).has_others() {
            tokio::time::sleep(COMPARE_TIMEOUT).await;
        }
        shared.synced.store(true, Ordering::Relaxed);
    };
    tokio::join!(compared, reread_records(&shared));
    loop {
        let latest = wait_outdated(&shared, written).await;
        tokio::time::sleep(REWRITE_SPREAD.mul_f64(rand::random_range(0.0..1.0))).await;
        if shared.leaving.load(Ordering::Relaxed) {
            // The record that the shutdown saves has more in it.
            return;
        }
        // The answer may be of before the restore, but a store whose epochs fall is not written to for ever.
        if write_record(&shared, &mut backoff).await < latest {
            write_record(&shared, &mut backoff).await;
        }
        written = latest;
    }
}

/// Waits until the record that was written in an epoch has to be written again, as the store was restored or the record has
/// another incarnation now. Returns the latest epoch.
async fn wait_outdated<P: Platform>(
    shared: &Shared<P>,
    written: Option<StoreEpoch>,
) -> Option<StoreEpoch> {
    let mut epochs = shared.store_epoch.subscribe();
    tokio::select! {
        // Fails only without a sender, which is part of `shared`.
        _ = epochs.wait_for(|latest| *latest > written) => {}
        () = shared.record_outdated.notified() => {}
    }
    *shared.store_epoch.borrow()
}

/// Whether there is any record with this key, of whatever content.
fn has_key(read: &KeyedRecords, key: &str) -> bool {
    let mut skipped = read.skipped.iter();
    read.records.iter().any(|record| record.key == key) || skipped.any(|entry| entry.key == key)
}

/// Decodes the records of nodes; returns those that can be used and the number of the others.
fn decode_records<P: Platform>(shared: &Shared<P>, read: &KeyedRecords) -> (Vec<Record>, usize) {
    let mut records = Vec::new();
    let skip = |key: &str, reason: &str| shared.record_skipped(key, reason, "store");
    for entry in &read.skipped {
        skip(&entry.key, &entry.reason);
    }
    for entry in &read.records {
        match serde_json::from_slice::<Record>(&entry.value) {
            // Records in another version's format too; their nodes are learned through exchanges.
            Err(err) => skip(&entry.key, &err.to_string()),
            Ok(record) if *record.node != *entry.key => skip(&entry.key, "names another node"),
            Ok(record) if record.incarnation > MAX_STORED_INCARNATION => {
                skip(&entry.key, "the incarnation is no time of a start");
            }
            Ok(record) => records.push(record),
        }
    }
    let skipped = read.skipped.len() + read.records.len() - records.len();
    (records, skipped)
}

/// Reads the records again as long as this node has exchanged with no other one. Where many nodes start at once, all that
/// read after the first record was written know its node, and exchanges tell them of each other; only a node that read
/// before then, and whose record nobody has read, is left.
///
/// Delegates read once more at the end: what they know reaches all nodes, also where records of nodes that don't run
/// have led others astray.
async fn reread_records<P: Platform>(shared: &Shared<P>) {
    for (number, delay) in (1..).zip(REREAD_DELAYS) {
        tokio::time::sleep(delay).await;
        let last = number == REREAD_DELAYS.len();
        let is_delegate = lock(&shared.aggregates).duties.domain;
        if shared.exchanged.load(Ordering::Relaxed) && !(last && is_delegate) {
            continue;
        }
        let asked = shared.now();
        let Answer { epoch, result } = shared.platform.node_records().await;
        epoch::observe_answer(shared, &epoch);
        match result {
            Ok(records) => {
                let (records, skipped) = decode_records(shared, &records);
                merge_records(shared, records, skipped, epoch.valid());
            }
            Err(err) => shared.store_lost(&err, asked),
        }
    }
}

/// Writes this node's record to the store, and returns the epoch in which it was written.
async fn write_record<P: Platform>(
    shared: &Shared<P>,
    backoff: &mut Backoff,
) -> Option<StoreEpoch> {
    loop {
        let asked = shared.now();
        match save_record(shared).await {
            Ok(epoch) => {
                backoff.succeeded(shared, "keep");
                return epoch;
            }
            Err(err) => backoff.failed(shared, "keep", asked, &err).await,
        }
    }
}

/// Writes this node's record to the store once, and returns the epoch in which it was written. Fails as long as that of an
/// earlier process, which it would replace, has not been read.
pub async fn save_record<P: Platform>(
    shared: &Shared<P>,
) -> Result<Option<StoreEpoch>, StoreError> {
    let _writing = shared.kept.writing.lock().await;
    let own = lock(&shared.members).own().map(|own| own.record.clone());
    let own = own.ok_or_else(|| StoreError::Unreadable("this node has no record".to_owned()))?;
    if !shared.kept.is_restored() {
        return Err(StoreError::Unreadable("the record has not been read yet".to_owned()));
    }
    let quarantined = suspects::own_quarantined(shared);
    let bytes = saved::encode(shared, &own)?;
    let Answer { epoch, result } = shared.platform.put_record(&shared.settings.node, bytes).await;
    epoch::observe_answer(shared, &epoch);
    result?;
    shared.kept.record_stored(&own.departures);
    shared.kept.record_quarantined(quarantined);
    let epoch = epoch.valid();
    let Record { serial, .. } = own;
    shared.log(&Event::RecordWritten { serial, epoch: epoch.map(|epoch| epoch.0) });
    Ok(epoch)
}

/// Restores the crashes that all nodes have saved, in those records that can be used.
fn restore_crashes<P: Platform>(shared: &Shared<P>, read: &KeyedRecords, usable: &[Record]) {
    let usable: HashSet<&str> = usable.iter().map(|record| &*record.node).collect();
    let mut saved = Vec::new();
    for entry in read.records.iter().filter(|entry| usable.contains(entry.key.as_str())) {
        match saved::decode_crashes(&entry.value) {
            Ok(crashes) => saved.push((entry.key.as_str(), crashes)),
            Err(err) => shared.record_skipped(&entry.key, &err.to_string(), "store"),
        }
    }
    suspects::restore(shared, &saved);
}

/// Restores the departures that earlier incarnations of this node were told of.
fn restore_departures<P: Platform>(shared: &Shared<P>, records: &[Record]) {
    let own = records.iter().find(|record| record.node == shared.settings.node);
    if let Some(own) = own {
        departures::recall(shared, &own.departures, departures::Source::Store);
    }
}

/// Restores the upstream state that the previous incarnation of this node saved when it was stopped.
fn restore_upstream<P: Platform>(
    shared: &Shared<P>,
    records: &[Record],
    epoch: Option<StoreEpoch>,
) {
    let own = records.iter().find(|record| record.node == shared.settings.node);
    let saved = own.and_then(|record| record.saved_upstream.clone());
    let usable = saved.filter(|saved| {
        // The clock may have been set back since.
        let age = shared.wall_ms().abs_diff(saved.stopped_ms);
        // After a restore of the store, a later state may be lost. Then only a departure is certain still to hold.
        let latest = saved.store_epoch == epoch || saved.leaving_ms.is_some();
        age < SAVED_STATE_MAX_AGE.as_millis() as u64 && latest
    });
    let Some(saved) = usable else { return };
    let SavedUpstream { id, started_ms, slots, sequence, rate_limit, leaving_ms, .. } = saved;
    let heartbeat = Heartbeat {
        id,
        started_ms,
        sequence,
        slots,
        service: shared.settings.service.to_string(),
        address: shared.settings.upstream,
        state: AnnouncedState::Ready,
        warmup: Duration::ZERO,
    };
    let now = shared.moment();
    let leaving = leaving_ms.map(|since| Duration::from_millis(now.wall_ms.saturating_sub(since)));
    let (incarnation, rate_limit) = (heartbeat.incarnation(), rate_limit.map(Rate));
    let notice = Notice { incarnation, rate_limit, leaving };
    let (restored, state) = {
        let mut upstream = lock(&shared.upstream);
        let restored = upstream.resume(heartbeat.clone(), now);
        if let Some(age) = leaving.filter(|_| restored) {
            upstream.leave_since(age, now);
        }
        (restored, upstream.state())
    };
    if restored {
        control::upstream_changed(shared, &heartbeat, state, true, "store");
        if rate_limit.is_none() {
            shared.limiter.restore_unlimited(now.monotonic);
        }
    }
    // A heartbeat may have come first, but it tells nothing of this.
    announced::apply_notice(shared, &notice, "store");
}

fn merge_records<P: Platform>(
    shared: &Shared<P>,
    records: Vec<Record>,
    skipped: usize,
    epoch: Option<StoreEpoch>,
) {
    let now = shared.now();
    let (read, mut changed) = (records.len(), 0);
    for record in records {
        let (node, incarnation) = (record.node.clone(), record.incarnation);
        let update = MemberUpdate {
            node: node.clone(),
            incarnation,
            record: Some(record),
            measurements: None,
        };
        let result = lock(&shared.members).merge(update, None, now);
        changed += usize::from(result == Merged::Changed);
        shared.membership_changed(result, &node, "store");
    }
    let epoch = epoch.map(|epoch| epoch.0);
    shared.log(&Event::MembersRead { records: read, skipped, changed, epoch });
}
