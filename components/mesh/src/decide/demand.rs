//! Arriving requests and used slots, summed over nodes, and which routes are called by upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::class;
use super::fairness::{self, TenantRates};
use super::members::{Measurements, Rates, Record, UpstreamState};

/// Average rate per service, in requests per second, from which a route is unlikely to be absent at one by chance.
const MIN_RATE: f64 = 4.0;
/// Requests per second from which a service's upstreams count as calling a route.
const CALLING_RATE: f64 = 1.0;
/// Share of the average rate under which a route counts as absent.
const ABSENT_SHARE: f64 = 0.05;

/// Largest figure that a deployment can reach: sums stay finite with any number of them.
const MAX_FIGURE: f64 = 1e9;

/// Demand of several nodes at one moment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second that arrived at nodes, by the service beside the node and by route.
    #[serde(rename = "came")]
    pub arrivals: BTreeMap<Arc<str>, Rates>,
    /// Admitted root requests per second, by route.
    pub admitted: Rates,
    /// Used slots, by service and by route of the root request.
    pub used: BTreeMap<Arc<str>, Rates>,
    /// Available slots, by service.
    pub slots: Rates,
    /// Queued work in slot seconds, by service.
    pub backlog: Rates,
    /// Root requests per second of the heaviest tenants, by class.
    #[serde(default, skip_serializing_if = "TenantRates::is_empty")]
    pub tenants: TenantRates,
}

impl Demand {
    /// Adds the measurements of a node.
    pub fn add(&mut self, record: &Record, measurements: &Measurements) {
        add_rates(self.arrivals.entry(record.service.clone()).or_default(), &measurements.arrivals);
        add_rates(&mut self.admitted, &measurements.admitted);
        add_rates(self.used.entry(record.service.clone()).or_default(), &measurements.used);
        self.add_tenants(&measurements.tenants);
        if record.state == UpstreamState::Ready {
            let load = measurements.load();
            let backlog = f64::from(load.waiting) * load.held_secs();
            *self.slots.entry(record.service.clone()).or_default() += load.usable_slots();
            *self.backlog.entry(record.service.clone()).or_default() += backlog;
        }
    }

    /// Adds the demand of other nodes.
    pub fn merge(&mut self, other: &Self) {
        for (service, arrivals) in &other.arrivals {
            add_rates(self.arrivals.entry(service.clone()).or_default(), arrivals);
        }
        for (service, used) in &other.used {
            add_rates(self.used.entry(service.clone()).or_default(), used);
        }
        add_rates(&mut self.admitted, &other.admitted);
        add_rates(&mut self.slots, &other.slots);
        add_rates(&mut self.backlog, &other.backlog);
        self.add_tenants(&other.tenants);
    }

    fn add_tenants(&mut self, tenants: &TenantRates) {
        for (class, rates) in tenants {
            add_rates(self.tenants.entry(class.clone()).or_default(), rates);
        }
    }

    /// Rounds all figures to hundredths, as sums of rounded figures have many digits, and drops the lightest tenants.
    pub fn round(&mut self) {
        fairness::trim(&mut self.tenants);
        let nested = self.arrivals.values_mut().chain(self.used.values_mut());
        let rates = nested.chain([&mut self.admitted, &mut self.slots, &mut self.backlog]);
        for rate in rates.flat_map(|rates| rates.values_mut()) {
            *rate = (*rate * 100.0).round() / 100.0;
        }
    }

    /// Whether all figures can be of a deployment.
    pub fn is_plausible(&self) -> bool {
        let nested = self.arrivals.values().chain(self.used.values()).chain(self.tenants.values());
        let mut rates = nested.chain([&self.admitted, &self.slots, &self.backlog]);
        rates.all(is_plausible)
    }

    /// Requests per second that arrived, by route.
    pub fn offered(&self) -> Rates {
        let mut offered = Rates::new();
        for arrivals in self.arrivals.values() {
            add_rates(&mut offered, arrivals);
        }
        offered
    }

    /// Factor by which the measured needs of a service's requests are scaled: above 1 with a backlog, which is to be
    /// drained in `drain_secs`; below 1 under the load `busy`, and 0 under the load `idle`, where the service has free
    /// slots whatever the needs are. Loads are shares of the slots.
    pub fn need_factor(&self, service: &str, idle: f64, busy: f64, drain_secs: f64) -> f64 {
        let used: f64 = self.used.get(service).map_or(0.0, |used| used.values().sum());
        let slots = self.slots.get(service).copied().unwrap_or_default();
        if used <= 0.0 || slots <= 0.0 {
            return 1.0;
        }
        let backlog = self.backlog.get(service).copied().unwrap_or_default() / drain_secs;
        let load = (used + backlog) / slots;
        ((load - idle) / (busy - idle)).clamp(0.0, 1.0) * (1.0 + backlog / used)
    }

    /// The routes whose requests arrive at nodes beside upstreams of each service.
    pub fn called_routes(&self) -> impl Iterator<Item = (&Arc<str>, &str)> {
        self.arrivals.iter().flat_map(|(service, arrivals)| {
            let called = arrivals.iter().filter(|(_, rate)| **rate >= CALLING_RATE);
            called.map(move |(name, _)| (service, class::parse(name).0))
        })
    }

    /// Whether any service's load, as a share of its slots, is at least `load`.
    pub fn is_loaded(&self, load: f64) -> bool {
        self.slots.iter().any(|(service, slots)| {
            let used: f64 = self.used.get(service).map_or(0.0, |used| used.values().sum());
            used >= load * slots
        })
    }

    /// Services whose upstreams call one of the given internal routes.
    pub fn calling_services(&self, internal: &BTreeSet<Arc<str>>) -> BTreeSet<Arc<str>> {
        let calls = |arrivals: &Rates| {
            let mut routes = by_route(arrivals).into_iter();
            routes.any(|(route, rate)| rate >= CALLING_RATE && internal.contains(route))
        };
        let services = self.arrivals.iter().filter(|(_, arrivals)| calls(arrivals));
        services.map(|(service, _)| service.clone()).collect()
    }

    /// Updates the set of internal routes, those that upstreams call. Clients use all nodes alike, so their routes
    /// arrive at the nodes of every service; a route that is absent at one service is called by upstreams of others.
    pub fn update_internal_routes(&self, known: &mut BTreeSet<Arc<str>>) {
        let services = self.arrivals.len();
        if services < 2 {
            return;
        }
        // Classes of a route may have too few requests to tell.
        let arrivals: Vec<_> = self.arrivals.values().map(by_route).collect();
        for (route, rate) in by_route(&self.offered()) {
            let average = rate / services as f64;
            if average < MIN_RATE {
                continue;
            }
            let rates = arrivals.iter().map(|rates| rates.get(route).copied().unwrap_or(0.0));
            if rates.fold(f64::INFINITY, f64::min) < average * ABSENT_SHARE {
                known.insert(route.into());
            } else {
                known.remove(route);
            }
        }
    }
}

/// Whether all rates are finite, not negative and within what a deployment can reach.
pub fn is_plausible(rates: &Rates) -> bool {
    rates.values().all(|rate| (0.0..=MAX_FIGURE).contains(rate))
}

/// Rates of the classes, summed by route.
fn by_route(rates: &Rates) -> BTreeMap<&str, f64> {
    let mut sums = BTreeMap::new();
    for (name, rate) in rates {
        *sums.entry(class::parse(name).0).or_default() += rate;
    }
    sums
}

fn add_rates(into: &mut Rates, from: &Rates) {
    for (route, rate) in from {
        *into.entry(route.clone()).or_default() += rate;
    }
}
