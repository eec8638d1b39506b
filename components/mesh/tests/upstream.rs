//! The state of the upstream beside a node, from its announcements.

#![allow(clippy::unwrap_used, reason = "a test stops at what it did not expect")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::members::Standing;
use mesh::platform::{Announcement, Beat, State};
use mesh::process::upstream::{Change, Moment, Upstream};

const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const DRAIN_PERIOD: Duration = Duration::from_millis(1_500);

fn at(now: Instant) -> Moment {
    Moment { now, wall: 1_000_000 }
}

fn heartbeat(id: &str, born: u64, sequence: u64, state: State) -> Announcement {
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
fn no_request_is_sent_before_the_first_announcement() {
    let now = Instant::now();
    let upstream = Upstream::new(BEAT_INTERVAL, DRAIN_PERIOD, now);
    expect_that!(upstream.standing(), eq(Standing::Unknown));
    expect_that!(upstream.pin(at(now)), none());
}

#[gtest]
fn a_leaving_upstream_stays_leaving_after_late_announcements() {
    let now = Instant::now();
    let mut upstream = Upstream::new(BEAT_INTERVAL, DRAIN_PERIOD, now);
    upstream.take(heartbeat("i", 10, 1, State::Ready), at(now));
    expect_that!(
        upstream.take(heartbeat("i", 10, 3, State::Draining), at(now)),
        eq(Change::Updated)
    );
    expect_that!(upstream.take(heartbeat("i", 10, 2, State::Ready), at(now)), eq(Change::Old));
    upstream.take(heartbeat("i", 10, 4, State::Ready), at(now));
    expect_that!(upstream.standing(), eq(Standing::Leaving));
    expect_that!(upstream.pin(at(now + Duration::from_secs(1))), none());
}

#[gtest]
fn an_upstream_that_only_deregisters_is_leaving_as_well() {
    let now = Instant::now();
    let mut upstream = Upstream::new(BEAT_INTERVAL, DRAIN_PERIOD, now);
    upstream.take(heartbeat("i", 10, 1, State::Ready), at(now));
    let other = Announcement::Leave { id: "j".to_owned() };
    expect_that!(upstream.take(other, at(now)), eq(Change::Old));
    let leave = Announcement::Leave { id: "i".to_owned() };
    expect_that!(upstream.take(leave, at(now)), eq(Change::Updated));
    expect_that!(upstream.standing(), eq(Standing::Leaving));
}

#[gtest]
fn a_new_incarnation_replaces_the_old_one_even_under_the_same_id() {
    let now = Instant::now();
    let mut upstream = Upstream::new(BEAT_INTERVAL, DRAIN_PERIOD, now);
    upstream.take(heartbeat("i", 10, 9, State::Draining), at(now));
    expect_that!(upstream.take(heartbeat("i", 20, 1, State::Ready), at(now)), eq(Change::Started));
    expect_that!(upstream.standing(), eq(Standing::Ready));
}

#[gtest]
fn a_late_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let now = Instant::now();
    let mut upstream = Upstream::new(BEAT_INTERVAL, DRAIN_PERIOD, now);
    upstream.take(heartbeat("new", 20, 1, State::Ready), at(now));
    expect_that!(
        upstream.take(heartbeat("old", 10, 99, State::Draining), at(now)),
        eq(Change::Old)
    );
    expect_that!(upstream.pin(at(now)).map(|beat| beat.id.clone()), some(eq("new")));
}

#[gtest]
fn after_missed_heartbeats_an_earlier_start_time_is_accepted() {
    let now = Instant::now();
    let mut upstream = Upstream::new(BEAT_INTERVAL, DRAIN_PERIOD, now);
    upstream.take(heartbeat("new", 20, 1, State::Ready), at(now));
    let later = now + BEAT_INTERVAL * 4;
    expect_that!(
        upstream.take(heartbeat("back", 15, 1, State::Ready), at(later)),
        eq(Change::Started)
    );
}

/// The monotonic clock of a suspended VM does not count that time, but the drain period ends all the same.
#[gtest]
fn a_leaving_upstream_gets_no_work_after_a_suspension() {
    let now = Instant::now();
    let mut upstream = Upstream::new(BEAT_INTERVAL, DRAIN_PERIOD, now);
    upstream.take(heartbeat("i", 10, 1, State::Draining), at(now));
    let soon = Moment { now: now + Duration::from_millis(300), wall: 1_000_300 };
    expect_that!(upstream.pin(soon), some(anything()));
    expect_that!(upstream.pin(Moment { wall: 1_005_000, ..soon }), none());
    // The wall clock may jump back.
    let late = Moment { now: now + Duration::from_secs(1), wall: 900_000 };
    expect_that!(upstream.pin(late), none());
}
