//! Retries of all nodes together, against the bounds of a deployment.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::budget::Rank;
use mesh::decide::budgets::{Budgets, RetryBounds};
use mesh::decide::retry_window::RetryWindow;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, window: Duration::from_secs(10), slack: 102.0 };
const WINDOW_MS: usize = 10_000;
const NODES: usize = 79;
const ZONES: usize = 4;
/// Root requests per second at all nodes.
const ROOTS_PER_SEC: f64 = 300.0;
const DURATION_MS: usize = 60_000;
/// When the leaf sheds calls.
const SHEDDING: std::ops::Range<usize> = 25_000..33_500;
const SHED_SHARE: f64 = 0.55;
/// Services on the way to the leaf, each of which calls the next one.
const SERVICES: [&str; 3] = ["front", "middle", "inner"];

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn below(&mut self, end: usize) -> usize {
        (self.next() * end as f64) as usize
    }
}

/// First attempts and repeats in each millisecond.
#[derive(Default, Clone)]
struct Counts {
    firsts: Vec<u64>,
    repeats: Vec<u64>,
}

impl Counts {
    fn new() -> Self {
        Self { firsts: vec![0; DURATION_MS], repeats: vec![0; DURATION_MS] }
    }

    /// Repeats by which any window exceeds the ratio of its base, and the window's start.
    fn worst_excess(&self) -> (f64, usize) {
        let sums = |counts: &[u64]| {
            let mut sums = vec![0];
            for count in counts {
                sums.push(sums[sums.len() - 1] + count);
            }
            sums
        };
        let (firsts, repeats) = (sums(&self.firsts), sums(&self.repeats));
        let between = |sums: &[u64], from: isize| {
            let at = |ms: isize| sums[ms.clamp(0, DURATION_MS as isize) as usize];
            at(from + WINDOW_MS as isize) - at(from)
        };
        let excess = (0..DURATION_MS).map(|start| {
            let from = start as isize;
            let earlier = [0, WINDOW_MS as isize / 2, WINDOW_MS as isize];
            let base = earlier.map(|ms| between(&firsts, from - ms)).into_iter().max();
            let allowed = BOUNDS.ratio * base.unwrap_or_default() as f64;
            (between(&repeats, from) as f64 - allowed, start)
        });
        excess.max_by(|one, two| one.0.total_cmp(&two.0)).unwrap_or_default()
    }
}

/// Nodes whose requests call each other; counts by service.
struct Fleet {
    nodes: Vec<Budgets>,
    counts: BTreeMap<&'static str, Counts>,
    random: Random,
    start: Instant,
    ms: usize,
    /// Share of the runs at the services on the way that fail.
    failed_share: f64,
}

impl Fleet {
    fn new(seed: u64, failed_share: f64) -> Self {
        let services = SERVICES.iter().chain(&["leaf"]);
        Self {
            nodes: (0..NODES).map(|_| started()).collect(),
            counts: services.map(|service| (*service, Counts::new())).collect(),
            random: Random(seed),
            start: Instant::now(),
            ms: 0,
            failed_share,
        }
    }

    /// A call from a node to a service on the way, or to the leaf; false if it fails for good.
    fn call(&mut self, node: usize, depth: usize, calls: usize, mut repeat: bool) -> bool {
        let service = SERVICES.get(depth).copied().unwrap_or("leaf");
        let now = self.start + Duration::from_millis(self.ms as u64);
        let name = service.into();
        let rank = Rank::new(0, self.random.below(65_535) as u16);
        self.nodes[node].record_send(&name, depth < SERVICES.len(), rank, now);
        loop {
            let counts = self.counts.get_mut(service).expect("known");
            let counted = if repeat { &mut counts.repeats } else { &mut counts.firsts };
            counted[self.ms] += 1;
            if self.run(depth, calls, repeat) {
                return true;
            }
            if !self.nodes[node].try_retry(&name, rank, now) {
                return false;
            }
            repeat = true;
        }
    }

    /// A run at some node of the service.
    fn run(&mut self, depth: usize, calls: usize, repeat: bool) -> bool {
        if depth == SERVICES.len() {
            return !SHEDDING.contains(&self.ms) || self.random.next() >= SHED_SHARE;
        }
        let node = self.random.below(NODES);
        let last = depth + 1 == SERVICES.len();
        let finished =
            (0..if last { calls } else { 1 }).all(|_| self.call(node, depth + 1, calls, repeat));
        finished && self.random.next() >= self.failed_share
    }

    /// Runs the whole time; `hot` is the share of the roots that come to one zone, which changes every five seconds, and
    /// `restarts` the time between two restarts of a node.
    fn play(&mut self, hot: f64, restarts: Option<usize>) {
        while self.ms < DURATION_MS {
            if restarts.is_some_and(|interval| self.ms % interval == interval - 1) {
                let node = self.random.below(NODES);
                self.nodes[node] = started();
            }
            if self.random.next() < ROOTS_PER_SEC / 1_000.0 {
                let zone = self.ms / 5_000 % ZONES;
                let mut node = self.random.below(NODES);
                if self.random.next() < hot {
                    node = (node / ZONES * ZONES + zone).min(NODES - 1);
                }
                let calls = if self.random.next() < 1.0 / 3.0 { 8 } else { 4 };
                self.call(node, 0, calls, false);
            }
            self.ms += 1;
        }
    }

    fn excesses(&self) -> Vec<(&'static str, f64, usize)> {
        let excess = |(service, counts): (&&'static str, &Counts)| {
            let (excess, start) = counts.worst_excess();
            (*service, excess, start)
        };
        self.counts.iter().map(excess).collect()
    }
}

/// Budgets of a node that knows all others.
fn started() -> Budgets {
    let mut budgets = Budgets::new(Some(BOUNDS));
    budgets.set_nodes(NODES);
    budgets
}

fn expect_within_bounds(fleet: &Fleet) {
    for (service, excess, start) in fleet.excesses() {
        println!("{service}: {excess:.1} over the ratio in the window from {start} ms");
        expect_that!(excess, le(BOUNDS.slack), "{service}, window from {start} ms");
    }
}

/// Guards against nodes that each keep their share and together exceed the rule while a leaf sheds half of its calls.
#[gtest]
fn the_rule_holds_over_all_nodes_while_a_leaf_sheds_calls() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed, 0.0);
        fleet.play(0.0, None);
        expect_within_bounds(&fleet);
    }
}

/// Guards against repeated runs whose calls are repeats at the leaf as well.
#[gtest]
fn the_rule_holds_with_the_calls_of_repeated_runs() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed, 0.3);
        fleet.play(0.0, None);
        expect_within_bounds(&fleet);
    }
}

/// Guards against nodes that count on an earlier load which others have taken over.
#[gtest]
fn the_rule_holds_while_load_moves_between_zones_and_nodes_restart() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed, 0.3);
        fleet.play(0.5, Some(300));
        expect_within_bounds(&fleet);
    }
}

/// Guards against start allowances that together exceed the slack: all nodes start at once while everything fails.
#[gtest]
fn starting_nodes_together_stay_within_the_slack() {
    let now = Instant::now();
    let mut retries = 0;
    for _ in 0..2 * NODES {
        let mut budgets = started();
        budgets.record_send(&"leaf".into(), false, Rank::new(0, 0), now);
        while budgets.try_retry(&"leaf".into(), Rank::new(0, 0), now) {
            retries += 1;
        }
    }
    // Each node has been restarted once.
    expect_that!(f64::from(retries), le(BOUNDS.slack + BOUNDS.ratio * 2.0 * NODES as f64));
}

/// Guards against retries that are saved from a load of long ago: each window is compared with its own base.
#[gtest]
fn a_window_allows_no_more_than_the_load_of_itself_or_the_one_before() {
    let (window, step) = (Duration::from_secs(10), Duration::from_millis(7));
    let mut random = Random(11);
    for load in [[400, 20, 20, 400], [20, 400, 20, 0], [100, 100, 5, 5]] {
        let start = Instant::now();
        let mut counts = RetryWindow::new(window, start);
        let (mut firsts, mut retries) = (Vec::new(), Vec::new());
        for round in 0..6_000 {
            let now = start + round * step;
            let rate = load[(round / 1_500) as usize];
            if random.next() < f64::from(rate) * step.as_secs_f64() {
                counts.record_first(now);
                firsts.push(now);
            }
            // Bursts at times that depend on nothing.
            if round % 700 > 650 && counts.left(0.1, now) >= 1.0 {
                counts.record_retry(now);
                retries.push(now);
            }
        }
        expect_that!(retries.len(), ge(10));
        for from in retries.iter().copied() {
            let within = |times: &[Instant], from: Instant| {
                times.iter().filter(|at| **at >= from && **at < from + window).count()
            };
            let before = firsts.iter().filter(|at| **at < from && **at + window >= from).count();
            let base = within(&firsts, from).max(before);
            expect_that!(within(&retries, from) as f64, le(0.1 * base as f64));
        }
    }
}

/// Guards against a window that leaves nothing to requests of lower priority at nodes that send few: an upstream that
/// restarts now and then fails one of them.
#[gtest]
fn a_node_that_sends_few_requests_can_retry_one_of_low_priority() {
    let (start, mut budgets) = (Instant::now(), started());
    let (service, rank) = ("front".into(), Rank::new(2, 7));
    let mut granted = 0;
    for round in 0..240 {
        let now = start + Duration::from_millis(500) * round;
        budgets.record_send(&service, true, rank, now);
        // One failure in 20 s.
        if round % 40 == 39 {
            granted += u32::from(budgets.try_retry(&service, rank, now));
        }
    }
    println!("{granted} of 6 retried");
    expect_that!(granted, ge(5));
}
