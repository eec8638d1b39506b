//! Which requests are quarantined.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use proptest::prelude::*;
use quarantine::{Crash, Fingerprint, SavedCrash, SuspectTable, SuspectUpdate};
use units::{Clock, ManualClock};

const POISON: Fingerprint = Fingerprint(1);
const BYSTANDER: Fingerprint = Fingerprint(2);

fn crash_update(fingerprint: Fingerprint, node: &str, epoch: u64) -> SuspectUpdate {
    let crash = Crash { node: node.parse().unwrap(), epoch };
    SuspectUpdate { fingerprint, crash, cleared: false, call: "POST /bookings".to_owned() }
}

fn now() -> Instant {
    ManualClock::new().now()
}

#[gtest]
fn a_request_is_quarantined_at_the_second_crash() {
    let mut table = SuspectTable::new();
    expect_that!(table.merge(&crash_update(POISON, "a", 1), now()), eq(true));
    expect_that!(table.is_quarantined(POISON), eq(false));
    expect_that!(
        table.merge(&crash_update(POISON, "a", 1), now()),
        eq(false),
        "the same crash changes nothing"
    );
    expect_that!(table.is_quarantined(POISON), eq(false));
    table.merge(&crash_update(POISON, "b", 1), now());
    expect_that!(table.is_quarantined(POISON), eq(true));
}

#[gtest]
fn an_answer_clears_a_bystander() {
    let mut table = SuspectTable::new();
    table.merge(&crash_update(POISON, "a", 1), now());
    table.merge(&crash_update(BYSTANDER, "a", 1), now());
    expect_that!(table.clear(BYSTANDER, now()).len(), eq(1));
    expect_that!(table.clear(BYSTANDER, now()), is_empty(), "cleared only once");
    table.merge(&crash_update(POISON, "b", 1), now());
    table.merge(&crash_update(BYSTANDER, "b", 1), now());
    expect_that!(table.is_quarantined(POISON), eq(true));
    expect_that!(table.is_quarantined(BYSTANDER), eq(false));
}

/// Guards against a request that is never quarantined again once it was answered, though it crashes each upstream since.
#[gtest]
fn a_request_that_was_cleared_is_quarantined_after_two_further_crashes() {
    let mut table = SuspectTable::new();
    table.merge(&crash_update(POISON, "a", 1), now());
    table.clear(POISON, now());
    table.merge(&crash_update(POISON, "b", 1), now());
    expect_that!(table.is_quarantined(POISON), eq(false));
    table.merge(&crash_update(POISON, "c", 1), now());
    expect_that!(table.is_quarantined(POISON), eq(true));
}

/// Guards against a crash that counts again, as another node repeats the news of it.
#[gtest]
fn a_cleared_crash_that_is_told_again_stays_cleared() {
    let mut table = SuspectTable::new();
    let first = crash_update(BYSTANDER, "a", 1);
    table.merge(&first, now());
    table.clear(BYSTANDER, now());
    expect_that!(table.merge(&first, now()), eq(false));
    table.merge(&crash_update(BYSTANDER, "b", 1), now());
    expect_that!(table.is_quarantined(BYSTANDER), eq(false));
}

#[gtest]
fn quarantine_expires() {
    let clock = ManualClock::new();
    let mut table = SuspectTable::new();
    table.merge(&crash_update(POISON, "a", 1), clock.now());
    table.merge(&crash_update(POISON, "b", 1), clock.now());
    clock.advance(Duration::from_secs(600));
    table.tick(clock.now());
    expect_that!(table.is_quarantined(POISON), eq(false));
}

/// Guards against a request that was in flight at two crashes at the same time and is refused for good, as nothing can
/// answer it any more.
#[gtest]
fn a_quarantined_request_is_tried_again_one_at_a_time() {
    let clock = ManualClock::new();
    let mut table = SuspectTable::new();
    table.merge(&crash_update(BYSTANDER, "a", 1), clock.now());
    table.merge(&crash_update(BYSTANDER, "b", 1), clock.now());
    clock.advance(Duration::from_millis(9_900));
    expect_that!(table.try_admit(BYSTANDER, clock.now()), eq(false));
    clock.advance(Duration::from_millis(100));
    expect_that!(table.is_refused(BYSTANDER, clock.now()), eq(false));
    expect_that!(table.try_admit(BYSTANDER, clock.now()), eq(true));
    expect_that!(table.try_admit(BYSTANDER, clock.now()), eq(false), "one at a time");
    table.clear(BYSTANDER, clock.now());
    expect_that!(table.try_admit(BYSTANDER, clock.now()), eq(true));
    expect_that!(table.try_admit(BYSTANDER, clock.now()), eq(true));
}

/// Guards against trials that cost an upstream each time: a day sees three of them after the third crash at the most.
#[gtest]
fn trials_of_a_request_that_crashes_upstreams_become_rare() {
    let clock = ManualClock::new();
    let mut table = SuspectTable::new();
    table.merge(&crash_update(POISON, "a", 1), clock.now());
    table.merge(&crash_update(POISON, "a", 2), clock.now());
    let mut crashes = 2;
    for _ in 0..12 * 3_600 {
        clock.advance(Duration::from_secs(1));
        table.tick(clock.now());
        if table.try_admit(POISON, clock.now()) {
            crashes += 1;
            table.merge(&crash_update(POISON, "a", crashes), clock.now());
        }
    }
    expect_that!(crashes, le(6));
}

/// Guards against a flood of suspects that makes nodes forget which requests crash upstreams.
#[gtest]
fn a_quarantined_request_is_not_evicted_by_other_suspects() {
    let mut table = SuspectTable::new();
    table.merge(&crash_update(POISON, "a", 1), now());
    table.merge(&crash_update(POISON, "b", 1), now());
    for number in 10..5_000 {
        table.merge(&crash_update(Fingerprint(number), "a", 1), now());
    }
    expect_that!(table.is_quarantined(POISON), eq(true));
    expect_that!(table.len(), eq(4_096));
}

/// Restores crashes of a request as they were saved `age` ago.
fn restored(crashes: &[(SavedCrash, Duration)], age: Duration, now: Instant) -> SuspectTable {
    let mut table = SuspectTable::new();
    for (saved, since) in crashes {
        table.restore(saved, &"a".parse().unwrap(), *since + age, now);
    }
    table.tick(now);
    table
}

/// Guards against crashes that are forgotten with all processes, a trial that is due too early or never, and a request that is
/// refused for crashes of long ago.
#[gtest]
fn saved_crashes_hold_as_long_as_they_would_in_memory() {
    let clock = ManualClock::new();
    let node = "a".parse().unwrap();
    let mut table = SuspectTable::new();
    for epoch in 1..=2 {
        table.merge(&crash_update(POISON, "a", epoch), clock.now());
    }
    clock.advance(Duration::from_secs(4));
    let saved = table.crashes_of(&node, 10, clock.now());
    expect_that!(saved.len(), eq(2));
    let second = Duration::from_secs(1);
    for (age, quarantined, refused) in [
        (0, true, true),
        (5, true, true),
        (6, true, false),
        (595, true, false),
        (596, false, false),
    ] {
        let table = restored(&saved, age * second, clock.now());
        expect_that!(table.is_quarantined(POISON), eq(quarantined), "{age} s later");
        expect_that!(table.is_refused(POISON, clock.now()), eq(refused), "{age} s later");
    }
    table.clear(POISON, clock.now());
    expect_that!(table.crashes_of(&node, 10, clock.now()).len(), eq(0), "it was answered");
    expect_that!(table.quarantined_crashes_of(&node).len(), eq(0));
}

/// Guards against a saved record without the request that crashes upstreams, as many others were in flight.
#[gtest]
fn crashes_of_quarantined_requests_are_saved_first() {
    let (now, node) = (now(), "a".parse().unwrap());
    let mut table = SuspectTable::new();
    table.merge(&crash_update(POISON, "a", 1), now);
    table.merge(&crash_update(POISON, "b", 1), now);
    for number in 10..400 {
        table.merge(&crash_update(Fingerprint(number), "a", 1), now);
    }
    let saved = table.crashes_of(&node, 32, now);
    expect_that!(saved.len(), eq(32));
    expect_that!(saved[0].0, eq(&SavedCrash { fingerprint: POISON, epoch: 1 }));
    expect_that!(table.quarantined_crashes_of(&node).len(), eq(1));
    expect_that!(table.crashes_of(&"c".parse().unwrap(), 32, now).len(), eq(0));
}

/// Guards against a saved crash that counts again though an answer to the request is known.
#[gtest]
fn a_saved_crash_does_not_replace_an_answer() {
    let now = now();
    let mut table = SuspectTable::new();
    for epoch in 1..=2 {
        table.merge(&crash_update(POISON, "a", epoch), now);
    }
    let saved = table.crashes_of(&"a".parse().unwrap(), 10, now);
    table.clear(POISON, now);
    for (crash, age) in saved {
        table.restore(&crash, &"a".parse().unwrap(), age, now);
    }
    expect_that!(table.is_quarantined(POISON), eq(false));
}

#[gtest]
fn a_fingerprint_depends_on_the_key_or_on_the_exact_request() {
    expect_that!(Fingerprint::of_key(b"k"), eq(Fingerprint::of_key(b"k")));
    expect_that!(
        Fingerprint::of_request("GET", "/a", b""),
        not(eq(Fingerprint::of_request("GET", "/", b"a")))
    );
}

proptest! {
    #[test]
    fn the_order_of_updates_does_not_matter(inputs in prop::collection::vec((0_u64..3, 0_u64..3, any::<bool>()), 0..12), seed: usize) {
        let updates: Vec<SuspectUpdate> = inputs
            .iter()
            .map(|(fingerprint, epoch, clear)| {
                let mut update = crash_update(Fingerprint(*fingerprint), "a", *epoch);
                update.cleared = *clear;
                update
            })
            .collect();
        let mut rotated = updates.clone();
        rotated.rotate_left(if updates.is_empty() { 0 } else { seed % updates.len() });
        let quarantined = |order: &[SuspectUpdate]| {
            let mut table = SuspectTable::new();
            for update in order { table.merge(update, now()); }
            (0..3).map(|id| table.is_quarantined(Fingerprint(id))).collect::<Vec<_>>()
        };
        prop_assert_eq!(quarantined(&updates), quarantined(&rotated));
    }
}
