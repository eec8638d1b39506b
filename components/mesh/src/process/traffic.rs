//! Request rates measured by this node, and the admission shares computed from the rates of all nodes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decide::admission::Admission;
use crate::decide::class;
use crate::decide::demand::Demand;
use crate::decide::fairness::{TenantRates, Tenants};
use crate::decide::members::{Measurements, Rates};
use crate::decide::meter::DecayingRate;
use crate::decide::queue::Load;
use crate::decide::returning::Returning;

/// Time constant of the decaying rates.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(800);
/// Rates per second below this are not sent to other nodes.
const MIN_RATE: f64 = 0.05;

type DecayingRates = HashMap<Arc<str>, DecayingRate>;

/// Measured rates and the admission shares in use.
#[derive(Debug, Default)]
pub struct Traffic {
    classes: class::Names,
    arrived: DecayingRates,
    admitted: DecayingRates,
    used: DecayingRates,
    tenants: Tenants,
    /// Recognises callers that were refused before.
    returning: Returning,
    /// When the shares were computed.
    planned_at: Option<Instant>,
    /// The admission shares.
    pub admission: Admission,
}

impl Traffic {
    /// No measurements; all requests are admitted.
    pub fn new() -> Self {
        Self::default()
    }

    /// The name of the class of a route's request; `usual` is the priority of the route. Calls are of the class that has
    /// the route's name.
    pub fn classify(&mut self, route: &Arc<str>, usual: u8, priority: u8) -> Arc<str> {
        let priority = if self.admission.is_internal(route) { usual } else { priority };
        self.classes.name(route, usual, priority)
    }

    /// Counts a request from a caller or the upstream; one of a tenant once its quota allows it, as the plan would make
    /// room for requests that are refused.
    pub fn record_arrival(&mut self, route: &Arc<str>, now: Instant) {
        add(&mut self.arrived, route, 1.0, now);
    }

    /// Counts a root request of a tenant.
    pub fn record_tenant(&mut self, class: &Arc<str>, tenant: &Arc<str>, now: Instant) {
        self.tenants.record(class, tenant, now);
    }

    /// Decides whether to admit a root request whose caller has so much time left.
    pub fn try_admit(
        &mut self,
        route: &Arc<str>,
        tenant: Option<&str>,
        left: Duration,
        now: Instant,
    ) -> bool {
        let in_full = self.admission.is_full(route);
        let returning = self.returning.observe(route, left, in_full, now);
        let admitted = self.admission.try_admit(route, tenant, returning);
        if admitted {
            add(&mut self.admitted, route, 1.0, now);
        }
        admitted
    }

    /// Recomputes the shares.
    pub fn plan(&mut self, demand: &Demand, priorities: &BTreeMap<Arc<str>, u8>, now: Instant) {
        self.admission.plan(demand, priorities, now);
        self.classes.retain(|route| priorities.contains_key(route));
        self.tenants.sweep(now);
        self.planned_at = Some(now);
    }

    /// Time since the shares were computed.
    pub fn plan_age(&self, now: Instant) -> Duration {
        self.planned_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Adds the time that a request of a root route held a slot of the upstream.
    pub fn record_use(&mut self, route: &Arc<str>, held: Duration, now: Instant) {
        add(&mut self.used, route, held.as_secs_f64(), now);
    }

    /// Rates of tenants, which are reported only when they may be needed soon.
    fn tenant_rates(&self, now: Instant) -> TenantRates {
        if self.admission.is_loaded() { self.tenants.report(now) } else { TenantRates::new() }
    }

    /// The measurements of requests to send to other nodes.
    pub fn measurements(&self, load: Load, now: Instant) -> Measurements {
        Measurements {
            load: (load.running, load.waiting, load.limit, load.held_us),
            rate: load.rate.map(|rate| (rate.0, load.tokens)),
            window: load.window,
            service: load.service_time.map(|time| (time.run_us, time.percent, time.age_ms)),
            arrivals: rates(&self.arrived, now),
            admitted: rates(&self.admitted, now),
            used: rates(&self.used, now),
            tenants: self.tenant_rates(now),
            ..Measurements::default()
        }
    }
}

/// Shares below one, formatted for the log.
pub fn format_shares(admission: &Admission, routes: &BTreeMap<Arc<str>, u8>) -> String {
    let is_known =
        |name: &str| routes.contains_key(name) || routes.contains_key(class::parse(name).0);
    let reduced: Vec<String> = admission
        .reduced()
        .filter(|(name, _)| is_known(name))
        .map(|(route, share)| format!("{route}={share:.2}"))
        .collect();
    reduced.join(" ")
}

/// Used slots, backlog and available slots by service, formatted for the log.
pub fn format_loads(demand: &Demand) -> String {
    let loads = demand.slots.iter().map(|(service, slots)| {
        let used: f64 = demand.used.get(service).map_or(0.0, |used| used.values().sum());
        let backlog = demand.backlog.get(service).copied().unwrap_or_default();
        format!("{service}={used:.1}+{backlog:.1}/{slots:.0}")
    });
    loads.collect::<Vec<_>>().join(" ")
}

fn add(by_route: &mut DecayingRates, route: &Arc<str>, size: f64, now: Instant) {
    by_route
        .entry(route.clone())
        .or_insert_with(|| DecayingRate::new(RATE_TIME_CONSTANT, now))
        .add(size, now);
}

fn rates(by_route: &DecayingRates, now: Instant) -> Rates {
    let rates = by_route.iter().map(|(route, rate)| (route.clone(), rate.rate(now)));
    rates
        .filter(|(_, rate)| *rate >= MIN_RATE)
        .map(|(route, rate)| (route, (rate * 100.0).round() / 100.0))
        .collect()
}
