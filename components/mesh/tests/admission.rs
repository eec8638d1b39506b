//! Which root requests are let in, on a system of which the service at the bottom has too little room.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::admission::Admission;
use mesh::decide::demand::Demand;
use mesh::decide::members::Rates;

/// Routes of the model with rank, slot seconds at `stock` and slot seconds at their own service.
const ROUTES: [(&str, u8, f64, f64); 4] = [
    ("order", 0, 0.32, 0.4),
    ("delivery", 0, 0.0, 0.1),
    ("check", 1, 0.064, 0.0),
    ("list", 2, 0.16, 0.3),
];
const STOCK: f64 = 44.0;
const FRONT: f64 = 180.0;
/// Time between two plans.
const ROUND: Duration = Duration::from_millis(500);

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn ranks() -> BTreeMap<Arc<str>, u8> {
    ROUTES.iter().map(|(route, rank, ..)| (name(route), *rank)).collect()
}

/// What nodes would measure if `rates` came and `admitted` were let in, with `stock` full at most.
fn demand(rates: &[f64; 4], shares: &[f64; 4]) -> Demand {
    let mut demand = Demand::default();
    let services = ["front", "stock"];
    for service in services {
        let came = ROUTES.iter().zip(rates).map(|((route, ..), rate)| (name(route), rate / 2.0));
        demand.came.insert(name(service), came.collect());
    }
    demand.slots = Rates::from([(name("front"), FRONT), (name("stock"), STOCK)]);
    let wanted: f64 = (0..4).map(|index| rates[index] * shares[index] * ROUTES[index].2).sum();
    let fits = (STOCK / wanted).min(1.0);
    for (index, (route, _, stock, front)) in ROUTES.iter().enumerate() {
        let rate = rates[index] * shares[index];
        demand.admitted.insert(name(route), rate);
        let used = demand.used.entry(name("stock")).or_default();
        used.insert(name(route), rate * stock * fits);
        demand.used.entry(name("front")).or_default().insert(name(route), rate * front);
    }
    demand.backlog.insert(name("stock"), (wanted - STOCK).max(0.0));
    demand
}

/// Shares after the loop of measuring and planning has settled.
fn settled(rates: &[f64; 4]) -> [f64; 4] {
    let mut admission = Admission::default();
    let mut shares = [1.0; 4];
    let start = Instant::now();
    for round in 0..40 {
        admission.plan(&demand(rates, &shares), &ranks(), start + round * ROUND);
        shares = ROUTES.map(|(route, ..)| admission.share(&name(route)));
    }
    shares
}

#[gtest]
fn what_fits_is_let_in_whole() {
    expect_that!(settled(&[32.0, 28.0, 17.0, 87.0]), eq([1.0; 4]));
}

/// The load that this answers: 1.8 times the usual surge, for which `stock` has too little room.
#[gtest]
fn in_a_surge_the_least_urgent_route_gives_way() {
    let [order, delivery, check, list] = settled(&[79.0, 68.0, 43.0, 216.0]);
    expect_that!(order, ge(0.99));
    expect_that!(delivery, ge(0.99), "it needs nothing of the service that is short");
    expect_that!(check, ge(0.99));
    expect_that!(list, all!(ge(0.3), le(0.6)));
    let used = 79.0 * order * 0.32 + 43.0 * check * 0.064 + 216.0 * list * 0.16;
    expect_that!(used, all!(ge(0.85 * STOCK), le(STOCK)), "the room is used and not overrun");
}

#[gtest]
fn no_route_is_starved_when_the_urgent_ones_fill_everything() {
    let [order, _, check, list] = settled(&[400.0, 68.0, 43.0, 216.0]);
    expect_that!(list, ge(0.05));
    expect_that!(check, ge(list));
    expect_that!(order, ge(0.05));
}

/// The load that this answers: a surge begins while measurements are old; slots look taken that no root let in needs.
#[gtest]
fn a_service_with_room_is_no_reason_to_refuse() {
    let mut admission = Admission::default();
    let start = Instant::now();
    let mut early = demand(&[32.0, 28.0, 17.0, 87.0], &[1.0; 4]);
    for rate in early.admitted.values_mut() {
        // The nodes at the entry were heard of before the surge, those at the service after it.
        *rate *= 0.2;
    }
    admission.plan(&early, &ranks(), start);
    let shares = ROUTES.map(|(route, ..)| admission.share(&name(route)));
    expect_that!(shares, each(ge(0.99)));
}

#[gtest]
fn shares_are_kept_exactly() {
    let mut admission = Admission::default();
    let start = Instant::now();
    for round in 0..40 {
        let shares = ROUTES.map(|(route, ..)| admission.share(&name(route)));
        admission.plan(
            &demand(&[79.0, 68.0, 43.0, 216.0], &shares),
            &ranks(),
            start + round * ROUND,
        );
    }
    let share = admission.share(&name("list"));
    let admitted = (0..1_000).filter(|_| admission.admits(&name("list"))).count() as f64;
    expect_that!(admitted / 1_000.0, near(share, 0.01));
}

#[gtest]
fn an_unknown_route_is_let_in() {
    let mut admission = Admission::default();
    expect_that!(admission.admits(&name("new")), eq(true));
}

/// Callers use all nodes alike; calls only come to nodes whose upstream makes them.
#[gtest]
fn routes_that_only_upstreams_call_are_told_from_those_of_callers() {
    let mut demand = demand(&[32.0, 28.0, 17.0, 87.0], &[1.0; 4]);
    demand.came.entry(name("front")).or_default().insert(name("lookup"), 60.0);
    let mut admission = Admission::default();
    admission.plan(&demand, &ranks(), Instant::now());
    expect_that!(admission.is_called(&name("lookup")), eq(true));
    expect_that!(admission.is_called(&name("list")), eq(false));
    demand.came.entry(name("stock")).or_default().insert(name("lookup"), 60.0);
    admission.plan(&demand, &ranks(), Instant::now());
    expect_that!(admission.is_called(&name("lookup")), eq(false));
}
