//! Trees that are admitted while a leaf sheds a share of its calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::members::Rates;
use mesh::decide::trees::{self, CallMeter, Calls, ServiceCalls, Trees};

const RATIO: f64 = 0.2;
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Classes, most urgent first: trees a second and calls a tree.
const CLASSES: [(&str, f64, f64); 3] =
    [("order", 150.0, 8.0), ("list", 300.0, 4.0), ("lookup", 500.0, 1.0)];

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn classes() -> Vec<(Arc<str>, f64)> {
    CLASSES.iter().map(|(class, rate, _)| (name(class), *rate)).collect()
}

/// Calls of admitted trees, of which a part is made while calls are shed.
fn calls(shares: &Rates, shed: f64) -> (Calls, Rates) {
    let (mut firsts, mut admitted) = (Rates::new(), Rates::new());
    for (class, rate, calls) in CLASSES {
        let rate = rate * shares.get(class).copied().unwrap_or(1.0);
        admitted.insert(name(class), rate);
        firsts.insert(name(class), rate * if shed > 0.0 { calls.min(2.0) } else { calls });
    }
    let attempts = firsts.values().sum::<f64>();
    let service = ServiceCalls { firsts, attempts, shed: attempts * shed };
    (Calls::from([(name("leaf"), service)]), admitted)
}

struct Model {
    trees: Trees,
    shares: Rates,
    now: Instant,
}

impl Model {
    fn start() -> Self {
        Self { trees: Trees::new(RATIO), shares: Rates::new(), now: Instant::now() }
    }

    fn play(&mut self, rounds: u32, shed: f64) {
        for _ in 0..rounds {
            let (calls, admitted) = calls(&self.shares, shed);
            self.shares = self.trees.limit(&calls, &admitted, &classes(), self.now);
            self.now += PLAN_INTERVAL;
        }
    }
}

/// Guards against trees that are started although there are no retries to complete them.
#[gtest]
fn only_trees_that_can_be_completed_are_admitted() {
    let mut model = Model::start();
    model.play(40, 0.0);
    expect_that!(model.shares.is_empty(), eq(true));
    model.play(4, 0.55);
    // 2,900 calls a second before, of which 0.108 may be retried; a call needs 1.22 retries.
    let possible = 2_900.0 * 0.108 / (8.0 * 0.55 / 0.45);
    println!("{:.3} of {possible:.3} urgent trees a second", model.shares["order"] * 150.0);
    expect_that!(model.shares["order"] * 150.0, near(possible, 0.1 * possible));
    expect_that!(model.shares["list"], le(0.05));
    expect_that!(model.shares.contains_key("lookup"), eq(false), "it may do without retries");
}

/// Guards against an estimate that holds a recovered service down.
#[gtest]
fn all_trees_are_admitted_once_the_service_sheds_no_more() {
    let mut model = Model::start();
    model.play(40, 0.0);
    model.play(17, 0.55);
    expect_that!(model.shares["list"], gt(0.0), "some calls show the recovery");
    model.play(1, 0.02);
    expect_that!(model.shares.is_empty(), eq(true));
}

/// Guards against refusals where nothing is known of the trees, and where the deployment states no bounds.
#[gtest]
fn nothing_is_refused_without_knowledge() {
    let mut model = Model::start();
    model.play(10, 0.55);
    expect_that!(model.shares.is_empty(), eq(true));
    model.trees = Trees::default();
    model.play(40, 0.0);
    model.play(10, 0.55);
    expect_that!(model.shares.is_empty(), eq(true));
}

/// Guards against a shed share that is noticed or forgotten late.
#[gtest]
fn shedding_is_seen_within_a_second_and_forgotten_within_one() {
    let (start, mut meter) = (Instant::now(), CallMeter::default());
    let shed_share = |meter: &CallMeter, now: Instant| {
        let calls = &meter.report(now)["leaf"];
        calls.shed / calls.attempts
    };
    for round in 0..600 {
        let now = start + Duration::from_millis(10) * round;
        meter.record_first(&name("leaf"), &name("order"), now);
        if (200..400).contains(&round) && round % 2 == 0 {
            meter.record_shed(&name("leaf"), false, now);
        }
        match round {
            300 => expect_that!(shed_share(&meter, now), ge(0.4)),
            500 => expect_that!(shed_share(&meter, now), le(0.1)),
            _ => {}
        }
    }
}

/// Guards against figures of other nodes that make no sense.
#[gtest]
fn implausible_figures_are_recognised() {
    let figure = |shed: f64| {
        let calls = ServiceCalls { shed, ..ServiceCalls::default() };
        Calls::from([(name("leaf"), calls)])
    };
    expect_that!(trees::is_plausible(&figure(3.0)), eq(true));
    for shed in [-1.0, f64::NAN, f64::INFINITY] {
        expect_that!(trees::is_plausible(&figure(shed)), eq(false));
    }
}
