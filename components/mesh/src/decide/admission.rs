//! Admission control: which root requests are admitted when a service in their call tree is short of slots.
//!
//! Every node learns from the others how many slots of each service are used for each root route, and how many root
//! requests are admitted. Averaged over some seconds, the two give the slots that one root request needs in its whole
//! tree; with the arrival rates, they give the slots that all requests would need. Slots are allocated by priority;
//! requests that don't fit are refused at the entry, before any work is done for them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::class;
use super::demand::Demand;
use super::fairness::Division;
use super::members::Rates;

/// Share of a service's slots that is allocated; the rest absorbs bursts.
const ALLOCATED_SHARE: f64 = 0.92;
/// Share of each route that is allocated regardless of priority, so that no route is starved.
const BASE_SHARE: f64 = 0.3;
/// Time constant of the averages: well above the time of a call tree, so that slots used late are not mistaken for
/// higher needs, and well below the time for which an upstream stays slow.
const AVERAGING_TIME: Duration = Duration::from_millis(2_500);
/// Load, as a share of a service's slots, under which needs are ignored, and from which they count in full.
const IDLE_LOAD: f64 = 0.6;
const BUSY_LOAD: f64 = 0.8;
/// Time in which a backlog is to be drained.
const BACKLOG_DRAIN_SECS: f64 = 1.0;
/// Admitted requests per second under which a route's averages are dropped.
const MIN_RATE: f64 = 0.1;
/// Share from which every request is admitted.
const FULL_SHARE: f64 = 0.999;
/// Requests of a route that a node may admit ahead of its share for callers that have come back.
const MAX_DEBT: f64 = 2.0;

/// Slots by service, for each root route.
type RouteSlots = BTreeMap<Arc<str>, Rates>;

/// Moving averages of admitted root requests and of the slots used for them.
#[derive(Debug, Clone, Default)]
struct Averages {
    admitted: Rates,
    used: RouteSlots,
    updated_at: Option<Instant>,
}

/// Shares of root requests that are admitted, by class. Classes are named like routes ([`class`]).
#[derive(Debug, Clone, Default)]
pub struct Admission {
    averages: Averages,
    /// Slots that all arriving requests would need.
    needs: RouteSlots,
    shares: Rates,
    credits: Rates,
    /// Division among tenants of the classes that are admitted in part.
    divisions: BTreeMap<Arc<str>, Division>,
    /// Whether a service is so loaded that a part may soon have to be refused.
    loaded: bool,
    /// Routes that upstreams call.
    internal: BTreeSet<Arc<str>>,
    /// Services whose upstreams make calls.
    calling: BTreeSet<Arc<str>>,
}

impl Admission {
    /// Recomputes the shares of all classes; `priorities` gives the priority of each route.
    pub fn plan(&mut self, demand: &Demand, priorities: &BTreeMap<Arc<str>, u8>, now: Instant) {
        demand.update_internal_routes(&mut self.internal);
        self.calling = demand.calling_services(&self.internal);
        let offered = demand.offered();
        let slots = demand.slots.iter();
        let mut capacity: Rates =
            slots.map(|(service, slots)| (service.clone(), slots * ALLOCATED_SHARE)).collect();
        self.averages.update(demand, now);
        self.estimate_needs(demand, &offered, &mut capacity);
        let mut routes: Vec<Arc<str>> =
            offered.into_keys().filter(|route| !self.is_internal(route)).collect();
        let priority = |route: &Arc<str>| class::priority(route, priorities);
        routes.sort_by_key(|route| priority(route));
        self.shares = routes.iter().map(|route| (route.clone(), 0.0)).collect();
        self.allocate(&routes, BASE_SHARE, &mut capacity);
        let mut rest = &routes[..];
        while let Some(first) = rest.first() {
            let same = rest.iter().take_while(|route| priority(route) == priority(first)).count();
            self.allocate(&rest[..same], 1.0 - BASE_SHARE, &mut capacity);
            rest = &rest[same..];
        }
        self.loaded = demand.is_loaded(IDLE_LOAD);
        let reduced = demand.tenants.iter().filter(|(class, _)| !self.is_full(class));
        self.divisions = reduced
            .map(|(class, rates)| (class.clone(), Division::new(rates, self.share(class))))
            .collect();
    }

    /// Whether a service is so loaded that a part of the requests may soon have to be refused.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Whether to admit a root request of the route. Shares are met exactly, not on average. A request whose caller was
    /// refused and has come back may take the credit of later ones, so that it goes before fresh requests. Those of
    /// tenants that are admitted in full need none.
    pub fn try_admit(&mut self, route: &Arc<str>, tenant: Option<&str>, returning: bool) -> bool {
        let share = self.share_of(route, tenant);
        if share >= FULL_SHARE {
            return true;
        }
        let credit = self.credits.entry(route.clone()).or_insert(1.0);
        *credit += share;
        let needed = if returning { 1.0 - MAX_DEBT } else { 1.0 };
        if *credit < needed {
            return false;
        }
        *credit = (*credit - 1.0).min(1.0);
        true
    }

    /// Whether all requests of the route are admitted.
    pub fn is_full(&self, route: &Arc<str>) -> bool {
        self.share(route) >= FULL_SHARE
    }

    /// Admitted share of a tenant's requests.
    pub fn share_of(&self, class: &Arc<str>, tenant: Option<&str>) -> f64 {
        let division = tenant.and_then(|tenant| Some((self.divisions.get(class)?, tenant)));
        division.map_or_else(|| self.share(class), |(division, tenant)| division.share(tenant))
    }

    /// Admitted share of a route.
    pub fn share(&self, route: &Arc<str>) -> f64 {
        self.shares.get(route).copied().unwrap_or(1.0)
    }

    /// Smallest admitted share of the classes of a route.
    pub fn least_share(&self, route: &str) -> f64 {
        let classes = self.shares.iter().filter(|(name, _)| class::parse(name).0 == route);
        classes.fold(1.0, |least, (_, share)| share.min(least))
    }

    /// Classes that are not admitted in full, and their shares.
    pub fn reduced(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let shares = self.shares.iter().map(|(name, share)| (name, *share));
        shares.filter(|(_, share)| *share < FULL_SHARE)
    }

    /// Whether the route of a class is called by upstreams rather than by clients.
    pub fn is_internal(&self, name: &str) -> bool {
        self.internal.contains(class::parse(name).0)
    }

    /// Whether upstreams of the service are known to make calls.
    pub fn is_calling(&self, service: &Arc<str>) -> bool {
        self.calling.contains(service)
    }

    /// Whether upstreams of the service make calls; true while no internal route is known.
    pub fn makes_calls(&self, service: &Arc<str>) -> bool {
        self.internal.is_empty() || self.calling.contains(service)
    }

    /// Raises the shares of routes by up to `extra`, as far as the services in their trees have capacity left.
    fn allocate(&mut self, routes: &[Arc<str>], extra: f64, capacity: &mut Rates) {
        let mut needed = Rates::new();
        for (service, need) in routes.iter().filter_map(|route| self.needs.get(route)).flatten() {
            *needed.entry(service.clone()).or_default() += need * extra;
        }
        let fractions: Rates = needed
            .iter()
            .map(|(service, need)| {
                let free = capacity.get(service).copied().unwrap_or(f64::INFINITY).max(0.0);
                (service.clone(), if free < *need { free / need } else { 1.0 })
            })
            .collect();
        for route in routes {
            let needs = self.needs.get(route);
            let raise = needs.into_iter().flatten().filter(|(_, need)| **need > 0.0);
            let raise = raise.map(|(service, _)| fractions[service]).fold(1.0, f64::min) * extra;
            *self.shares.entry(route.clone()).or_default() += raise;
            for (service, need) in needs.into_iter().flatten() {
                if let Some(free) = capacity.get_mut(service) {
                    *free -= need * raise;
                }
            }
        }
    }

    /// Estimates the slots that each route would need if all its requests were admitted, and subtracts from
    /// `capacity` the slots used by calls whose root is unknown.
    fn estimate_needs(&mut self, demand: &Demand, offered: &Rates, capacity: &mut Rates) {
        self.needs.clear();
        for (route, admitted) in &self.averages.admitted {
            // Calls with an unknown root can't be refused at an entry.
            let internal = self.is_internal(route);
            let ratio = offered.get(route).copied().unwrap_or_default() / admitted;
            for (service, used) in self.averages.used.get(route).into_iter().flatten() {
                let need = used
                    * ratio
                    * demand.need_factor(service, IDLE_LOAD, BUSY_LOAD, BACKLOG_DRAIN_SECS);
                if !internal {
                    self.needs.entry(route.clone()).or_default().insert(service.clone(), need);
                }
            }
        }
        for (service, used) in &demand.used {
            let unknown = used.iter().filter(|(route, _)| self.is_internal(route));
            let unknown: f64 = unknown.map(|(_, slots)| slots).sum();
            if let Some(free) = capacity.get_mut(service) {
                *free -= unknown;
            }
        }
    }
}

impl Averages {
    /// Decays the averages and adds new measurements.
    fn update(&mut self, demand: &Demand, now: Instant) {
        let passed =
            self.updated_at.map_or(AVERAGING_TIME * 100, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        let decay = (-passed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        for rate in self.admitted.values_mut() {
            *rate *= decay;
        }
        for slots in self.used.values_mut().flat_map(|used| used.values_mut()) {
            *slots *= decay;
        }
        for (route, admitted) in &demand.admitted {
            *self.admitted.entry(route.clone()).or_default() += admitted * (1.0 - decay);
        }
        for (service, used) in &demand.used {
            for (route, slots) in used {
                let averages = self.used.entry(route.clone()).or_default();
                *averages.entry(service.clone()).or_default() += slots * (1.0 - decay);
            }
        }
        self.admitted.retain(|_, rate| *rate > MIN_RATE);
    }
}
