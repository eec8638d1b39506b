//! Slots of an upstream and the requests that wait for them.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::queue::{Decision, Queue, SlotRequest};
use mesh::decide::rate_limit::{Announced, Answer};

const MS: Duration = Duration::from_millis(1);

/// Frees a slot; the request that takes it.
fn release<T>(queue: &mut Queue<T>, held: Duration, now: Instant) -> Option<T> {
    queue.release(held, true, now);
    queue.grant_next(now)
}

fn request(priority: u8, target_time: Instant, now: Instant) -> SlotRequest {
    SlotRequest { priority, target_time, deadline: now + 1_000 * MS, max_wait: 1_000 * MS }
}

/// A queue of two slots that are both taken.
fn full(now: Instant) -> Queue<&'static str> {
    let mut queue = Queue::new();
    queue.set_slots(3);
    for _ in 0..2 {
        assert_eq!(queue.acquire(request(0, now, now), now, || "first"), Decision::Run);
    }
    queue
}

#[gtest]
fn some_announced_slots_stay_unused() {
    let mut queue: Queue<()> = Queue::new();
    queue.set_slots(48);
    expect_that!(queue.load(Instant::now()).limit, eq(45));
    queue.set_slots(1);
    expect_that!(queue.load(Instant::now()).limit, eq(1));
}

#[gtest]
fn requests_are_ordered_by_priority_and_then_by_target_time() {
    let now = Instant::now();
    let mut queue = full(now);
    for (priority, target_time, name) in [(2, 100, "late"), (0, 900, "patient"), (0, 200, "urgent")]
    {
        let decision = queue.acquire(request(priority, now + target_time * MS, now), now, || name);
        assert_that!(decision, matches_pattern!(Decision::Wait(_)));
    }
    let order: Vec<_> = (0..3).map(|_| release(&mut queue, 50 * MS, now)).collect();
    expect_that!(order, eq(&vec![Some("urgent"), Some("patient"), Some("late")]));
}

#[gtest]
fn a_request_with_too_long_an_expected_wait_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = full(now);
    let hasty = SlotRequest { max_wait: 10 * MS, ..request(0, now, now) };
    let decision = queue.acquire(hasty, now, || "hasty");
    expect_that!(decision, matches_pattern!(Decision::Refuse { .. }));
    expect_that!(queue.load(now).waiting, eq(0));
}

#[gtest]
fn a_request_that_would_wait_past_its_deadline_is_refused() {
    let now = Instant::now();
    let mut queue = full(now);
    let expiring = SlotRequest { deadline: now + 5 * MS, ..request(0, now, now) };
    expect_that!(
        queue.acquire(expiring, now, || "expiring"),
        matches_pattern!(Decision::Refuse { .. })
    );
}

#[gtest]
fn a_cancelled_request_takes_no_slot() {
    let now = Instant::now();
    let mut queue = full(now);
    let Decision::Wait(position) = queue.acquire(request(0, now, now), now, || "cancelled") else {
        panic!("expected a wait");
    };
    expect_that!(queue.cancel(position), eq(true));
    expect_that!(release(&mut queue, MS, now), none());
    expect_that!(queue.cancel(position), eq(false));
}

/// Guards against urgent requests being refused under sustained overload: they are served as if there were no others.
#[gtest]
fn under_twice_the_load_the_first_priority_is_never_refused() {
    let start = Instant::now();
    let mut queue: Queue<u8> = Queue::new();
    queue.set_slots(11);
    // Before the first answer of the upstream, not all slots are used.
    let answer = Answer { announced: Announced::Unlimited, sent_at: start, ran: true };
    queue.record_answer(answer, start);
    let mut running: Vec<Instant> = Vec::new();
    let (mut refused, mut offered) = ([0; 2], [0; 2]);
    for step in 0..4_000_u32 {
        let now = start + step * MS;
        running.retain(|end| {
            let ended = *end <= now;
            if ended {
                // The request that takes the slot is added to `running` below.
                release(&mut queue, 40 * MS, now);
            }
            !ended
        });
        // Every fourth request is urgent; together they are twice what ten slots of 40 ms serve.
        let priority = u8::from(step % 4 != 0);
        if step % 2 == 0 {
            offered[usize::from(priority)] += 1;
            let request = SlotRequest {
                priority,
                target_time: now,
                deadline: now + 300 * MS,
                max_wait: 80 * MS,
            };
            if let Decision::Refuse { .. } = queue.acquire(request, now, || priority) {
                refused[usize::from(priority)] += 1;
            }
        }
        while running.len() < queue.load(now).running as usize {
            running.push(now + 40 * MS);
        }
    }
    expect_that!(offered[0], gt(0));
    expect_that!(refused[0], eq(0), "the first priority alone does not exceed the slots");
}
