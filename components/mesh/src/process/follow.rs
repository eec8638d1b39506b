//! Follows the configuration in the store.
//!
//! One node of each failure domain reads the store and passes on what it finds: the first that reaches the store, as far as
//! the others know. Copies of a large configuration for all nodes would fill the links between regions. A node whose
//! last exchange with the reader failed reads by itself.
//!
//! A read that waits for the next change is not answered for a long time, so that it doesn't show whether the store has
//! lost it. The reader therefore also reads at short intervals. Reads that wait are abandoned once a read at an interval,
//! or another node, knows better.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};

use super::backoff::Backoff;
use super::epoch;
use super::events::Event;
use super::exchange::targets;
use super::shared::{Shared, lock};
use super::upstream::Moment;
use crate::decide::follow::{Follower, NextRead, Position};
use crate::decide::revision::Origin;
use crate::platform::{Answer, ConfigurationRead, Platform, StoreEpoch, StoreError};

/// Timeout of a long poll: long as each call is billed, but bounded as a new call detects a dead connection.
const POLL_TIMEOUT: Duration = Duration::from_secs(12);
/// Timeout of a read that doesn't wait. A slow store takes several hundred milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without an answer of the store after which the reader of a failure domain reads while its poll waits.
const WATCH_INTERVAL: Duration = Duration::from_millis(2_100);
/// Timeout of such a read: a failed one has to be followed by another within the time that a change may take.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next read while nothing has been published yet: other nodes read too, and send what they find.
const UNCONFIGURED_PAUSE: Duration = Duration::from_millis(800);
/// Time for which a poll may be behind another node before it is abandoned.
const OVERTAKEN_TIMEOUT: Duration = Duration::from_millis(500);

/// What the tasks that read the configuration share.
#[derive(Debug, Default)]
pub struct FollowState {
    /// Where a poll is waiting.
    waiting: Mutex<Option<Position>>,
    /// When the store last answered a read.
    answered: Mutex<Option<Instant>>,
    /// Abandons the poll that is waiting, for this reason.
    abandon: watch::Sender<&'static str>,
    /// Latest version that another node had before this one.
    overtaken: watch::Sender<u64>,
    /// Whether the last read failed.
    failed: AtomicBool,
    /// Whether this node reads at intervals.
    watching: AtomicBool,
    /// Whether the last exchange with the node that reads for this one succeeded.
    relayed: AtomicBool,
    /// Wakes the reads at intervals when a poll begins to wait, or other nodes may have told that they can't read.
    check: Notify,
    /// Wakes the reads of a node that another one has read for.
    turn: Notify,
    /// Wakes the task that passes a new configuration on.
    relay: Notify,
}

impl FollowState {
    /// Time since the store last answered a read.
    pub fn answer_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.answered).map(|answered| now.saturating_duration_since(answered))
    }

    /// Records that another node had this version before this one.
    pub fn overtaken(&self, version: u64) {
        self.overtaken.send_replace(version);
    }

    /// Has the configuration passed on to the other nodes of the failure domain.
    pub fn relay(&self) {
        self.relay.notify_one();
    }

    /// Waits until a new configuration has to be passed on.
    pub async fn relay_due(&self) {
        self.relay.notified().await;
    }

    /// Records whether an exchange with the node that reads for this one succeeded.
    pub fn exchanged_with_reader(&self, succeeded: bool) {
        self.relayed.store(succeeded, Ordering::Relaxed);
    }

    /// Whether the last read of the store failed.
    pub fn is_store_lost(&self) -> bool {
        self.failed.load(Ordering::Relaxed)
    }

    /// Records that a round of exchanges is complete: another node may have told that it can't read.
    pub fn exchanged(&self) {
        self.check.notify_one();
        self.turn.notify_one();
    }

    fn record_answer(&self, now: Instant) {
        *lock(&self.answered) = Some(now);
        self.failed.store(false, Ordering::Relaxed);
    }

    /// Records that a read failed; false if the one before failed, too.
    fn record_failure(&self) -> bool {
        !self.failed.swap(true, Ordering::Relaxed)
    }
}

/// Follows the configuration until the task is aborted.
pub async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut backoff = Backoff::default();
    let mut follower = Follower::default();
    let mut read_version = 0;
    loop {
        wait_for_turn(&shared).await;
        if shared.version() > read_version {
            // The position is that of an older version; the records since are not needed one by one.
            follower.reset();
            read_version = shared.version();
        }
        let asked = shared.moment();
        let (offset, answer) = match read_next(&shared, &follower).await {
            Ok(read) => read,
            Err(reason) => {
                let waited_ms = shared.moment().since(asked).as_millis() as u64;
                shared.log(&Event::ReadAbandoned { reason, waited_ms });
                follower.unconfirm();
                continue;
            }
        };
        let epoch = answer.epoch.valid();
        epoch::observe_answer(&shared, &answer.epoch);
        match answer.result {
            Ok(read) => {
                backoff.succeeded(&shared, "configuration");
                shared.follow.record_answer(shared.now());
                if read.more {
                    follower.reset();
                    continue;
                }
                apply_read(&shared, &read, offset, epoch);
                read_version = shared.version();
                follower.succeeded(epoch, read.next_offset, record_confirmation(&shared, asked));
                if shared.configuration().is_none() {
                    follower.reset();
                    let _ = tokio::time::timeout(UNCONFIGURED_PAUSE, configured(&shared)).await;
                }
            }
            Err(StoreError::Truncated) => {
                shared.follow.record_answer(shared.now());
                follower.reset();
            }
            Err(err) => {
                shared.follow.record_failure();
                follower.unconfirm();
                backoff.failed(&shared, "configuration", asked.monotonic, &err).await;
            }
        }
    }
}

/// Records that a read which was asked for at `asked` showed nothing newer than what is in force; returns its time.
fn record_confirmation<P: Platform>(shared: &Shared<P>, asked: Moment) -> Duration {
    let now = shared.moment();
    lock(&shared.confirmation).confirmed(asked, now);
    now.since(asked)
}

/// Makes the follower's next read. Returns the offset that was asked for, or the reason for which the read was abandoned.
async fn read_next<P: Platform>(
    shared: &Shared<P>,
    follower: &Follower,
) -> Result<(Option<u64>, Answer<ConfigurationRead>), &'static str> {
    let platform = &shared.platform;
    match follower.next_read() {
        NextRead::Newest => Ok((None, platform.latest_configuration().await)),
        NextRead::Confirm(from) => {
            Ok((Some(from), platform.check_configuration(from, READ_TIMEOUT).await))
        }
        NextRead::Wait(from) => Ok((Some(from), poll(shared, follower, from).await?)),
    }
}

/// Waits until another node has sent a configuration.
async fn configured<P: Platform>(shared: &Shared<P>) {
    while shared.configuration().is_none() {
        shared.follow.turn.notified().await;
    }
}

/// Waits until this node has to read by itself, also as it hears of no confirmation where keys need one. One without a configuration is sent it by the reader as soon as there is
/// one.
async fn wait_for_turn<P: Platform>(shared: &Shared<P>) {
    let state = &shared.follow;
    let is_overdue = || lock(&shared.confirmation).is_overdue(shared.moment());
    let is_relayed = || state.relayed.load(Ordering::Relaxed);
    while is_relayed() && !targets::is_reader(shared, shared.now()) && !is_overdue() {
        state.turn.notified().await;
    }
}

/// Waits for the next configuration, or fails with the reason for which the poll is abandoned.
async fn poll<P: Platform>(
    shared: &Shared<P>,
    follower: &Follower,
    from: u64,
) -> Result<Answer<ConfigurationRead>, &'static str> {
    let state = &shared.follow;
    let mut abandon = state.abandon.subscribe();
    let mut overtaken = state.overtaken.subscribe();
    *lock(&state.waiting) = follower.position();
    state.check.notify_one();
    // The channels are closed only together with `shared`.
    let result = tokio::select! {
        answer = shared.platform.follow_configuration(from, POLL_TIMEOUT) => Ok(answer),
        _ = abandon.changed() => Err(*abandon.borrow()),
        () = async {
            let _ = overtaken.changed().await;
            tokio::time::sleep(OVERTAKEN_TIMEOUT).await;
        } => Err("another node knew a newer version"),
    };
    *lock(&state.waiting) = None;
    result
}

/// Reads at short intervals while a poll waits, if this node is the reader of its failure domain, until the task is
/// aborted.
pub async fn watch<P: Platform>(shared: Arc<Shared<P>>) {
    let state = &shared.follow;
    let mut backoff = Backoff::default();
    let mut silent = false;
    loop {
        let position = next_check(&shared).await;
        let asked = shared.moment();
        let answer = shared.platform.check_configuration(position.offset, WATCH_TIMEOUT).await;
        epoch::observe_answer(&shared, &answer.epoch);
        let contradiction = position.contradiction(answer.epoch.valid(), &answer.result);
        let answered = !matches!(answer.result, Err(StoreError::NoResponse(_)));
        // A silent store may have swallowed the poll too.
        let reason = contradiction.or((silent && answered).then_some("the store was silent"));
        if let Some(reason) = reason
            && *lock(&state.waiting) == Some(position)
        {
            state.abandon.send_replace(reason);
        }
        silent = !answered;
        match answer.result {
            Ok(_) | Err(StoreError::Truncated) => {
                backoff.succeeded(&shared, "watch");
                state.record_answer(shared.now());
                if contradiction.is_none() {
                    record_confirmation(&shared, asked);
                }
            }
            Err(err) => {
                if state.record_failure() {
                    // The next node of the failure domain reads from now on.
                    shared.exchange_now.notify_one();
                }
                backoff.failed(&shared, "watch", asked.monotonic, &err).await;
            }
        }
    }
}

/// Waits until the reader's next read is due, and returns the position of the poll that it checks. Where keys need a
/// confirmation, a node that hears of none checks its poll too.
async fn next_check<P: Platform>(shared: &Shared<P>) -> Position {
    let state = &shared.follow;
    loop {
        let Some(position) = *lock(&state.waiting) else {
            state.check.notified().await;
            continue;
        };
        let now = shared.now();
        let age = state.answer_age(now).unwrap_or_default();
        let (interval, overdue) = {
            let confirmation = lock(&shared.confirmation);
            (confirmation.interval(), confirmation.is_overdue(shared.moment()))
        };
        let interval = interval.map_or(WATCH_INTERVAL, |interval| interval.min(WATCH_INTERVAL));
        if let Some(left) = interval.checked_sub(age).filter(|left| !left.is_zero()) {
            tokio::time::sleep(left).await;
            continue;
        }
        let active = overdue || targets::is_reader(shared, now);
        if state.watching.swap(active, Ordering::Relaxed) != active {
            shared.log(&Event::StoreWatch { active });
        }
        if active {
            return position;
        }
        state.check.notified().await;
    }
}

/// Applies what was read from `offset` on, and logs it unless nothing was waiting there.
fn apply_read<P: Platform>(
    shared: &Shared<P>,
    read: &ConfigurationRead,
    offset: Option<u64>,
    epoch: Option<StoreEpoch>,
) {
    for entry in &read.skipped {
        shared.record_skipped(&entry.key, &entry.reason, "store");
    }
    // An invalid document hides no earlier one.
    let found = read.documents.iter().find_map(|document| {
        let origin = Origin { epoch, offset: document.offset };
        shared.apply_configuration(&document.bytes, "store", origin, &[])
    });
    if offset != Some(read.next_offset) {
        shared.log(&Event::ConfigurationRead {
            offset,
            next_offset: read.next_offset,
            epoch: epoch.map(|epoch| epoch.0),
            bytes: read.bytes,
            found,
            version: shared.version(),
        });
    }
}
