//! Slots of an upstream and who waits for them.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::queue::{Decision, Offer, Queue};

const MS: Duration = Duration::from_millis(1);

fn offer(rank: u8, due: Instant, now: Instant) -> Offer {
    Offer { rank, due, until: now + 1_000 * MS, patience: 1_000 * MS }
}

/// A queue of two slots that are both taken.
fn full(now: Instant) -> Queue<&'static str> {
    let mut queue = Queue::new();
    queue.set_slots(3);
    for _ in 0..2 {
        assert_eq!(queue.offer(offer(0, now, now), now, || "first"), Decision::Run);
    }
    queue
}

#[gtest]
fn the_last_slots_stay_free() {
    let mut queue: Queue<()> = Queue::new();
    queue.set_slots(48);
    expect_that!(queue.load().limit, eq(45));
    queue.set_slots(1);
    expect_that!(queue.load().limit, eq(1));
}

#[gtest]
fn requests_wait_by_rank_and_then_by_the_moment_their_answer_loses_worth() {
    let now = Instant::now();
    let mut queue = full(now);
    for (rank, due, name) in [(2, 100, "late"), (0, 900, "patient"), (0, 200, "urgent")] {
        let decision = queue.offer(offer(rank, now + due * MS, now), now, || name);
        assert_that!(decision, matches_pattern!(Decision::Wait(_)));
    }
    let order: Vec<_> = (0..3).map(|_| queue.finish(50 * MS, true)).collect();
    expect_that!(order, eq(&vec![Some("urgent"), Some("patient"), Some("late")]));
}

#[gtest]
fn a_wait_over_the_patience_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = full(now);
    let hasty = Offer { patience: 10 * MS, ..offer(0, now, now) };
    let decision = queue.offer(hasty, now, || "hasty");
    expect_that!(decision, matches_pattern!(Decision::Refuse { .. }));
    expect_that!(queue.load().waiting, eq(0));
}

#[gtest]
fn nobody_waits_past_the_time_its_caller_has() {
    let now = Instant::now();
    let mut queue = full(now);
    let leaving = Offer { until: now + 5 * MS, ..offer(0, now, now) };
    expect_that!(
        queue.offer(leaving, now, || "leaving"),
        matches_pattern!(Decision::Refuse { .. })
    );
}

#[gtest]
fn one_that_left_takes_no_slot() {
    let now = Instant::now();
    let mut queue = full(now);
    let Decision::Wait(slot) = queue.offer(offer(0, now, now), now, || "gone") else {
        panic!("expected a wait");
    };
    expect_that!(queue.leave(slot), eq(true));
    expect_that!(queue.finish(MS, true), none());
    expect_that!(queue.leave(slot), eq(false));
}

/// The load that this answers: more comes than runs, for long. The most urgent are served as if nobody else came.
#[gtest]
fn under_twice_the_load_the_first_rank_waits_for_a_turn_at_the_most() {
    let start = Instant::now();
    let mut queue: Queue<u8> = Queue::new();
    queue.set_slots(11);
    let mut running: Vec<Instant> = Vec::new();
    let (mut refused, mut came) = ([0; 2], [0; 2]);
    for step in 0..4_000_u32 {
        let now = start + step * MS;
        running.retain(|end| {
            let ended = *end <= now;
            if ended {
                // Who takes the place is counted below, as running.
                queue.finish(40 * MS, true);
            }
            !ended
        });
        // Every fourth request is urgent; together they are twice what ten slots of 40 ms serve.
        let rank = u8::from(step % 4 != 0);
        if step % 2 == 0 {
            came[usize::from(rank)] += 1;
            let asked = Offer { rank, due: now, until: now + 300 * MS, patience: 80 * MS };
            if let Decision::Refuse { .. } = queue.offer(asked, now, || rank) {
                refused[usize::from(rank)] += 1;
            }
        }
        while running.len() < queue.load().running as usize {
            running.push(now + 40 * MS);
        }
    }
    expect_that!(came[0], gt(0));
    expect_that!(refused[0], eq(0), "the first rank fits and is never refused");
}
