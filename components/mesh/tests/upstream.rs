//! What a node believes of the upstream beside it.

#![allow(clippy::unwrap_used, reason = "a test stops at what it did not expect")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::members::Standing;
use mesh::platform::{Announcement, Beat, State};
use mesh::process::upstream::{Change, Upstream};

const EVERY: Duration = Duration::from_millis(1_500);

fn beat(id: &str, born: u64, sequence: u64, state: State) -> Announcement {
    Announcement::Beat(Beat {
        id: id.to_owned(),
        born,
        sequence,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 8,
        state,
        cold: Duration::ZERO,
    })
}

#[gtest]
fn nothing_is_sent_before_the_first_announcement() {
    let now = Instant::now();
    let upstream = Upstream::new(EVERY, now);
    expect_that!(upstream.standing(), eq(Standing::Unknown));
    expect_that!(upstream.pin(now), none());
}

#[gtest]
fn one_that_leaves_stays_leaving_whatever_comes_late() {
    let now = Instant::now();
    let mut upstream = Upstream::new(EVERY, now);
    upstream.take(beat("i", 10, 1, State::Ready), now);
    expect_that!(upstream.take(beat("i", 10, 3, State::Draining), now), eq(Change::Updated));
    expect_that!(upstream.take(beat("i", 10, 2, State::Ready), now), eq(Change::Old));
    upstream.take(beat("i", 10, 4, State::Ready), now);
    expect_that!(upstream.standing(), eq(Standing::Leaving));
    expect_that!(upstream.pin(now + Duration::from_secs(1)), none());
}

#[gtest]
fn one_that_only_deregisters_leaves_as_well() {
    let now = Instant::now();
    let mut upstream = Upstream::new(EVERY, now);
    upstream.take(beat("i", 10, 1, State::Ready), now);
    let other = Announcement::Leave { id: "j".to_owned() };
    expect_that!(upstream.take(other, now), eq(Change::Old));
    let leave = Announcement::Leave { id: "i".to_owned() };
    expect_that!(upstream.take(leave, now), eq(Change::Updated));
    expect_that!(upstream.standing(), eq(Standing::Leaving));
}

#[gtest]
fn a_new_incarnation_takes_over_even_under_the_same_id() {
    let now = Instant::now();
    let mut upstream = Upstream::new(EVERY, now);
    upstream.take(beat("i", 10, 9, State::Draining), now);
    expect_that!(upstream.take(beat("i", 20, 1, State::Ready), now), eq(Change::Started));
    expect_that!(upstream.standing(), eq(Standing::Ready));
}

#[gtest]
fn a_late_beat_of_an_earlier_incarnation_changes_nothing() {
    let now = Instant::now();
    let mut upstream = Upstream::new(EVERY, now);
    upstream.take(beat("new", 20, 1, State::Ready), now);
    expect_that!(upstream.take(beat("old", 10, 99, State::Draining), now), eq(Change::Old));
    expect_that!(upstream.pin(now).map(|beat| beat.id.clone()), some(eq("new")));
}

#[gtest]
fn after_a_long_silence_a_start_in_the_past_is_believed() {
    let now = Instant::now();
    let mut upstream = Upstream::new(EVERY, now);
    upstream.take(beat("new", 20, 1, State::Ready), now);
    let later = now + EVERY * 4;
    expect_that!(upstream.take(beat("back", 15, 1, State::Ready), later), eq(Change::Started));
}
