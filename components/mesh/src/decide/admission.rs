//! Which root requests are let in when a service in their tree has too little room.
//!
//! Every node learns from the others how many slots of each service are taken for each route of root requests, and
//! how many root requests are let in. Over some seconds the two give what one root request needs in its whole tree,
//! and with what comes, what all of them would need. Rooms are shared out by rank; what doesn't fit is refused at the
//! entry, before any work is done for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::demand::Demand;
use super::members::Rates;

/// Part of a service's slots that is planned with; the rest takes up what comes in clumps.
const PLANNED: f64 = 0.92;
/// Part of each route that is let in before ranks are looked at, so that none is starved.
const FLOOR: f64 = 0.3;
/// Span over which needs are learned: long against the time of a tree, so that what is taken late does not look like
/// a need, and short against how long a slow upstream lasts.
const SPAN: Duration = Duration::from_millis(2_500);
/// Part of a service's slots under which it has room, whatever the needs say, and from which they are believed whole.
const IDLE: f64 = 0.6;
const BUSY: f64 = 0.8;
/// Time in which what waits is to be worked off, in seconds.
const WORK_OFF: f64 = 1.0;
/// Rate under which nothing is known of a route.
const LEAST: f64 = 0.1;
/// Share from which everything counts as let in.
const WHOLE: f64 = 0.999;

/// Slots by service, for each route.
type Wants = BTreeMap<Arc<str>, Rates>;

/// What was let in and what it took, over some seconds.
#[derive(Debug, Clone, Default)]
struct Learned {
    admitted: Rates,
    used: Wants,
    at: Option<Instant>,
}

/// Shares of root requests that are let in.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    learned: Learned,
    wants: Wants,
    shares: Rates,
    credit: Rates,
    called: BTreeSet<Arc<str>>,
    /// Services whose upstreams call others.
    calling: BTreeSet<Arc<str>>,
}

impl Admission {
    /// Works the shares out anew; `ranks` gives the rank of each route.
    pub fn plan(&mut self, demand: &Demand, ranks: &BTreeMap<Arc<str>, u8>, now: Instant) {
        demand.called(&mut self.called);
        self.calling = demand.calling(&self.called);
        let offered = demand.offered();
        let slots = demand.slots.iter();
        let mut room: Rates =
            slots.map(|(service, slots)| (service.clone(), slots * PLANNED)).collect();
        self.learned.take(demand, now);
        self.want(demand, &offered, &mut room);
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

    /// Whether upstreams of the service call others, as far as is known.
    pub fn calls(&self, service: &Arc<str>) -> bool {
        self.called.is_empty() || self.calling.contains(service)
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

    /// Works out the slots that all would take if everything were let in.
    fn want(&mut self, demand: &Demand, offered: &Rates, room: &mut Rates) {
        self.wants.clear();
        for (route, admitted) in &self.learned.admitted {
            // Calls whose root is not known can't be refused at an entry.
            let called = self.called.contains(route);
            let ratio = offered.get(route).copied().unwrap_or_default() / admitted;
            for (service, used) in self.learned.used.get(route).into_iter().flatten() {
                let want = used * ratio * demand.pressure(service, IDLE, BUSY, WORK_OFF);
                if !called {
                    self.wants.entry(route.clone()).or_default().insert(service.clone(), want);
                }
            }
        }
        for (service, used) in &demand.used {
            let unknown = used.iter().filter(|(route, _)| self.called.contains(*route));
            let unknown: f64 = unknown.map(|(_, slots)| slots).sum();
            if let Some(free) = room.get_mut(service) {
                *free -= unknown;
            }
        }
    }
}

impl Learned {
    /// Lets earlier measurements fade and adds the new ones.
    fn take(&mut self, demand: &Demand, now: Instant) {
        let passed = self.at.map_or(SPAN * 100, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        let keep = (-passed.as_secs_f64() / SPAN.as_secs_f64()).exp();
        for rate in self.admitted.values_mut() {
            *rate *= keep;
        }
        for slots in self.used.values_mut().flat_map(|used| used.values_mut()) {
            *slots *= keep;
        }
        for (route, admitted) in &demand.admitted {
            *self.admitted.entry(route.clone()).or_default() += admitted * (1.0 - keep);
        }
        for (service, used) in &demand.used {
            for (route, slots) in used {
                let known = self.used.entry(route.clone()).or_default();
                *known.entry(service.clone()).or_default() += slots * (1.0 - keep);
            }
        }
        self.admitted.retain(|_, rate| *rate > LEAST);
    }
}
