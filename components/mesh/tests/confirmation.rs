//! How long keys are accepted without a confirmation of the configuration.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::process::confirmation::Confirmation;
use mesh::process::upstream::Moment;

const BOUND: Duration = Duration::from_secs(5);
const MS: Duration = Duration::from_millis(1);

/// A moment, on both clocks.
fn after(start: Instant, monotonic: Duration, wall: Duration) -> Moment {
    Moment { monotonic: start + monotonic, wall_ms: 1_000_000 + wall.as_millis() as u64 }
}

fn at(start: Instant, time: Duration) -> Moment {
    after(start, time, time)
}

/// Guards against keys that are accepted for longer than the bound, or refused within it.
#[gtest]
fn keys_are_accepted_for_the_bound_after_the_read_was_asked_for() {
    let start = Instant::now();
    let mut confirmation = Confirmation::new(Some(BOUND));
    expect_that!(confirmation.is_valid(at(start, MS)), eq(false), "nothing is confirmed yet");
    // The answer came a second after the read was asked for.
    confirmation.confirmed(at(start, Duration::ZERO), at(start, 1_000 * MS));
    expect_that!(confirmation.is_valid(at(start, BOUND)), eq(true));
    expect_that!(confirmation.is_valid(at(start, BOUND + MS)), eq(false));
    expect_that!(confirmation.is_overdue(at(start, BOUND / 2)), eq(false));
    expect_that!(confirmation.is_overdue(at(start, BOUND - MS)), eq(true), "time to read again");
}

/// Guards against a suspension that does not count: keys may have been revoked meanwhile.
#[gtest]
fn the_time_of_a_suspension_counts_on_either_clock() {
    let start = Instant::now();
    let mut confirmation = Confirmation::new(Some(BOUND));
    confirmation.confirmed(at(start, Duration::ZERO), at(start, MS));
    let resumed = after(start, 10 * MS, BOUND * 2);
    expect_that!(confirmation.is_valid(resumed), eq(false), "the monotonic clock stood still");
    // The answer to a read of before the suspension.
    confirmation.confirmed(at(start, 5 * MS), resumed);
    expect_that!(confirmation.is_valid(resumed), eq(false));
    let set_back = Moment { wall_ms: 0, ..at(start, BOUND + 6 * MS) };
    expect_that!(confirmation.is_valid(set_back), eq(false), "the wall clock was set back");
}

/// Guards against a confirmation that grows younger on its way from node to node, and against an older one that replaces
/// a later one.
#[gtest]
fn what_another_node_tells_counts_with_its_age() {
    let start = Instant::now();
    let now = at(start, BOUND * 4);
    let mut confirmation = Confirmation::new(Some(BOUND));
    let asked = at(start, BOUND * 4 - 700 * MS);
    confirmation.relayed(2_000 * MS, asked, now);
    expect_that!(confirmation.age(now), some(eq(2_700 * MS)));
    confirmation.relayed(4_000 * MS, now, now);
    expect_that!(confirmation.age(now), some(eq(2_700 * MS)), "older");
    confirmation.relayed(Duration::MAX, now, now);
    expect_that!(confirmation.age(now), some(eq(2_700 * MS)), "no age of a node");
    let mut other = Confirmation::new(Some(BOUND));
    other.relayed(2_700 * MS, now, now);
    expect_that!(other.is_valid(at(start, BOUND * 4 + 2_300 * MS)), eq(true));
    expect_that!(other.is_valid(at(start, BOUND * 4 + 2_301 * MS)), eq(false));
}

/// Guards against a deployment that prefers to go on being refused.
#[gtest]
fn without_a_bound_keys_are_always_accepted() {
    let start = Instant::now();
    let confirmation = Confirmation::new(None);
    expect_that!(confirmation.is_valid(at(start, BOUND * 100)), eq(true));
    expect_that!(confirmation.is_overdue(at(start, BOUND * 100)), eq(false));
    expect_that!(confirmation.interval(), none());
}
