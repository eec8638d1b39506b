//! Single decisions of the controller, and random sequences of events.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::collections::HashMap;
use std::time::Duration;

use googletest::prelude::*;
use limits::{
    AdmissionController, AdmissionRequest, Config, Decision, Outcome, Priority, RefusalReason,
};
use proptest::prelude::*;
use units::{Clock, ManualClock, RootId};

const MS: Duration = Duration::from_millis(1);

fn config(slots: u32) -> Config {
    Config { slots, max_wait: 50 * MS, adaptive: false, use_level: true }
}

fn request(key: u32, priority: u16, clock: &ManualClock) -> AdmissionRequest<u32> {
    AdmissionRequest {
        key,
        priority: Priority(priority),
        deadline: clock.now() + Duration::from_secs(1),
        is_root: true,
    }
}

/// A controller with one slot, which is taken, and a known mean service time.
fn busy(clock: &ManualClock) -> AdmissionController<u32> {
    let mut controller = AdmissionController::new(config(1), clock.now());
    let mut out = Vec::new();
    controller.admit(request(1_000, 0, clock), clock.now(), &mut out);
    clock.advance(20 * MS);
    controller.finish(20 * MS, 20 * MS, clock.now(), &mut out);
    controller.admit(request(1_001, 0, clock), clock.now(), &mut out);
    controller
}

#[gtest]
fn a_request_runs_in_a_free_slot_or_waits_for_one() {
    let clock = ManualClock::new();
    let mut controller = AdmissionController::new(config(1), clock.now());
    let mut out = Vec::new();
    expect_that!(controller.admit(request(1, 0, &clock), clock.now(), &mut out), eq(Decision::Run));
    expect_that!(
        controller.admit(request(2, 0, &clock), clock.now(), &mut out),
        eq(Decision::Wait)
    );
    controller.finish(MS, MS, clock.now(), &mut out);
    expect_that!(out, elements_are![eq(&Outcome::Run(2))]);
}

#[gtest]
fn the_highest_priority_is_served_first_and_the_lowest_shed_first() {
    let clock = ManualClock::new();
    let mut controller = busy(&clock);
    let mut out = Vec::new();
    let mut next = 0;
    // Fill the queue with low priorities, then offer a high one.
    while controller.admit(request(next, 5, &clock), clock.now(), &mut out) == Decision::Wait {
        next += 1;
    }
    expect_that!(next, ge(2));
    expect_that!(
        controller.admit(request(99, 40_000, &clock), clock.now(), &mut out),
        eq(Decision::Wait)
    );
    expect_that!(out.len(), eq(1));
    expect_that!(matches!(out[0], Outcome::Refuse(_, RefusalReason::QueueFull)), eq(true));
    out.clear();
    controller.finish(20 * MS, 20 * MS, clock.now(), &mut out);
    expect_that!(out, elements_are![eq(&Outcome::Run(99))]);
}

#[gtest]
fn a_request_whose_deadline_cannot_be_met_is_refused_before_it_runs() {
    let clock = ManualClock::new();
    let mut controller = busy(&clock);
    let mut out = Vec::new();
    let urgent = AdmissionRequest { deadline: clock.now() + 5 * MS, ..request(1, 0, &clock) };
    expect_that!(
        controller.admit(urgent, clock.now(), &mut out),
        eq(Decision::Refuse(RefusalReason::Deadline))
    );
}

#[gtest]
fn no_request_waits_longer_than_the_maximum_wait() {
    let clock = ManualClock::new();
    let mut controller = busy(&clock);
    let mut out = Vec::new();
    controller.admit(request(1, 0, &clock), clock.now(), &mut out);
    controller.admit(request(2, Priority::END - 1, &clock), clock.now(), &mut out);
    clock.advance(51 * MS);
    controller.tick(clock.now(), &mut out);
    expect_that!(out, elements_are![eq(&Outcome::Refuse(1, RefusalReason::QueueTimeout))]);
    clock.advance(100 * MS);
    controller.tick(clock.now(), &mut out);
    expect_that!(
        out[1],
        eq(Outcome::Refuse(2, RefusalReason::QueueTimeout)),
        "the highest class waits longer"
    );
}

#[gtest]
fn calls_within_running_trees_precede_new_trees_of_their_class_only() {
    let clock = ManualClock::new();
    let mut controller = busy(&clock);
    let mut out = Vec::new();
    let (low, high) = (Priority::new(1, RootId(1)).0, Priority::new(2, RootId(1)).0);
    controller.admit(request(1, high, &clock), clock.now(), &mut out);
    controller.admit(
        AdmissionRequest { is_root: false, ..request(2, low, &clock) },
        clock.now(),
        &mut out,
    );
    controller.admit(
        AdmissionRequest { is_root: false, ..request(3, high - 1, &clock) },
        clock.now(),
        &mut out,
    );
    let mut order = Vec::new();
    for _ in 0..3 {
        out.clear();
        controller.finish(20 * MS, 20 * MS, clock.now(), &mut out);
        order.extend(
            out.iter()
                .map(|outcome| matches!(outcome, Outcome::Run(key) if { is_offered_key(*key) })),
        );
        order.truncate(3);
    }
    expect_that!(order, elements_are![eq(&true), eq(&true), eq(&true)]);
}

fn is_offered_key(key: u32) -> bool {
    (1..=3).contains(&key)
}

#[gtest]
fn a_draining_controller_runs_queued_requests_and_refuses_new_ones() {
    let clock = ManualClock::new();
    let mut controller = busy(&clock);
    let mut out = Vec::new();
    controller.drain(clock.now() + 10 * MS);
    expect_that!(
        controller.admit(request(1, 0, &clock), clock.now(), &mut out),
        eq(Decision::Wait)
    );
    clock.advance(10 * MS);
    expect_that!(
        controller.admit(request(2, 0, &clock), clock.now(), &mut out),
        eq(Decision::Refuse(RefusalReason::Draining))
    );
    controller.finish(20 * MS, 20 * MS, clock.now(), &mut out);
    expect_that!(out, elements_are![eq(&Outcome::Run(1))]);
    controller.finish(20 * MS, 20 * MS, clock.now(), &mut out);
    expect_that!(controller.is_idle(), eq(true));
    controller.undrain();
    expect_that!(controller.admit(request(3, 0, &clock), clock.now(), &mut out), eq(Decision::Run));
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
    Request { priority: u16, time_left: u64, root: bool },
    Finish,
    Abandon,
    Cancel(u32),
    Advance(u64),
    Drain,
    Undrain,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (any::<u16>(), 1_u64..500, any::<bool>()).prop_map(|(priority, time_left, root)| Step::Request { priority, time_left, root }),
        4 => Just(Step::Finish),
        1 => Just(Step::Abandon),
        1 => (0_u32..200).prop_map(Step::Cancel),
        4 => (0_u64..40).prop_map(Step::Advance),
        1 => Just(Step::Drain),
        1 => Just(Step::Undrain),
        1 => Just(Step::Restart),
    ]
}

/// Expected state of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Expected {
    Waiting,
    Running,
    Ended,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// In any order of events, each request runs or is refused at most once, none is lost, and no more requests run
    /// than there are slots.
    #[test]
    fn every_request_runs_or_is_refused_at_most_once(steps in prop::collection::vec(step(), 0..200), slots in 1_u32..6, adaptive: bool) {
        let clock = ManualClock::new();
        let mut controller = AdmissionController::new(Config { adaptive, ..config(slots) }, clock.now());
        let mut expected: HashMap<u32, Expected> = HashMap::new();
        let mut out = Vec::new();
        for (key, step) in steps.into_iter().enumerate() {
            let key = key as u32;
            let running = expected.values().filter(|expected| **expected == Expected::Running).count();
            match step {
                Step::Request { priority, time_left, root } => {
                    let request = AdmissionRequest { key, priority: Priority(priority), deadline: clock.now() + time_left as u32 * MS, is_root: root };
                    expected.insert(key, match controller.admit(request, clock.now(), &mut out) {
                        Decision::Run => Expected::Running,
                        Decision::Wait => Expected::Waiting,
                        Decision::Refuse(_) => Expected::Ended,
                    });
                }
                Step::Finish | Step::Abandon if running == 0 => {}
                Step::Finish | Step::Abandon => {
                    let ended = *expected.iter().filter(|(_, expected)| **expected == Expected::Running).map(|(key, _)| key).min().unwrap();
                    expected.insert(ended, Expected::Ended);
                    if matches!(step, Step::Finish) {
                        controller.finish(10 * MS, 8 * MS, clock.now(), &mut out);
                    } else {
                        controller.abandon(clock.now(), &mut out);
                    }
                }
                Step::Cancel(key) => {
                    let waits = expected.get(&key) == Some(&Expected::Waiting);
                    prop_assert_eq!(controller.cancel(key), waits);
                    if waits { expected.insert(key, Expected::Ended); }
                }
                Step::Advance(millis) => {
                    clock.advance(millis as u32 * MS);
                    controller.tick(clock.now(), &mut out);
                }
                Step::Drain => controller.drain(clock.now()),
                Step::Undrain => controller.undrain(),
                Step::Restart => controller.restart(AdmissionController::new(Config { adaptive, ..config(slots) }, clock.now())),
            }
            for outcome in out.drain(..) {
                let (key, new_state) = match outcome {
                    Outcome::Run(key) => (key, Expected::Running),
                    Outcome::Refuse(key, _) => (key, Expected::Ended),
                };
                prop_assert_eq!(expected.insert(key, new_state), Some(Expected::Waiting));
            }
            let running = expected.values().filter(|expected| **expected == Expected::Running).count() as u32;
            let waiting = expected.values().filter(|expected| **expected == Expected::Waiting).count() as u32;
            let load = controller.load(clock.now());
            prop_assert!(running <= slots);
            prop_assert_eq!((load.running, load.waiting), (running, waiting));
        }
    }
}
