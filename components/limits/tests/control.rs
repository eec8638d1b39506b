//! The control loops of concurrency limit and admission level, run against a model of one upstream in simulated time.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use limits::{
    AdmissionController, AdmissionRequest, ConcurrencyLimit, Config, Decision, LearnedLevel,
    Outcome, Priority,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{Clock, ManualClock, RootId};

const SEED: u64 = 7;
const SLOTS: u32 = 10;
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Requests per second that the upstream can serve.
const CAPACITY_PER_SEC: f64 = 250.0;
/// Delay until the entry node learns of a level.
const LEVEL_DELAY: Duration = Duration::from_millis(60);

/// One entry node, one admission controller and one upstream.
struct Model {
    clock: ManualClock,
    start: Instant,
    random: ChaCha8Rng,
    controller: AdmissionController<u64>,
    learned: LearnedLevel,
    /// Completion time and key of running requests.
    completions: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Levels in transit to the entry node, by arrival time.
    sent_levels: BinaryHeap<Reverse<(Instant, u16)>>,
    started: Vec<(u64, Instant)>,
    finished: u64,
    /// Customer requests that arrived and that were served.
    customers: (u64, u64),
    last_key: u64,
}

impl Model {
    fn new() -> Self {
        let clock = ManualClock::new();
        let now = clock.now();
        let config = Config {
            slots: SLOTS,
            max_wait: Duration::from_millis(50),
            adaptive: true,
            use_level: true,
        };
        Self {
            start: now,
            random: ChaCha8Rng::seed_from_u64(SEED),
            controller: AdmissionController::new(config, now),
            learned: LearnedLevel::new(now),
            completions: BinaryHeap::new(),
            sent_levels: BinaryHeap::new(),
            started: Vec::new(),
            finished: 0,
            customers: (0, 0),
            last_key: 0,
            clock,
        }
    }

    /// Simulates customer and lookup requests at the given rates; returns the requests finished per second.
    fn run(&mut self, seconds: f64, customers: f64, lookups: f64) -> f64 {
        let before = self.finished;
        let end = self.clock.now() + Duration::from_secs_f64(seconds);
        let step = Duration::from_micros(500);
        while self.clock.now() < end {
            self.clock.advance(step);
            let now = self.clock.now();
            self.process_due(now);
            for (rank, rate) in [(2, customers), (1, lookups)] {
                if self.random.random_bool((rate * step.as_secs_f64()).min(1.0)) {
                    self.arrive(rank, now);
                }
            }
        }
        (self.finished - before) as f64 / seconds
    }

    fn arrive(&mut self, rank: u8, now: Instant) {
        self.last_key += 1;
        let priority = Priority::new(rank, RootId(self.random.random()));
        self.customers.0 += u64::from(rank == 2);
        if !self.learned.admits(priority, now) {
            return;
        }
        // `key % 4` is the rank.
        let key = self.last_key * 4 + u64::from(rank);
        let request = AdmissionRequest {
            key,
            priority,
            deadline: now + Duration::from_secs(1),
            is_root: true,
        };
        let mut out = Vec::new();
        if self.controller.admit(request, now, &mut out) == Decision::Run {
            self.start_run(key, now);
        }
        self.start_admitted(out, now);
        self.send_level(now);
    }

    fn start_run(&mut self, key: u64, now: Instant) {
        let spread = 0.5 - 0.5 * (1.0 - self.random.random::<f64>()).ln();
        self.completions.push(Reverse((now + SERVICE_TIME.mul_f64(spread), key)));
        self.started.push((key, now));
    }

    fn process_due(&mut self, now: Instant) {
        while let Some(Reverse((_, key))) =
            self.completions.peek().filter(|Reverse((at, _))| *at <= now).copied()
        {
            self.completions.pop();
            let index = self.started.iter().position(|(started, _)| *started == key).unwrap();
            let (_, since) = self.started.swap_remove(index);
            let mut out = Vec::new();
            self.controller.finish(now - since, now - since, now, &mut out);
            self.finished += 1;
            self.customers.1 += u64::from(key % 4 == 2);
            self.start_admitted(out, now);
            self.send_level(now);
        }
        let mut out = Vec::new();
        self.controller.tick(now, &mut out);
        self.start_admitted(out, now);
        while let Some(Reverse((_, level))) =
            self.sent_levels.peek().filter(|Reverse((at, _))| *at <= now).copied()
        {
            self.sent_levels.pop();
            self.learned.update(Priority(level), now);
        }
    }

    fn start_admitted(&mut self, out: Vec<Outcome<u64>>, now: Instant) {
        for outcome in out {
            if let Outcome::Run(key) = outcome {
                self.start_run(key, now);
            }
        }
    }

    fn send_level(&mut self, now: Instant) {
        self.sent_levels.push(Reverse((now + LEVEL_DELAY, self.controller.level().0)));
    }
}

#[gtest]
fn goodput_stays_at_capacity_under_any_overload() {
    for times in [2.0, 5.0, 20.0] {
        let mut model = Model::new();
        model.run(4.0, CAPACITY_PER_SEC * 0.5, 0.0);
        model.run(1.0, CAPACITY_PER_SEC * times, 0.0);
        let goodput = model.run(10.0, CAPACITY_PER_SEC * times, 0.0);
        expect_that!(goodput, ge(CAPACITY_PER_SEC * 0.95), "at {times} times");
    }
}

#[gtest]
fn goodput_recovers_after_a_surge() {
    let mut model = Model::new();
    model.run(4.0, CAPACITY_PER_SEC * 0.5, 0.0);
    model.run(8.0, CAPACITY_PER_SEC * 5.0, 0.0);
    model.run(2.0, CAPACITY_PER_SEC * 0.5, 0.0);
    expect_that!(
        model.controller.level(),
        eq(Priority(0)),
        "at {:?}",
        model.clock.now() - model.start
    );
    expect_that!(model.learned.get(model.clock.now()), lt(Priority(100)));
    expect_that!(model.run(5.0, CAPACITY_PER_SEC * 0.5, 0.0), ge(CAPACITY_PER_SEC * 0.5 * 0.92));
}

#[gtest]
fn customer_requests_within_capacity_are_served_under_any_lookup_load() {
    let mut model = Model::new();
    model.run(4.0, CAPACITY_PER_SEC * 0.7, 0.0);
    model.customers = (0, 0);
    model.run(15.0, CAPACITY_PER_SEC * 0.7, CAPACITY_PER_SEC * 5.0);
    // Let the requests in flight finish.
    model.run(0.5, 0.0, 0.0);
    let (arrived, served) = model.customers;
    expect_that!(served as f64, ge(arrived as f64 * 0.99));
}

/// Drives a limit in a closed loop: as many requests as it allows, of which the upstream runs `slots` in parallel.
/// Returns the limit after each request.
fn closed_loop(
    limit: &mut ConcurrencyLimit,
    clock: &ManualClock,
    slots: u32,
    service_time: Duration,
    seconds: u64,
) -> Vec<u32> {
    let mut history = Vec::new();
    let end = clock.now() + Duration::from_secs(seconds);
    while clock.now() < end {
        let now = clock.now();
        let running = limit.get(now);
        let parallel = running.min(slots);
        // Requests beyond the slots queue inside the upstream, which prolongs every request.
        let self_time = service_time.mul_f64(f64::from(running) / f64::from(parallel));
        clock.advance(service_time / parallel);
        limit.record(self_time, true, clock.now());
        history.push(limit.get(clock.now()));
    }
    history
}

#[gtest]
fn a_limit_above_the_real_slots_comes_down() {
    let clock = ManualClock::new();
    let mut limit = ConcurrencyLimit::new(40, clock.now());
    let history = closed_loop(&mut limit, &clock, 10, SERVICE_TIME, 120);
    let last_quarter = &history[history.len() * 3 / 4..];
    let mean = last_quarter.iter().sum::<u32>() as f64 / last_quarter.len() as f64;
    expect_that!(mean, le(20.0));
    expect_that!(mean, ge(9.0));
}

#[gtest]
fn an_upstream_that_is_slow_without_queueing_keeps_its_limit() {
    let clock = ManualClock::new();
    let mut limit = ConcurrencyLimit::new(SLOTS, clock.now());
    closed_loop(&mut limit, &clock, SLOTS, SERVICE_TIME, 20);
    let history = closed_loop(&mut limit, &clock, SLOTS, SERVICE_TIME * 10, 120);
    let kept = history.iter().filter(|limit| **limit >= SLOTS - 2).count();
    expect_that!(kept as f64, ge(history.len() as f64 * 0.9));
}

#[gtest]
fn a_wrong_load_report_never_raises_the_limit_and_lowers_it_only_temporarily() {
    let clock = ManualClock::new();
    let mut limit = ConcurrencyLimit::new(8, clock.now());
    closed_loop(&mut limit, &clock, 8, SERVICE_TIME, 20);
    let before = limit.get(clock.now());
    limit.report_load(1_000, 1, clock.now());
    expect_that!(limit.get(clock.now()), eq(before));
    limit.report_load(0, 0, clock.now());
    expect_that!(limit.get(clock.now()), eq(before));
    limit.report_load(2, 1, clock.now());
    expect_that!(limit.get(clock.now()), eq(2));
    clock.advance(Duration::from_secs(3));
    expect_that!(limit.get(clock.now()), eq(before));
}

#[gtest]
fn the_limit_of_a_cold_upstream_ramps_up_in_steps() {
    let clock = ManualClock::new();
    let mut limit = ConcurrencyLimit::new(40, clock.now());
    expect_that!(limit.get(clock.now()), eq(10));
    let history = closed_loop(&mut limit, &clock, 40, SERVICE_TIME, 6);
    expect_that!(history.iter().max(), some(eq(&40)));
    let steps = history.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).max();
    expect_that!(steps, some(le(13)));
}
