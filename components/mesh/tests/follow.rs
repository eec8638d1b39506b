//! Reading on in a log that is restored from an older copy between reads.

use std::time::Duration;

use googletest::prelude::*;
use mesh::decide::epoch::{self, EpochChange};
use mesh::decide::follow::{Follower, NextRead, Position};
use mesh::platform::{ConfigurationRead, StoreEpoch, StoreError};

/// Times of a read that doesn't wait, and of one that does or whose process was suspended meanwhile.
const PROMPT: Duration = Duration::from_millis(100);
const WAITED: Duration = Duration::from_secs(5);
const FIRST: Option<StoreEpoch> = Some(StoreEpoch(1));
const SECOND: Option<StoreEpoch> = Some(StoreEpoch(2));

fn following(epoch: Option<StoreEpoch>, offset: u64) -> Follower {
    let mut follower = Follower::default();
    expect_that!(follower.next_read(), eq(NextRead::Newest));
    follower.succeeded(epoch, offset, PROMPT);
    expect_that!(follower.next_read(), eq(NextRead::Wait(offset)));
    follower
}

/// Guards against a wait at an offset that was given out again while the store could not be asked.
#[gtest]
fn after_a_failed_read_the_position_is_confirmed_without_waiting() {
    let mut follower = following(FIRST, 3);
    follower.unconfirm();
    expect_that!(follower.next_read(), eq(NextRead::Confirm(3)));
    follower.succeeded(FIRST, 3, PROMPT);
    expect_that!(follower.next_read(), eq(NextRead::Wait(3)));
}

/// Guards against a position that is kept in a log that is shorter, as long, or longer than the one it was learned in.
#[gtest]
fn a_position_is_dropped_in_another_epoch() {
    for next in [3, 4, 9] {
        let mut follower = following(FIRST, 3);
        follower.succeeded(SECOND, next, WAITED);
        expect_that!(follower.next_read(), eq(NextRead::Newest));
        follower.succeeded(SECOND, next, PROMPT);
        expect_that!(follower.next_read(), eq(NextRead::Wait(next)));
    }
    let mut follower = following(FIRST, 3);
    follower.reset();
    expect_that!(follower.next_read(), eq(NextRead::Newest));
}

/// Guards against trust in an epoch that falls, jumps, is missing or comes back; each costs one more read.
#[gtest]
fn any_other_epoch_drops_the_position() {
    let epochs = [None, FIRST, SECOND, Some(StoreEpoch(9)), Some(StoreEpoch(u64::MAX))];
    for (before, after) in epochs.iter().flat_map(|before| epochs.map(|after| (*before, after))) {
        let mut follower = following(before, 3);
        follower.succeeded(after, 5, WAITED);
        let expected = if before == after { NextRead::Confirm(5) } else { NextRead::Newest };
        expect_that!(follower.next_read(), eq(expected), "{before:?} {after:?}");
    }
}

/// Guards against a wait in another epoch than that of the last answer, which was sent before a restore and read after
/// it, as the process was suspended meanwhile.
#[gtest]
fn a_read_waits_only_after_a_prompt_one_that_did_not() {
    let mut follower = following(FIRST, 3);
    follower.succeeded(FIRST, 4, PROMPT);
    expect_that!(follower.next_read(), eq(NextRead::Confirm(4)));
    follower.succeeded(FIRST, 4, WAITED);
    expect_that!(follower.next_read(), eq(NextRead::Confirm(4)));
    follower.succeeded(FIRST, 4, PROMPT);
    expect_that!(follower.next_read(), eq(NextRead::Wait(4)));
    let mut follower = Follower::default();
    follower.succeeded(FIRST, 4, WAITED);
    expect_that!(follower.next_read(), eq(NextRead::Confirm(4)));
}

#[gtest]
fn a_store_without_epochs_is_read_on() {
    let mut follower = following(None, 3);
    follower.succeeded(None, 4, WAITED);
    expect_that!(follower.next_read(), eq(NextRead::Confirm(4)));
    follower.succeeded(None, 4, PROMPT);
    expect_that!(follower.next_read(), eq(NextRead::Wait(4)));
}

/// Guards against a read that goes on waiting for what it was not sent, and against one that is given up for nothing.
#[gtest]
fn a_read_that_waits_is_contradicted_by_what_another_read_finds() {
    let position = Position { epoch: FIRST, offset: 3 };
    let read = |next_offset| {
        Ok(ConfigurationRead {
            documents: Vec::new(),
            skipped: Vec::new(),
            next_offset,
            more: false,
            bytes: 0,
        })
    };
    let lost = Err(StoreError::NoResponse("no answer in time".to_owned()));
    expect_that!(position.contradiction(FIRST, &read(3)), none());
    expect_that!(position.contradiction(FIRST, &read(4)), some(anything()));
    for epoch in [None, SECOND] {
        expect_that!(position.contradiction(epoch, &read(3)), some(anything()));
        expect_that!(position.contradiction(epoch, &Err(StoreError::Truncated)), some(anything()));
        expect_that!(position.contradiction(epoch, &lost), none(), "no answer tells nothing");
        expect_that!(position.contradiction(epoch, &Err(StoreError::Refused(503))), none());
    }
}

#[gtest]
fn epochs_only_rise() {
    let latest = Some(StoreEpoch(4));
    expect_that!(epoch::compare(None, StoreEpoch(4)), eq(EpochChange::First));
    expect_that!(epoch::compare(latest, StoreEpoch(4)), eq(EpochChange::Same));
    expect_that!(epoch::compare(latest, StoreEpoch(6)), eq(EpochChange::Restored(StoreEpoch(4))));
    expect_that!(epoch::compare(latest, StoreEpoch(3)), eq(EpochChange::Older(StoreEpoch(4))));
}

#[gtest]
fn only_digits_are_an_epoch() {
    for text in ["0", "7", "18446744073709551615"] {
        expect_that!(text.parse::<StoreEpoch>().map(|epoch| epoch.to_string()), ok(eq(text)));
    }
    for text in ["", "-1", "+1", "1.0", "1e3", "0x1", "18446744073709551616", "one", "1,2"] {
        expect_that!(text.parse::<StoreEpoch>(), err(anything()), "{text}");
    }
}
