//! Reading the store: the configuration as it changes, and the records of nodes at the start.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::control;
use super::events::Event;
use super::shared::{Shared, lock};
use crate::decide::members::{Parting, Record, Standing, Told};
use crate::platform::{Beat, Platform, State, StoreError};

/// Longest wait for a change in one call of the store: calls are priced, and a new one finds a silent connection.
const WAIT: Duration = Duration::from_secs(12);
/// Pause after a failed call at first, and the longest: the store is back within two of these.
const PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_millis(900);
/// Pauses before the records are read again after a start, when all others start as well.
const REREADS: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(2_500)];

/// Time for which the word of the last life counts: a stop and a start take less.
const PARTING_FRESH: Duration = Duration::from_secs(6);

/// Pauses between tries, and what the log is told of them.
struct Trouble {
    pause: Duration,
    since: Option<Instant>,
}

impl Trouble {
    fn new() -> Self {
        Self { pause: PAUSE, since: None }
    }

    async fn lost<P: Platform>(&mut self, shared: &Shared<P>, what: &str, err: &StoreError) {
        shared.metrics.store.with_label_values(&[what, "failed"]).inc();
        if self.since.is_none() {
            self.since = Some(shared.now());
            shared.tell(&Event::StoreLost { why: &err.to_string() });
        }
        tokio::time::sleep(self.pause.mul_f64(rand::random_range(0.7..1.3))).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    fn over<P: Platform>(&mut self, shared: &Shared<P>, what: &str) {
        shared.metrics.store.with_label_values(&[what, "done"]).inc();
        self.pause = PAUSE;
        if let Some(since) = self.since.take() {
            let after = shared.now().saturating_duration_since(since);
            shared.tell(&Event::StoreRegained { after_ms: after.as_millis() as u64 });
        }
    }
}

/// Follows the configuration for ever.
pub async fn configuration<P: Platform>(shared: Arc<Shared<P>>) {
    let mut trouble = Trouble::new();
    let mut next = None;
    loop {
        let read = match next {
            None => shared.platform.newest().await,
            Some(from) => shared.platform.follow(from, WAIT).await,
        };
        match read {
            Ok((found, end)) => {
                trouble.over(&shared, "configuration");
                if let Some(found) = found {
                    shared.take_configuration(&found.bytes, "store");
                    next = Some(found.next.max(end));
                } else {
                    next = Some(end);
                }
                if shared.active().is_none() {
                    next = None;
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Err(StoreError::Trimmed) => next = None,
            Err(err) => trouble.lost(&shared, "configuration", &err).await,
        }
    }
}

/// Finds the other nodes at the start, and makes this one known to them.
pub async fn members<P: Platform>(shared: Arc<Shared<P>>) {
    let mut trouble = Trouble::new();
    loop {
        match shared.platform.records().await {
            Ok(records) => {
                trouble.over(&shared, "records");
                resume(&shared, &records);
                merge(&shared, &records);
                break;
            }
            Err(err) => trouble.lost(&shared, "records", &err).await,
        }
    }
    loop {
        let own = lock(&shared.table).own().map(|own| own.record.clone());
        let Some(Ok(bytes)) = own.map(|own| serde_json::to_vec(&own)) else { return };
        match shared.platform.keep(&shared.place.node, bytes).await {
            Ok(()) => break trouble.over(&shared, "keep"),
            Err(err) => trouble.lost(&shared, "keep", &err).await,
        }
    }
    shared.oriented.store(true, Ordering::Relaxed);
    shared.urgent.notify_one();
    for pause in REREADS {
        tokio::time::sleep(pause).await;
        match shared.platform.records().await {
            Ok(records) => merge(&shared, &records),
            Err(err) => shared.tell(&Event::StoreLost { why: &err.to_string() }),
        }
    }
}

/// Goes by what the last life of this node knew of the upstream when it was stopped.
fn resume<P: Platform>(shared: &Shared<P>, records: &[bytes::Bytes]) {
    let own = records.iter().filter_map(|record| serde_json::from_slice::<Record>(record).ok());
    let last = own.filter(|record| record.node == shared.place.node).max_by_key(|own| own.life);
    let parting = last.and_then(|record| record.parting);
    let fresh = parting.filter(|parting| {
        shared.stamp().saturating_sub(parting.at) < PARTING_FRESH.as_millis() as u64
    });
    let Some(Parting { id, born, slots, sequence, .. }) = fresh else { return };
    let beat = Beat {
        id,
        born,
        sequence,
        slots,
        service: shared.place.service.to_string(),
        address: shared.place.upstream,
        state: State::Ready,
        cold: Duration::ZERO,
    };
    let resumed = lock(&shared.upstream).resume(beat.clone(), shared.moment());
    if resumed {
        control::changed(shared, &beat, Standing::Ready, true);
    }
}

fn merge<P: Platform>(shared: &Shared<P>, records: &[bytes::Bytes]) {
    let now = shared.now();
    for record in records {
        // A record that another version of the program wrote is passed over; its node tells others itself.
        let Ok(record) = serde_json::from_slice::<Record>(record) else { continue };
        let (node, life) = (record.node.clone(), record.life);
        let told = Told { node: node.clone(), life, record: Some(record), pulse: None };
        let news = lock(&shared.table).merge(told, None, now);
        shared.noted(news, &node, "store");
    }
}
