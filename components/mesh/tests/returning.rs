//! Callers that were refused and come back, at an entry that admits a part of a route.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::demand::Demand;
use mesh::decide::members::Rates;
use mesh::decide::queue::Load;
use mesh::decide::returning::Returning;
use mesh::process::traffic::Traffic;

const NODES: usize = 20;
/// Requests per second of the route in quiet times, which take most of the slots.
const RATE: f64 = 400.0;
const SLOT_SECS: f64 = 0.16;
const SLOTS: f64 = 74.0;
const SURGE: f64 = 1.7;
const SURGE_MS: std::ops::Range<u64> = 20_000..25_000;
const END_MS: u64 = 30_000;
const TIMEOUT: Duration = Duration::from_millis(3_000);
const PLAN_MS: u64 = 500;

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }
}

/// Requests that a node may admit ahead of its share.
const DEBT: f64 = 2.0;

/// Requests admitted during the surge, and callers that were refused once and twice.
#[derive(Debug, Default)]
struct Counts {
    admitted: u32,
    /// The plan's shares of the same requests.
    planned: f64,
    refused: [u32; 2],
}

struct Entries {
    nodes: Vec<Traffic>,
    route: Arc<str>,
    start: Instant,
    /// For arrivals, which are the same whoever is refused, and for the nodes that they come to.
    random: [Random; 2],
}

impl Entries {
    fn plan(&mut self, ms: u64) {
        let now = self.start + Duration::from_millis(ms);
        let (mut offered, mut admitted) = (0.0, 0.0);
        for node in &self.nodes {
            let measured = node.measurements(Load::default(), now);
            offered += measured.arrivals.get(&self.route).copied().unwrap_or_default();
            admitted += measured.admitted.get(&self.route).copied().unwrap_or_default();
        }
        let mut demand = Demand::default();
        for service in ["front", "stock"] {
            let arrivals = Rates::from([(self.route.clone(), offered / 2.0)]);
            demand.arrivals.insert(service.into(), arrivals);
        }
        let used = (admitted * SLOT_SECS).min(SLOTS);
        demand.used.insert("stock".into(), Rates::from([(self.route.clone(), used)]));
        demand.admitted.insert(self.route.clone(), admitted);
        demand.slots.insert("stock".into(), SLOTS);
        demand.backlog.insert("stock".into(), (admitted * SLOT_SECS - SLOTS).max(0.0));
        let priorities = BTreeMap::from([(self.route.clone(), 2)]);
        self.nodes.iter_mut().for_each(|node| node.plan(&demand, &priorities, now));
    }

    /// A surge whose refused callers come back once, after a third of their time; `recognised` is whether their time left
    /// tells them from others.
    fn play(mut self, recognised: bool) -> Counts {
        let mut counts = Counts::default();
        let mut returning = BinaryHeap::new();
        for ms in 0..END_MS {
            let now = self.start + Duration::from_millis(ms);
            if ms % PLAN_MS == 0 {
                self.plan(ms);
            }
            let rate = RATE * if SURGE_MS.contains(&ms) { SURGE } else { 1.0 };
            let mut arrivals = vec![false; usize::from(self.random[0].next() < rate / 1_000.0)];
            while returning.peek().is_some_and(|Reverse(at)| *at <= ms) {
                returning.pop();
                arrivals.push(true);
            }
            for again in arrivals {
                let node = (self.random[1].next() * NODES as f64) as usize;
                let left = if again && recognised { TIMEOUT * 2 / 3 } else { TIMEOUT };
                let node = &mut self.nodes[node];
                node.record_arrival(&self.route, now);
                if SURGE_MS.contains(&ms) {
                    counts.planned += node.admission.share(&self.route);
                }
                if node.try_admit(&self.route, None, left, now) {
                    counts.admitted += u32::from(SURGE_MS.contains(&ms));
                    continue;
                }
                counts.refused[usize::from(again)] += 1;
                if !again {
                    returning.push(Reverse(ms + 1_000 * TIMEOUT.as_secs() / 3));
                }
            }
        }
        counts
    }
}

fn entries(seed: u64) -> Entries {
    let nodes = (0..NODES).map(|_| Traffic::new()).collect();
    Entries {
        nodes,
        route: "list".into(),
        start: Instant::now(),
        random: [Random(seed), Random(99)],
    }
}

/// Guards against callers that are refused, come back as told, and are refused again for those that have just arrived.
#[gtest]
fn returning_callers_go_before_fresh_ones() {
    for seed in 1..=3 {
        let (before, after) = (entries(seed).play(false), entries(seed).play(true));
        println!("not recognised {before:?}, recognised {after:?}");
        expect_that!(before.refused[1], ge(50), "the surge is one");
        // With all of a second's callers coming back in the next one, returning callers alone are more than the slots.
        expect_that!(after.refused[1], le(before.refused[1] * 2 / 3));
        // What the plan says, what nodes may admit ahead of it, and the credit that each starts with.
        let ahead = (DEBT + 1.0) * NODES as f64;
        expect_that!(f64::from(after.admitted), le(after.planned + ahead));
    }
}

fn observe(returning: &mut Returning, millis: u64, in_full: bool, now: Instant) -> bool {
    returning.observe(&"list".into(), Duration::from_millis(millis), in_full, now)
}

/// Guards against a route whose callers have different timeouts: those with short ones would all go first.
#[gtest]
fn nobody_counts_as_returning_where_fresh_requests_differ() {
    let (start, mut returning) = (Instant::now(), Returning::default());
    for round in 0..400 {
        let now = start + Duration::from_millis(50) * round;
        observe(&mut returning, if round % 3 == 0 { 900 } else { 3_000 }, true, now);
    }
    let now = start + Duration::from_secs(21);
    expect_that!(observe(&mut returning, 900, false, now), eq(false));
}

/// Guards against one caller with a huge timeout that makes all others seem to come back, and against keeping it forever.
#[gtest]
fn a_huge_timeout_misleads_neither_at_once_nor_for_long() {
    let (start, mut returning) = (Instant::now(), Returning::default());
    observe(&mut returning, u64::MAX, true, start);
    for round in 0..4_000 {
        let now = start + Duration::from_millis(50) * round;
        observe(&mut returning, 3_000, true, now);
    }
    let now = start + Duration::from_secs(200);
    expect_that!(observe(&mut returning, 3_000, false, now), eq(false));
    expect_that!(observe(&mut returning, 2_000, false, now), eq(true));
}

/// Guards against many routes, as of a configuration that is changed over and over.
#[gtest]
fn unknown_routes_are_fresh_and_bounded() {
    let (now, mut returning) = (Instant::now(), Returning::default());
    for number in 0..10_000 {
        let route = format!("route-{number}").into();
        expect_that!(returning.observe(&route, Duration::ZERO, false, now), eq(false));
    }
}
