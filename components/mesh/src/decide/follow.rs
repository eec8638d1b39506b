//! Where to go on reading in the store's log, which may be restored from an older copy between two reads.
//!
//! A restore starts a new epoch of the store and gives offsets out again, so that a position says nothing in another
//! epoch than its own. A read that waits for records carries an epoch only once one arrives, and a process that was
//! suspended reads an answer long after it was sent. Therefore each read that waits is preceded by one that doesn't and
//! that was answered promptly.

use std::time::Duration;

use crate::platform::StoreEpoch;

/// Longest time of a read that shows the store as it is now: a restore takes longer.
const MAX_CONFIRMATION: Duration = Duration::from_millis(500);

/// The read to make next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// The newest record, wherever it is.
    Newest,
    /// The records from an offset on; if there are none, an empty answer at once.
    Confirm(u64),
    /// The records from an offset on; if there are none, the next one.
    Wait(u64),
}

/// Position of a reader of the log.
#[derive(Debug, Clone, Default)]
pub struct Follower {
    position: Option<Position>,
    confirmed: bool,
}

#[derive(Debug, Clone, Copy)]
struct Position {
    epoch: Option<StoreEpoch>,
    offset: u64,
}

impl Follower {
    /// The read to make next.
    pub fn next_read(&self) -> NextRead {
        match self.position {
            None => NextRead::Newest,
            Some(Position { offset, .. }) if self.confirmed => NextRead::Wait(offset),
            Some(Position { offset, .. }) => NextRead::Confirm(offset),
        }
    }

    /// The read succeeded after `time`, in an answer of `epoch`; the next record will be at `next_offset`.
    pub fn succeeded(&mut self, epoch: Option<StoreEpoch>, next_offset: u64, time: Duration) {
        let waited = self.confirmed;
        let moved = self.position.is_some_and(|position| position.epoch != epoch);
        self.position = (!moved).then_some(Position { epoch, offset: next_offset });
        self.confirmed = !moved && !waited && time <= MAX_CONFIRMATION;
    }

    /// The read failed, or its answer can't be used.
    pub fn unconfirm(&mut self) {
        self.confirmed = false;
    }

    /// The store has no record at the position.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
