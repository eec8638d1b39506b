//! Which root requests are let in when a service in their tree has too little room.
//!
//! Every node learns from the others how many slots of each service are taken for each route of root requests, and
//! which part of the root requests is let in. What would be taken if all were let in follows from these. Rooms are
//! shared out by rank; what doesn't fit is refused at the entry, before any work is done for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::demand::Demand;
use super::members::Rates;

/// Part of a service's slots that is planned with; the rest takes up what comes in clumps.
const PLANNED: f64 = 0.92;
/// Part of each route that is let in before ranks are looked at, so that none is starved.
const FLOOR: f64 = 0.3;
/// Weight of a new measurement in what the root requests of a route want.
const FRESH: f64 = 0.5;
/// Time in which what waits is to be worked off, in seconds.
const WORK_OFF: f64 = 1.0;
/// Share from which everything counts as let in.
const WHOLE: f64 = 0.999;

/// Slots that the root requests of a route want, by service.
type Wants = BTreeMap<Arc<str>, Rates>;

/// Shares of root requests that are let in.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    wants: Wants,
    shares: Rates,
    credit: Rates,
    called: BTreeSet<Arc<str>>,
}

impl Admission {
    /// Works the shares out anew; `ranks` gives the rank of each route.
    pub fn plan(&mut self, demand: &Demand, ranks: &BTreeMap<Arc<str>, u8>) {
        demand.called(&mut self.called);
        let offered = demand.offered();
        let mut room: Rates = demand
            .slots
            .iter()
            .map(|(service, slots)| (service.clone(), slots * PLANNED))
            .collect();
        self.learn(demand, &offered, &mut room);
        let mut routes: Vec<Arc<str>> =
            offered.into_keys().filter(|route| !self.called.contains(route)).collect();
        let rank = |route: &Arc<str>| ranks.get(route).copied().unwrap_or(u8::MAX);
        routes.sort_by_key(|route| rank(route));
        self.shares = routes.iter().map(|route| (route.clone(), 0.0)).collect();
        self.share_out(&routes, FLOOR, &mut room);
        let mut rest = &routes[..];
        while let Some(first) = rest.first() {
            let same = rest.iter().take_while(|route| rank(route) == rank(first)).count();
            self.share_out(&rest[..same], 1.0 - FLOOR, &mut room);
            rest = &rest[same..];
        }
    }

    /// Whether a root request of the route is let in; shares are kept exactly, not by chance.
    pub fn admits(&mut self, route: &Arc<str>) -> bool {
        let share = self.share(route);
        if share >= WHOLE {
            return true;
        }
        let credit = self.credit.entry(route.clone()).or_insert(1.0);
        *credit += share;
        if *credit < 1.0 {
            return false;
        }
        *credit = (*credit - 1.0).min(1.0);
        true
    }

    /// The share of a route that is let in.
    pub fn share(&self, route: &Arc<str>) -> f64 {
        self.shares.get(route).copied().unwrap_or(1.0)
    }

    /// Whether upstreams call the route, rather than callers.
    pub fn is_called(&self, route: &Arc<str>) -> bool {
        self.called.contains(route)
    }

    /// Gives routes a further share, up to `most`, as far as every service of their trees has room for it.
    fn share_out(&mut self, routes: &[Arc<str>], most: f64, room: &mut Rates) {
        let mut wanted = Rates::new();
        for (service, want) in routes.iter().filter_map(|route| self.wants.get(route)).flatten() {
            *wanted.entry(service.clone()).or_default() += want * most;
        }
        let fits: Rates = wanted
            .iter()
            .map(|(service, want)| {
                let free = room.get(service).copied().unwrap_or(f64::INFINITY).max(0.0);
                (service.clone(), if free < *want { free / want } else { 1.0 })
            })
            .collect();
        for route in routes {
            let wants = self.wants.get(route);
            let part = wants.into_iter().flatten().filter(|(_, want)| **want > 0.0);
            let part = part.map(|(service, _)| fits[service]).fold(1.0, f64::min) * most;
            *self.shares.entry(route.clone()).or_default() += part;
            for (service, want) in wants.into_iter().flatten() {
                if let Some(free) = room.get_mut(service) {
                    *free -= want * part;
                }
            }
        }
    }

    /// Takes what is used now, and what waits, for what would be used if everything were let in.
    fn learn(&mut self, demand: &Demand, offered: &Rates, room: &mut Rates) {
        for want in self.wants.values_mut().flat_map(|wants| wants.values_mut()) {
            *want *= 1.0 - FRESH;
        }
        for (service, used) in &demand.used {
            let total: f64 = used.values().sum();
            let backlog = demand.backlog.get(service).copied().unwrap_or_default() / WORK_OFF;
            let pressed = if total > 0.0 { 1.0 + backlog / total } else { 1.0 };
            for (route, slots) in used {
                if self.called.contains(route) {
                    // Calls whose root is not known can't be refused at an entry.
                    if let Some(free) = room.get_mut(service) {
                        *free -= slots;
                    }
                    continue;
                }
                let offered = offered.get(route).copied().unwrap_or_default();
                let admitted = demand.admitted.get(route).copied().unwrap_or_default();
                let all = if admitted > 0.0 { (offered / admitted).max(1.0) } else { 1.0 };
                let wants = self.wants.entry(route.clone()).or_default();
                *wants.entry(service.clone()).or_default() += slots * pressed * all * FRESH;
            }
        }
    }
}
