//! Admission of root requests in a system whose innermost service is short of slots.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::admission::Admission;
use mesh::decide::demand::Demand;
use mesh::decide::members::Rates;

/// Routes of the model: name, priority, slot seconds at `stock`, and slot seconds at `front`.
const ROUTES: [(&str, u8, f64, f64); 4] = [
    ("order", 0, 0.32, 0.4),
    ("delivery", 0, 0.0, 0.1),
    ("check", 1, 0.064, 0.0),
    ("list", 2, 0.16, 0.3),
];
/// Slots of the service `stock`.
const STOCK_SLOTS: f64 = 44.0;
/// Slots of the service `front`.
const FRONT_SLOTS: f64 = 180.0;
/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn priorities() -> BTreeMap<Arc<str>, u8> {
    ROUTES.iter().map(|(route, priority, ..)| (name(route), *priority)).collect()
}

/// Measurements of nodes with `rates` arriving and `shares` of them admitted; `stock` uses no more than its slots.
fn demand(rates: &[f64; 4], shares: &[f64; 4]) -> Demand {
    let mut demand = Demand::default();
    let services = ["front", "stock"];
    for service in services {
        let arrivals =
            ROUTES.iter().zip(rates).map(|((route, ..), rate)| (name(route), rate / 2.0));
        demand.arrivals.insert(name(service), arrivals.collect());
    }
    demand.slots = Rates::from([(name("front"), FRONT_SLOTS), (name("stock"), STOCK_SLOTS)]);
    let needed: f64 = (0..4).map(|index| rates[index] * shares[index] * ROUTES[index].2).sum();
    let fraction = (STOCK_SLOTS / needed).min(1.0);
    for (index, (route, _, stock, front)) in ROUTES.iter().enumerate() {
        let rate = rates[index] * shares[index];
        demand.admitted.insert(name(route), rate);
        let used = demand.used.entry(name("stock")).or_default();
        used.insert(name(route), rate * stock * fraction);
        demand.used.entry(name("front")).or_default().insert(name(route), rate * front);
    }
    demand.backlog.insert(name("stock"), (needed - STOCK_SLOTS).max(0.0));
    demand
}

/// Shares after measuring and planning have converged.
fn converged_shares(rates: &[f64; 4]) -> [f64; 4] {
    let mut admission = Admission::default();
    let mut shares = [1.0; 4];
    let start = Instant::now();
    for round in 0..40 {
        admission.plan(&demand(rates, &shares), &priorities(), start + round * PLAN_INTERVAL);
        shares = ROUTES.map(|(route, ..)| admission.share(&name(route)));
    }
    shares
}

#[gtest]
fn all_requests_are_admitted_when_slots_suffice() {
    expect_that!(converged_shares(&[32.0, 28.0, 17.0, 87.0]), eq([1.0; 4]));
}

/// Guards against the overload of `stock` in a surge of 1.8 times the usual size.
#[gtest]
fn a_surge_reduces_the_share_of_the_least_urgent_route() {
    let [order, delivery, check, list] = converged_shares(&[79.0, 68.0, 43.0, 216.0]);
    expect_that!(order, ge(0.99));
    expect_that!(delivery, ge(0.99), "it needs no slots of the overloaded service");
    expect_that!(check, ge(0.99));
    expect_that!(list, all!(ge(0.3), le(0.6)));
    let used = 79.0 * order * 0.32 + 43.0 * check * 0.064 + 216.0 * list * 0.16;
    expect_that!(
        used,
        all!(ge(0.85 * STOCK_SLOTS), le(STOCK_SLOTS)),
        "the slots are used and not exceeded"
    );
}

#[gtest]
fn no_route_is_starved_when_urgent_routes_need_all_slots() {
    let [order, _, check, list] = converged_shares(&[400.0, 68.0, 43.0, 216.0]);
    expect_that!(list, ge(0.05));
    expect_that!(check, ge(list));
    expect_that!(order, ge(0.05));
}

/// Guards against refusals at the start of a surge, when stale measurements overstate the slots that a root request
/// needs.
#[gtest]
fn nothing_is_refused_for_a_service_with_free_slots() {
    let mut admission = Admission::default();
    let start = Instant::now();
    let mut stale = demand(&[32.0, 28.0, 17.0, 87.0], &[1.0; 4]);
    for rate in stale.admitted.values_mut() {
        // Measurements of the entry nodes are from before the surge, those of the service from after it.
        *rate *= 0.2;
    }
    admission.plan(&stale, &priorities(), start);
    let shares = ROUTES.map(|(route, ..)| admission.share(&name(route)));
    expect_that!(shares, each(ge(0.99)));
}

#[gtest]
fn shares_are_met_exactly() {
    let mut admission = Admission::default();
    let start = Instant::now();
    for round in 0..40 {
        let shares = ROUTES.map(|(route, ..)| admission.share(&name(route)));
        admission.plan(
            &demand(&[79.0, 68.0, 43.0, 216.0], &shares),
            &priorities(),
            start + round * PLAN_INTERVAL,
        );
    }
    let share = admission.share(&name("list"));
    let admitted =
        (0..1_000).filter(|_| admission.try_admit(&name("list"), None, false)).count() as f64;
    expect_that!(admitted / 1_000.0, near(share, 0.01));
}

#[gtest]
fn an_unknown_route_is_admitted() {
    let mut admission = Admission::default();
    expect_that!(admission.try_admit(&name("new"), None, false), eq(true));
}

/// Clients use all nodes alike; internal calls only arrive at nodes whose upstream makes them.
#[gtest]
fn internal_routes_are_distinguished_from_client_routes() {
    let mut demand = demand(&[32.0, 28.0, 17.0, 87.0], &[1.0; 4]);
    demand.arrivals.entry(name("front")).or_default().insert(name("lookup"), 60.0);
    let mut admission = Admission::default();
    admission.plan(&demand, &priorities(), Instant::now());
    expect_that!(admission.is_internal(&name("lookup")), eq(true));
    expect_that!(admission.is_internal(&name("list")), eq(false));
    demand.arrivals.entry(name("stock")).or_default().insert(name("lookup"), 60.0);
    admission.plan(&demand, &priorities(), Instant::now());
    expect_that!(admission.is_internal(&name("lookup")), eq(false));
}
