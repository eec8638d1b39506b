//! The guard's decisions, one by one.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

use std::collections::HashMap;
use std::time::Duration;

use googletest::prelude::*;
use limits::{Config, Decision, Guard, Offer, Outcome, Priority, Refused};
use proptest::prelude::*;
use units::{Clock, ManualClock, RootId};

const MS: Duration = Duration::from_millis(1);

fn config(slots: u32) -> Config {
    Config { slots, queue: 50 * MS, adaptive: false, levels: true }
}

fn offer(key: u32, priority: u16, clock: &ManualClock) -> Offer<u32> {
    Offer {
        key,
        priority: Priority(priority),
        deadline: clock.now() + Duration::from_secs(1),
        root: true,
    }
}

/// A guard of one slot that is taken, with a known time that a slot is held.
fn busy(clock: &ManualClock) -> Guard<u32> {
    let mut guard = Guard::new(config(1), clock.now());
    let mut out = Vec::new();
    guard.offer(offer(1_000, 0, clock), clock.now(), &mut out);
    clock.advance(20 * MS);
    guard.finish(20 * MS, 20 * MS, clock.now(), &mut out);
    guard.offer(offer(1_001, 0, clock), clock.now(), &mut out);
    guard
}

#[gtest]
fn a_free_slot_is_used_and_a_taken_one_is_waited_for() {
    let clock = ManualClock::new();
    let mut guard = Guard::new(config(1), clock.now());
    let mut out = Vec::new();
    expect_that!(guard.offer(offer(1, 0, &clock), clock.now(), &mut out), eq(Decision::Run));
    expect_that!(guard.offer(offer(2, 0, &clock), clock.now(), &mut out), eq(Decision::Wait));
    guard.finish(MS, MS, clock.now(), &mut out);
    expect_that!(out, elements_are![eq(&Outcome::Run(2))]);
}

#[gtest]
fn the_highest_priority_is_served_first_and_the_lowest_shed_first() {
    let clock = ManualClock::new();
    let mut guard = busy(&clock);
    let mut out = Vec::new();
    let mut next = 0;
    // Fill the queue with low priorities, then offer a high one.
    while guard.offer(offer(next, 5, &clock), clock.now(), &mut out) == Decision::Wait {
        next += 1;
    }
    expect_that!(next, ge(2));
    expect_that!(guard.offer(offer(99, 40_000, &clock), clock.now(), &mut out), eq(Decision::Wait));
    expect_that!(out.len(), eq(1));
    expect_that!(matches!(out[0], Outcome::Refuse(_, Refused::Full)), eq(true));
    out.clear();
    guard.finish(20 * MS, 20 * MS, clock.now(), &mut out);
    expect_that!(out, elements_are![eq(&Outcome::Run(99))]);
}

#[gtest]
fn work_whose_deadline_can_not_be_met_is_refused_before_it_starts() {
    let clock = ManualClock::new();
    let mut guard = busy(&clock);
    let mut out = Vec::new();
    let hurried = Offer { deadline: clock.now() + 5 * MS, ..offer(1, 0, &clock) };
    expect_that!(
        guard.offer(hurried, clock.now(), &mut out),
        eq(Decision::Refuse(Refused::Deadline))
    );
}

#[gtest]
fn nobody_waits_longer_than_the_queue_allows() {
    let clock = ManualClock::new();
    let mut guard = busy(&clock);
    let mut out = Vec::new();
    guard.offer(offer(1, 0, &clock), clock.now(), &mut out);
    guard.offer(offer(2, Priority::END - 1, &clock), clock.now(), &mut out);
    clock.advance(51 * MS);
    guard.tick(clock.now(), &mut out);
    expect_that!(out, elements_are![eq(&Outcome::Refuse(1, Refused::Waited))]);
    clock.advance(100 * MS);
    guard.tick(clock.now(), &mut out);
    expect_that!(out[1], eq(Outcome::Refuse(2, Refused::Waited)), "callers outside wait longer");
}

#[gtest]
fn calls_of_started_trees_go_before_new_trees_of_their_class_only() {
    let clock = ManualClock::new();
    let mut guard = busy(&clock);
    let mut out = Vec::new();
    let (low, high) = (Priority::new(1, RootId(1)).0, Priority::new(2, RootId(1)).0);
    guard.offer(offer(1, high, &clock), clock.now(), &mut out);
    guard.offer(Offer { root: false, ..offer(2, low, &clock) }, clock.now(), &mut out);
    guard.offer(Offer { root: false, ..offer(3, high - 1, &clock) }, clock.now(), &mut out);
    let mut order = Vec::new();
    for _ in 0..3 {
        out.clear();
        guard.finish(20 * MS, 20 * MS, clock.now(), &mut out);
        order.extend(
            out.iter().map(|outcome| matches!(outcome, Outcome::Run(key) if { order_key(*key) })),
        );
        order.truncate(3);
    }
    expect_that!(order, elements_are![eq(&true), eq(&true), eq(&true)]);
}

fn order_key(key: u32) -> bool {
    (1..=3).contains(&key)
}

#[gtest]
fn a_draining_guard_finishes_what_waits_and_refuses_what_comes() {
    let clock = ManualClock::new();
    let mut guard = busy(&clock);
    let mut out = Vec::new();
    guard.drain(clock.now() + 10 * MS);
    expect_that!(guard.offer(offer(1, 0, &clock), clock.now(), &mut out), eq(Decision::Wait));
    clock.advance(10 * MS);
    expect_that!(
        guard.offer(offer(2, 0, &clock), clock.now(), &mut out),
        eq(Decision::Refuse(Refused::Draining))
    );
    guard.finish(20 * MS, 20 * MS, clock.now(), &mut out);
    expect_that!(out, elements_are![eq(&Outcome::Run(1))]);
    guard.finish(20 * MS, 20 * MS, clock.now(), &mut out);
    expect_that!(guard.is_idle(), eq(true));
    guard.undrain();
    expect_that!(guard.offer(offer(3, 0, &clock), clock.now(), &mut out), eq(Decision::Run));
}

#[gtest]
fn all_hops_shed_the_calls_of_the_same_trees() {
    let roots: Vec<RootId> = (0..100).map(RootId).collect();
    let order = |rank: u8| {
        let mut sorted = roots.clone();
        sorted.sort_by_key(|root| Priority::new(rank, *root));
        sorted
    };
    expect_that!(order(1), eq(&order(2)));
    let (lowest, highest) = (order(2)[0], order(1)[99]);
    expect_that!(Priority::new(2, lowest), gt(Priority::new(1, highest)));
}

#[derive(Debug, Clone)]
enum Step {
    Offer { priority: u16, left: u64, root: bool },
    Finish,
    Abandon,
    Leave(u32),
    Pass(u64),
    Drain,
    Undrain,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (any::<u16>(), 1_u64..500, any::<bool>()).prop_map(|(priority, left, root)| Step::Offer { priority, left, root }),
        4 => Just(Step::Finish),
        1 => Just(Step::Abandon),
        1 => (0_u32..200).prop_map(Step::Leave),
        4 => (0_u64..40).prop_map(Step::Pass),
        1 => Just(Step::Drain),
        1 => Just(Step::Undrain),
        1 => Just(Step::Restart),
    ]
}

/// What a test knows of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Known {
    Waiting,
    Running,
    Over,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Whatever happens in whatever order: each request runs or is refused at most once, none is forgotten, and no
    /// more run than the slots allow.
    #[test]
    fn every_request_has_one_fate(steps in prop::collection::vec(step(), 0..200), slots in 1_u32..6, adaptive: bool) {
        let clock = ManualClock::new();
        let mut guard = Guard::new(Config { adaptive, ..config(slots) }, clock.now());
        let mut known: HashMap<u32, Known> = HashMap::new();
        let mut out = Vec::new();
        for (key, step) in steps.into_iter().enumerate() {
            let key = key as u32;
            let running = known.values().filter(|known| **known == Known::Running).count();
            match step {
                Step::Offer { priority, left, root } => {
                    let offer = Offer { key, priority: Priority(priority), deadline: clock.now() + left as u32 * MS, root };
                    known.insert(key, match guard.offer(offer, clock.now(), &mut out) {
                        Decision::Run => Known::Running,
                        Decision::Wait => Known::Waiting,
                        Decision::Refuse(_) => Known::Over,
                    });
                }
                Step::Finish | Step::Abandon if running == 0 => {}
                Step::Finish | Step::Abandon => {
                    let ended = *known.iter().filter(|(_, known)| **known == Known::Running).map(|(key, _)| key).min().unwrap();
                    known.insert(ended, Known::Over);
                    if matches!(step, Step::Finish) {
                        guard.finish(10 * MS, 8 * MS, clock.now(), &mut out);
                    } else {
                        guard.abandon(clock.now(), &mut out);
                    }
                }
                Step::Leave(key) => {
                    let waits = known.get(&key) == Some(&Known::Waiting);
                    prop_assert_eq!(guard.leave(key), waits);
                    if waits { known.insert(key, Known::Over); }
                }
                Step::Pass(millis) => {
                    clock.advance(millis as u32 * MS);
                    guard.tick(clock.now(), &mut out);
                }
                Step::Drain => guard.drain(clock.now()),
                Step::Undrain => guard.undrain(),
                Step::Restart => guard.restart(Guard::new(Config { adaptive, ..config(slots) }, clock.now())),
            }
            for outcome in out.drain(..) {
                let (key, fate) = match outcome {
                    Outcome::Run(key) => (key, Known::Running),
                    Outcome::Refuse(key, _) => (key, Known::Over),
                };
                prop_assert_eq!(known.insert(key, fate), Some(Known::Waiting));
            }
            let running = known.values().filter(|known| **known == Known::Running).count() as u32;
            let waiting = known.values().filter(|known| **known == Known::Waiting).count() as u32;
            let load = guard.load(clock.now());
            prop_assert!(running <= slots);
            prop_assert_eq!((load.running, load.waiting), (running, waiting));
        }
    }
}
