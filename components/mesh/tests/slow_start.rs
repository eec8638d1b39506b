//! Slow start of upstreams, without a network.
//!
//! The bounds are those that callers need, and were stated before anything was measured: with slow start no more
//! requests than without it are late, refused or failed, apart from 0.1% of all; all slots are open at most 3 s after an
//! upstream runs work at the usual speed again, and also while it is cold.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod starting;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::queue::{Decision, Load, Queue, SlotRequest};
use mesh::decide::rate_limit::{Announced, Answer};
use mesh::decide::slow_start::{self, Cause, Failure, SlowStart, Transition};
use mesh::request::peer::LoadReport;
use starting::{Outcome, Phase, Setup};

const MS: Duration = Duration::from_millis(1);
const START_MS: u32 = 3_000;
const COLD_MS: u32 = 3_000;
const MAX_OPENING_MS: u32 = 3_000;

fn setup() -> Setup {
    Setup {
        slow_start: true,
        entries: 100,
        upstreams: 20,
        slots: 36,
        load: 0.6,
        affected: 1,
        phases: Vec::new(),
        end_ms: 12_000,
        burst: None,
        graceful: false,
        seed: 5,
    }
}

/// Phases of an upstream that restarts and is cold for some seconds.
fn restart(factor: f64, knee: u32) -> Vec<(u32, Phase)> {
    vec![(START_MS, Phase::Cold { factor, knee }), (START_MS + COLD_MS, Phase::Usual)]
}

/// Runs with and without slow start, and checks that callers see no more bad outcomes with it.
fn compare(name: &str, setup: Setup) -> Outcome {
    let without = starting::run(Setup { slow_start: false, ..setup.clone() });
    let with = starting::run(setup);
    for (kind, outcome) in [("without", &without), ("with", &with)] {
        let Outcome { answered, late, refused, failed, open_ms, full_ms, .. } = outcome;
        println!(
            "{name:28} {kind:8}: answered {answered}, late {late}, refused {refused}, failed \
             {failed}, all open at {open_ms} ms, full use at {full_ms:?} ms"
        );
    }
    let bad = |outcome: &Outcome| outcome.late + outcome.refused + outcome.failed;
    let all = without.answered + without.refused + without.failed;
    expect_that!(bad(&with), le(bad(&without) + all / 1_000), "{name}");
    with
}

/// Guards against an upstream that is flooded after a restart, or left idle.
#[gtest]
fn one_upstream_restarts_under_load() {
    for entries in [3, 100] {
        for knee in [6, 18, 36] {
            let phases = restart(2.0, knee);
            let name = format!("restart, {entries} entries, knee {knee}");
            let outcome = compare(&name, Setup { entries, phases, ..setup() });
            expect_that!(outcome.open_ms, le(START_MS + COLD_MS + MAX_OPENING_MS));
            expect_that!(outcome.full_ms, some(le(START_MS + COLD_MS + MAX_OPENING_MS)));
        }
    }
}

/// Guards against a service that refuses requests as all its windows are small at once.
#[gtest]
fn all_upstreams_start_at_once() {
    for entries in [3, 100] {
        // At a load of 0.35, the slots suffice also while work takes twice as long.
        let cold = restart(2.0, 36);
        let warm = vec![(START_MS, Phase::Cold { factor: 1.0, knee: 36 })];
        for (name, load, phases) in [("all cold", 0.35, cold), ("all warm", 0.6, warm)] {
            let setup = Setup { entries, load, affected: 20, phases, ..setup() };
            let outcome = compare(&format!("{name}, {entries} entries"), setup);
            expect_that!(outcome.open_ms, le(START_MS + MAX_OPENING_MS));
        }
    }
}

/// Guards against starving a cold upstream: it runs work twice as long, but all its slots at once. It has restarted
/// without losing requests, as entries avoid a node for up to 3 s that lost several of theirs.
#[gtest]
fn a_cold_upstream_gets_all_slots_while_it_is_cold() {
    for entries in [3, 100] {
        let phases = restart(2.0, 36);
        let setup = Setup { entries, phases, graceful: true, ..setup() };
        let outcome = compare("cold", setup);
        expect_that!(outcome.open_ms, le(START_MS + MAX_OPENING_MS));
    }
}

#[gtest]
fn an_upstream_comes_back_from_a_failing_spell() {
    for entries in [3, 100] {
        let back = START_MS + 2_000;
        let cold = Phase::Cold { factor: 2.0, knee: 12 };
        let phases = vec![(START_MS, Phase::Losing), (back, cold), (back + COLD_MS, Phase::Usual)];
        let outcome = compare("losing", Setup { entries, phases, ..setup() });
        expect_that!(outcome.failing_window, le(4));
        expect_that!(outcome.open_ms, le(back + COLD_MS + MAX_OPENING_MS));
    }
}

/// Guards against taking an upstream for a fast one that answers with errors at once.
#[gtest]
fn an_upstream_that_errs_quickly_does_not_look_fast() {
    for entries in [3, 100] {
        let phases = vec![(START_MS, Phase::Erring), (START_MS + 3_000, Phase::Usual)];
        let outcome = compare("erring", Setup { entries, phases, ..setup() });
        expect_that!(outcome.failing_window, le(4));
        expect_that!(outcome.held_ms, ge(90), "errors don't count as short runs");
        expect_that!(outcome.open_ms, le(START_MS + 3_000 + MAX_OPENING_MS));
    }
}

/// Guards against waits at an upstream that nobody used since its start.
#[gtest]
fn an_idle_upstream_takes_a_burst_after_its_start() {
    let phases = vec![(START_MS, Phase::Cold { factor: 1.0, knee: 36 })];
    let burst = Some((START_MS + 2_000, 30));
    let outcome = compare("idle", Setup { load: 0.005, phases, burst, ..setup() });
    expect_that!(outcome.refused, eq(0));
    expect_that!(outcome.late, eq(0));
}

/// Guards against a restart of the node alone that limits an upstream which went on running.
#[gtest]
fn only_an_upstream_that_has_just_started_is_limited() {
    let (now_ms, warm) = (1_700_000_000_000, Duration::ZERO);
    let starting = |started_ms, warmup, replaced| {
        slow_start::is_starting(started_ms, now_ms, warmup, replaced)
    };
    expect_that!(starting(now_ms - 800, warm, false), eq(true));
    expect_that!(starting(now_ms - 60_000, warm, false), eq(false));
    expect_that!(starting(now_ms - 60_000, warm, true), eq(false), "it was not heard of before");
    expect_that!(starting(now_ms - 60_000, 500 * MS, false), eq(true), "it is still cold");
    expect_that!(starting(now_ms + 60_000, warm, false), eq(true), "its clock is ahead");
    expect_that!(starting(0, warm, true), eq(true), "no start time is given");
    expect_that!(starting(0, warm, false), eq(false));
}

/// Guards against a slow start of all services above a leaf that sheds its calls.
#[gtest]
fn errors_of_a_service_that_calls_others_are_not_its_own() {
    expect_that!(slow_start::is_own_failure(false, true), eq(false));
    expect_that!(slow_start::is_own_failure(true, true), eq(true));
    expect_that!(slow_start::is_own_failure(false, false), eq(true));
}

fn fail(slow_start: &mut SlowStart, failure: Failure, times: u32, now: Instant) {
    (0..times).for_each(|_| slow_start.record_failure(failure, now, now));
}

#[gtest]
fn only_a_spell_of_failures_begins_a_window() {
    let now = Instant::now();
    let mut slow_start = SlowStart::default();
    // A service that sheds half of its requests, or one that is overloaded, has nothing to recover from.
    for _ in 0..1_000 {
        fail(&mut slow_start, Failure::Failed, 1, now);
        slow_start.record_success(100 * MS, 10, now);
        fail(&mut slow_start, Failure::Failed, 2, now);
    }
    expect_that!(slow_start.limit(34), none());
    fail(&mut slow_start, Failure::Failed, 45, now);
    expect_that!(slow_start.limit(34), some(eq(4)));
    expect_that!(slow_start.take_transition(), some(eq(Transition::Began(Cause::Failures))));
    let mut slow_start = SlowStart::default();
    fail(&mut slow_start, Failure::Lost, 6, now);
    expect_that!(slow_start.limit(34), none());
    fail(&mut slow_start, Failure::Lost, 1, now);
    expect_that!(slow_start.limit(34), some(eq(4)));
}

#[gtest]
fn requests_that_fail_together_reduce_the_window_once() {
    let start = Instant::now();
    let mut slow_start = SlowStart::default();
    slow_start.begin(Cause::Start, 20, start);
    (0..14).for_each(|_| slow_start.record_success(100 * MS, 20, start + 100 * MS));
    expect_that!(slow_start.limit(100), some(eq(32)));
    for _ in 0..32 {
        slow_start.record_failure(Failure::Lost, start + 110 * MS, start + 150 * MS);
    }
    expect_that!(slow_start.limit(100), some(eq(16)));
    slow_start.record_failure(Failure::Lost, start + 160 * MS, start + 170 * MS);
    expect_that!(slow_start.limit(100), some(eq(8)));
}

/// Guards against a window that opens at once as the requests end that the former incarnation ran.
#[gtest]
fn responses_to_requests_from_before_the_start_do_not_count() {
    let start = Instant::now();
    let mut slow_start = SlowStart::default();
    slow_start.begin(Cause::Start, 20, start);
    (0..30).for_each(|_| slow_start.record_success(100 * MS, 20, start + 99 * MS));
    expect_that!(slow_start.limit(34), some(eq(4)));
    (0..14).for_each(|_| slow_start.record_success(100 * MS, 20, start + 100 * MS));
    slow_start.record_failure(Failure::Lost, start - MS, start + 100 * MS);
    expect_that!(slow_start.limit(34), some(eq(32)));
}

/// Guards against a window that never opens, as the first responses were shorter than usual.
#[gtest]
fn a_window_opens_after_some_time_in_any_case() {
    let start = Instant::now();
    let mut slow_start = SlowStart::default();
    slow_start.begin(Cause::Start, 20, start);
    (0..4).for_each(|_| slow_start.record_success(MS, 4, start + MS));
    (0..200).for_each(|_| slow_start.record_success(500 * MS, 4, start + 500 * MS));
    slow_start.update(100, start + 9_000 * MS);
    expect_that!(slow_start.limit(100), some(lt(40)));
    slow_start.update(100, start + 10_000 * MS);
    expect_that!(slow_start.limit(100), none());
}

#[gtest]
fn a_request_that_waits_for_the_window_is_refused_only_if_it_can_go_elsewhere() {
    let now = Instant::now();
    let mut queue: Queue<u32> = Queue::new();
    queue.set_slots(40);
    queue.record_answer(Answer { announced: Announced::Unlimited, sent_at: now, ran: true }, now);
    queue.begin_slow_start(Cause::Start, now);
    let hasty = SlotRequest {
        priority: 0,
        target_time: now + 500 * MS,
        deadline: now + 1_000 * MS,
        max_wait: MS,
    };
    for _ in 0..7 {
        expect_that!(queue.acquire(hasty, now, || 0), eq(Decision::Run));
    }
    let refused = queue.acquire(hasty, now, || 0);
    expect_that!(refused, matches_pattern!(Decision::Refuse { .. }));
    let patient = SlotRequest { max_wait: 50 * MS, ..hasty };
    for _ in 0..100 {
        let waits = queue.acquire(patient, now, || 0);
        expect_that!(waits, matches_pattern!(Decision::Wait(_)));
    }
    expect_that!(queue.load(now).open_slots(), eq(7));
    let expiring = SlotRequest { deadline: now + 100 * MS, ..patient };
    let refused = queue.acquire(expiring, now, || 0);
    expect_that!(refused, matches_pattern!(Decision::Refuse { .. }), "its deadline passes first");
}

/// Guards against an admission plan that refuses root requests while the windows are small, and against entries that
/// don't see them.
#[gtest]
fn entries_see_the_open_slots_and_admission_all_of_them() {
    let load = Load { limit: 34, window: Some(4), held_us: 100_000, ..Load::default() };
    expect_that!(load.usable_slots(), eq(34.0));
    let report = LoadReport { load, guard_time: MS }.to_string();
    expect_that!(report, eq("0/0/4/100000/1000"));
}
