//! Admission by route and priority of the tenant.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::admission::Admission;
use mesh::decide::class::{self, Names};
use mesh::decide::demand::Demand;
use mesh::decide::members::Rates;
use mesh::process::traffic::Traffic;

const STOCK_SLOTS: f64 = 44.0;
const SLOT_SECS: f64 = 0.2;
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn routes() -> BTreeMap<Arc<str>, u8> {
    BTreeMap::from([(name("order"), 0), (name("list"), 2)])
}

/// Measurements of nodes at which classes arrive with these rates and are admitted by these shares.
fn demand(classes: &[(&str, f64)], admission: &Admission) -> Demand {
    let mut demand = Demand::default();
    for service in ["front", "stock"] {
        let arrivals = classes.iter().map(|(class, rate)| (name(class), rate / 2.0));
        demand.arrivals.insert(name(service), arrivals.collect());
    }
    let admitted: Rates = classes
        .iter()
        .map(|(class, rate)| (name(class), rate * admission.share(&name(class))))
        .collect();
    let needed: f64 = admitted.values().sum::<f64>() * SLOT_SECS;
    let fraction = (STOCK_SLOTS / needed).min(1.0);
    let used = admitted.iter().map(|(class, rate)| (class.clone(), rate * SLOT_SECS * fraction));
    demand.used.insert(name("stock"), used.collect());
    demand.admitted = admitted;
    demand.slots.insert(name("stock"), STOCK_SLOTS);
    demand.backlog.insert(name("stock"), (needed - STOCK_SLOTS).max(0.0));
    demand
}

fn converged(classes: &[(&str, f64)]) -> Admission {
    let (mut admission, start) = (Admission::default(), Instant::now());
    for round in 0..40 {
        let demand = demand(classes, &admission);
        admission.plan(&demand, &routes(), start + round * PLAN_INTERVAL);
    }
    admission
}

/// Guards against a plan that goes by the route: a tenant of high priority is refused on a route of low priority, and one
/// of low priority is served on a route of high priority.
#[gtest]
fn the_priority_of_the_tenant_goes_before_that_of_the_route() {
    // The first tenant's priority is 1, the second one's is 4.
    let admission = converged(&[("list#18", 100.0), ("order#64", 250.0)]);
    expect_that!(admission.share(&name("list#18")), ge(0.99));
    expect_that!(admission.share(&name("order#64")), all!(ge(0.1), le(0.6)));
    expect_that!(admission.least_share("order"), le(0.6));
    let reduced: Vec<&str> = admission.reduced().map(|(name, _)| &**name).collect();
    expect_that!(reduced, elements_are![eq(&"order#64")]);
}

/// Guards against classes of an internal route that count as roots, and against client routes that count as internal
/// because each of their classes is absent at the nodes of some service.
#[gtest]
fn whether_a_route_is_internal_depends_on_all_its_classes() {
    let mut demand = demand(&[("order", 60.0)], &Admission::default());
    demand.arrivals.entry(name("front")).or_default().insert(name("list#18"), 60.0);
    demand.arrivals.entry(name("stock")).or_default().insert(name("list#34"), 60.0);
    demand.arrivals.entry(name("front")).or_default().insert(name("lookup"), 60.0);
    let mut admission = Admission::default();
    admission.plan(&demand, &routes(), Instant::now());
    expect_that!(admission.is_internal("list"), eq(false));
    expect_that!(admission.is_internal("lookup"), eq(true));
    expect_that!(admission.is_internal("lookup#3"), eq(true));
    expect_that!(admission.makes_calls(&name("front")), eq(true));
    expect_that!(admission.makes_calls(&name("stock")), eq(false));
}

/// Guards against other names on the wire in deployments without tenants.
#[gtest]
fn a_class_with_the_priority_of_its_route_has_its_name() {
    let (mut traffic, now) = (Traffic::new(), Instant::now());
    for (priority, class) in [(2, "list"), (18, "list#18")] {
        let classified = traffic.classify(&name("list"), 2, priority);
        expect_that!(*classified, eq(class));
        traffic.record_arrival(&classified, now);
    }
    let arrivals = traffic.measurements(Default::default(), now).arrivals;
    expect_that!(
        arrivals.keys().map(|name| &**name).collect::<Vec<_>>(),
        elements_are![eq(&"list"), eq(&"list#18")]
    );
}

/// Guards against names of routes that look like those of classes.
#[gtest]
fn a_route_is_found_before_a_class() {
    let mut routes = routes();
    routes.insert(name("list#7"), 5);
    expect_that!(class::priority("list#7", &routes), eq(5));
    expect_that!(class::priority("list#8", &routes), eq(8));
    expect_that!(class::priority("gone#8", &routes), eq(u8::MAX));
    expect_that!(class::parse("list#x"), eq(("list#x", None)));
    expect_that!(class::parse("list#300"), eq(("list#300", None)));
    let mut names = Names::default();
    expect_that!(*names.name(&name("list"), 2, 18), eq("list#18"));
}
