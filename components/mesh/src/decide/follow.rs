//! Where to go on reading in the store's log, which may be restored from an older copy between two reads.
//!
//! A restore starts a new epoch of the store and gives offsets out again, so that a position says nothing in another
//! epoch than its own. A read that waits for records carries an epoch only once one arrives, and a process that was
//! suspended reads an answer long after it was sent. Therefore each read that waits is preceded by one that doesn't and
//! that was answered promptly.
//!
//! A read that waits and was lost on the way looks like one for which there is nothing to read. Therefore other reads
//! are compared with its position meanwhile.

use std::time::Duration;

use crate::platform::{ConfigurationRead, StoreEpoch, StoreError};

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

/// A place in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Epoch in which it was learned.
    pub epoch: Option<StoreEpoch>,
    /// Offset of the next record.
    pub offset: u64,
}

impl Position {
    /// Why a read that waits here is of no use any more, as another read from here in `epoch` shows.
    pub fn contradiction(
        self,
        epoch: Option<StoreEpoch>,
        result: &Result<ConfigurationRead, StoreError>,
    ) -> Option<&'static str> {
        match result {
            Err(StoreError::Truncated) => Some("the log is shorter"),
            Err(_) => None,
            Ok(_) if epoch != self.epoch => Some("the epoch has changed"),
            Ok(read) if read.next_offset != self.offset => Some("records were not delivered"),
            Ok(_) => None,
        }
    }
}

/// Reader of the log.
#[derive(Debug, Clone, Default)]
pub struct Follower {
    position: Option<Position>,
    confirmed: bool,
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

    /// Where it reads on, if that is known.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The read succeeded after `time`, in an answer of `epoch`; the next record will be at `next_offset`.
    pub fn succeeded(&mut self, epoch: Option<StoreEpoch>, next_offset: u64, time: Duration) {
        let waited = self.confirmed;
        let moved = self.position.is_some_and(|position| position.epoch != epoch);
        self.position = (!moved).then_some(Position { epoch, offset: next_offset });
        self.confirmed = !moved && !waited && time <= MAX_CONFIRMATION;
    }

    /// The read failed or was abandoned, or its answer can't be used.
    pub fn unconfirm(&mut self) {
        self.confirmed = false;
    }

    /// The store has no record at the position.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
