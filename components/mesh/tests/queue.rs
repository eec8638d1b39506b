//! Slots of an upstream and the requests that wait for them.

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
fn some_announced_slots_stay_unused() {
    let mut queue: Queue<()> = Queue::new();
    queue.set_slots(48);
    expect_that!(queue.load().limit, eq(45));
    queue.set_slots(1);
    expect_that!(queue.load().limit, eq(1));
}

#[gtest]
fn requests_are_ordered_by_rank_and_then_by_target_time() {
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
fn a_request_with_too_long_an_expected_wait_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = full(now);
    let hasty = Offer { patience: 10 * MS, ..offer(0, now, now) };
    let decision = queue.offer(hasty, now, || "hasty");
    expect_that!(decision, matches_pattern!(Decision::Refuse { .. }));
    expect_that!(queue.load().waiting, eq(0));
}

#[gtest]
fn a_request_that_would_wait_past_its_deadline_is_refused() {
    let now = Instant::now();
    let mut queue = full(now);
    let leaving = Offer { until: now + 5 * MS, ..offer(0, now, now) };
    expect_that!(
        queue.offer(leaving, now, || "leaving"),
        matches_pattern!(Decision::Refuse { .. })
    );
}

#[gtest]
fn a_removed_request_takes_no_slot() {
    let now = Instant::now();
    let mut queue = full(now);
    let Decision::Wait(slot) = queue.offer(offer(0, now, now), now, || "gone") else {
        panic!("expected a wait");
    };
    expect_that!(queue.leave(slot), eq(true));
    expect_that!(queue.finish(MS, true), none());
    expect_that!(queue.leave(slot), eq(false));
}

/// Guards against urgent requests being refused under sustained overload: they are served as if there were no others.
#[gtest]
fn under_twice_the_load_the_first_rank_is_never_refused() {
    let start = Instant::now();
    let mut queue: Queue<u8> = Queue::new();
    queue.set_slots(11);
    let mut running: Vec<Instant> = Vec::new();
    let (mut refused, mut offered) = ([0; 2], [0; 2]);
    for step in 0..4_000_u32 {
        let now = start + step * MS;
        running.retain(|end| {
            let ended = *end <= now;
            if ended {
                // The request that takes the slot is added to `running` below.
                queue.finish(40 * MS, true);
            }
            !ended
        });
        // Every fourth request is urgent; together they are twice what ten slots of 40 ms serve.
        let rank = u8::from(step % 4 != 0);
        if step % 2 == 0 {
            offered[usize::from(rank)] += 1;
            let request = Offer { rank, due: now, until: now + 300 * MS, patience: 80 * MS };
            if let Decision::Refuse { .. } = queue.offer(request, now, || rank) {
                refused[usize::from(rank)] += 1;
            }
        }
        while running.len() < queue.load().running as usize {
            running.push(now + 40 * MS);
        }
    }
    expect_that!(offered[0], gt(0));
    expect_that!(refused[0], eq(0), "the first rank alone does not exceed the slots");
}
