//! The control loops of limit and level, driven by a small model of one upstream in simulated time.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use limits::{Config, Decision, Guard, Learned, Limit, Offer, Outcome, Priority};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{Clock, ManualClock, RootId};

const SEED: u64 = 7;
const SLOTS: u32 = 10;
const HELD: Duration = Duration::from_millis(40);
/// Requests a second that the upstream can do.
const CAPACITY: f64 = 250.0;
/// Time until an entry hears of a level.
const HEARD_AFTER: Duration = Duration::from_millis(60);

/// One entry, one guard and one upstream.
struct Model {
    clock: ManualClock,
    start: Instant,
    random: ChaCha8Rng,
    guard: Guard<u64>,
    learned: Learned,
    /// Ends of runs.
    ends: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Levels on their way to the entry.
    news: BinaryHeap<Reverse<(Instant, u16)>>,
    started: Vec<(u64, Instant)>,
    finished: u64,
    customers: (u64, u64),
    next: u64,
}

impl Model {
    fn new() -> Self {
        let clock = ManualClock::new();
        let now = clock.now();
        let config =
            Config { slots: SLOTS, queue: Duration::from_millis(50), adaptive: true, levels: true };
        Self {
            start: now,
            random: ChaCha8Rng::seed_from_u64(SEED),
            guard: Guard::new(config, now),
            learned: Learned::new(now),
            ends: BinaryHeap::new(),
            news: BinaryHeap::new(),
            started: Vec::new(),
            finished: 0,
            customers: (0, 0),
            next: 0,
            clock,
        }
    }

    /// Runs for a while with the given rates of customers and lookups; returns requests finished a second.
    fn run(&mut self, seconds: f64, customers: f64, lookups: f64) -> f64 {
        let before = self.finished;
        let end = self.clock.now() + Duration::from_secs_f64(seconds);
        let step = Duration::from_micros(500);
        while self.clock.now() < end {
            self.clock.advance(step);
            let now = self.clock.now();
            self.settle(now);
            for (rank, rate) in [(2, customers), (1, lookups)] {
                if self.random.random_bool((rate * step.as_secs_f64()).min(1.0)) {
                    self.arrive(rank, now);
                }
            }
        }
        (self.finished - before) as f64 / seconds
    }

    fn arrive(&mut self, rank: u8, now: Instant) {
        self.next += 1;
        let priority = Priority::new(rank, RootId(self.random.random()));
        self.customers.0 += u64::from(rank == 2);
        if !self.learned.admits(priority, now) {
            return;
        }
        let key = self.next * 4 + u64::from(rank);
        let offer = Offer { key, priority, deadline: now + Duration::from_secs(1), root: true };
        let mut out = Vec::new();
        if self.guard.offer(offer, now, &mut out) == Decision::Run {
            self.start_run(key, now);
        }
        self.take(out, now);
        self.tell(now);
    }

    fn start_run(&mut self, key: u64, now: Instant) {
        let spread = 0.5 - 0.5 * (1.0 - self.random.random::<f64>()).ln();
        self.ends.push(Reverse((now + HELD.mul_f64(spread), key)));
        self.started.push((key, now));
    }

    fn settle(&mut self, now: Instant) {
        while let Some(Reverse((_, key))) =
            self.ends.peek().filter(|Reverse((at, _))| *at <= now).copied()
        {
            self.ends.pop();
            let index = self.started.iter().position(|(started, _)| *started == key).unwrap();
            let (_, since) = self.started.swap_remove(index);
            let mut out = Vec::new();
            self.guard.finish(now - since, now - since, now, &mut out);
            self.finished += 1;
            self.customers.1 += u64::from(key % 4 == 2);
            self.take(out, now);
            self.tell(now);
        }
        let mut out = Vec::new();
        self.guard.tick(now, &mut out);
        self.take(out, now);
        while let Some(Reverse((_, level))) =
            self.news.peek().filter(|Reverse((at, _))| *at <= now).copied()
        {
            self.news.pop();
            self.learned.learn(Priority(level), now);
        }
    }

    fn take(&mut self, out: Vec<Outcome<u64>>, now: Instant) {
        for outcome in out {
            if let Outcome::Run(key) = outcome {
                self.start_run(key, now);
            }
        }
    }

    fn tell(&mut self, now: Instant) {
        self.news.push(Reverse((now + HEARD_AFTER, self.guard.level().0)));
    }
}

#[gtest]
fn goodput_stays_at_capacity_whatever_the_demand() {
    for times in [2.0, 5.0, 20.0] {
        let mut model = Model::new();
        model.run(4.0, CAPACITY * 0.5, 0.0);
        model.run(1.0, CAPACITY * times, 0.0);
        let goodput = model.run(10.0, CAPACITY * times, 0.0);
        expect_that!(goodput, ge(CAPACITY * 0.95), "at {times} times");
    }
}

#[gtest]
fn nothing_holds_goodput_down_after_a_surge() {
    let mut model = Model::new();
    model.run(4.0, CAPACITY * 0.5, 0.0);
    model.run(8.0, CAPACITY * 5.0, 0.0);
    model.run(2.0, CAPACITY * 0.5, 0.0);
    expect_that!(model.guard.level(), eq(Priority(0)), "at {:?}", model.clock.now() - model.start);
    expect_that!(model.learned.get(model.clock.now()), lt(Priority(100)));
    expect_that!(model.run(5.0, CAPACITY * 0.5, 0.0), ge(CAPACITY * 0.5 * 0.92));
}

#[gtest]
fn customers_that_fit_are_served_whatever_the_lookups() {
    let mut model = Model::new();
    model.run(4.0, CAPACITY * 0.7, 0.0);
    model.customers = (0, 0);
    model.run(15.0, CAPACITY * 0.7, CAPACITY * 5.0);
    // What has arrived is answered.
    model.run(0.5, 0.0, 0.0);
    let (arrived, served) = model.customers;
    expect_that!(served as f64, ge(arrived as f64 * 0.99));
}

/// Feeds a limit with a closed loop: `limit` requests at once, of which the upstream runs `slots` side by side.
fn closed_loop(
    limit: &mut Limit,
    clock: &ManualClock,
    slots: u32,
    held: Duration,
    seconds: u64,
) -> Vec<u32> {
    let mut seen = Vec::new();
    let end = clock.now() + Duration::from_secs(seconds);
    while clock.now() < end {
        let now = clock.now();
        let running = limit.get(now);
        let side_by_side = running.min(slots);
        // What doesn't run waits inside the upstream, so each takes longer.
        let own = held.mul_f64(f64::from(running) / f64::from(side_by_side));
        clock.advance(held / side_by_side);
        limit.sample(own, true, clock.now());
        seen.push(limit.get(clock.now()));
    }
    seen
}

#[gtest]
fn a_limit_comes_down_to_the_slots_that_are_really_there() {
    let clock = ManualClock::new();
    let mut limit = Limit::new(40, clock.now());
    let seen = closed_loop(&mut limit, &clock, 10, HELD, 120);
    let late = &seen[seen.len() * 3 / 4..];
    let mean = late.iter().sum::<u32>() as f64 / late.len() as f64;
    expect_that!(mean, le(20.0));
    expect_that!(mean, ge(9.0));
}

#[gtest]
fn an_upstream_that_is_slow_for_another_reason_keeps_its_limit() {
    let clock = ManualClock::new();
    let mut limit = Limit::new(SLOTS, clock.now());
    closed_loop(&mut limit, &clock, SLOTS, HELD, 20);
    let seen = closed_loop(&mut limit, &clock, SLOTS, HELD * 10, 120);
    let kept = seen.iter().filter(|limit| **limit >= SLOTS - 2).count();
    expect_that!(kept as f64, ge(seen.len() as f64 * 0.9));
}

#[gtest]
fn a_lying_load_report_never_raises_the_limit_and_lowers_it_for_a_while_only() {
    let clock = ManualClock::new();
    let mut limit = Limit::new(8, clock.now());
    closed_loop(&mut limit, &clock, 8, HELD, 20);
    let before = limit.get(clock.now());
    limit.hint(1_000, 1, clock.now());
    expect_that!(limit.get(clock.now()), eq(before));
    limit.hint(0, 0, clock.now());
    expect_that!(limit.get(clock.now()), eq(before));
    limit.hint(2, 1, clock.now());
    expect_that!(limit.get(clock.now()), eq(2));
    clock.advance(Duration::from_secs(3));
    expect_that!(limit.get(clock.now()), eq(before));
}

#[gtest]
fn a_cold_upstream_is_given_work_step_by_step() {
    let clock = ManualClock::new();
    let mut limit = Limit::new(40, clock.now());
    expect_that!(limit.get(clock.now()), eq(10));
    let seen = closed_loop(&mut limit, &clock, 40, HELD, 6);
    expect_that!(seen.iter().max(), some(eq(&40)));
    let steps = seen.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).max();
    expect_that!(steps, some(le(13)));
}
