//! Which root requests are let in when a service in their tree has too little room.
//!
//! Every node learns from the others' pulses how many root requests of each route come, and how many slots of each
//! service one of them takes in its whole tree. Rooms are shared out by rank; what doesn't fit is refused at the
//! entry, before any work is done for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::members::Rates;

/// Part of a service's slots that is planned with; the rest takes up what comes in clumps.
const PLANNED: f64 = 0.92;
/// Part of each route that is let in before ranks are looked at, so that none is starved.
const FLOOR: f64 = 0.3;
/// Weight of a new measurement in what a route's tree takes.
const LEARN: f64 = 0.15;
/// Root requests a second from which a measurement says something.
const ENOUGH: f64 = 1.0;

/// Demand of a whole system at one moment.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Root requests that come, a second, by route.
    pub offered: Rates,
    /// Root requests that are let in, a second, by route.
    pub admitted: Rates,
    /// Slots taken, by service and by route of the root request.
    pub used: BTreeMap<Arc<str>, Rates>,
    /// Slots of each service.
    pub slots: BTreeMap<Arc<str>, f64>,
}

/// Shares of root requests that are let in.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    /// Slot seconds that a root request of a route takes at each service.
    needs: BTreeMap<Arc<str>, Rates>,
    shares: Rates,
    credit: Rates,
}

impl Admission {
    /// Works the shares out anew; `ranks` gives the rank of each route.
    pub fn plan(&mut self, demand: &Demand, ranks: &BTreeMap<Arc<str>, u8>) {
        self.learn(demand);
        let mut room: Rates =
            demand.slots.iter().map(|(service, slots)| (service.clone(), slots * PLANNED)).collect();
        let mut routes: Vec<(&Arc<str>, f64)> =
            demand.offered.iter().map(|(route, rate)| (route, *rate)).collect();
        routes.sort_by_key(|(route, _)| ranks.get(*route).copied().unwrap_or(u8::MAX));
        self.shares = routes.iter().map(|(route, _)| ((*route).clone(), 0.0)).collect();
        self.share_out(&routes, FLOOR, &mut room);
        let mut rest = &routes[..];
        while let Some((first, _)) = rest.first() {
            let rank = ranks.get(*first);
            let same = rest.iter().take_while(|(route, _)| ranks.get(*route) == rank).count();
            self.share_out(&rest[..same], 1.0 - FLOOR, &mut room);
            rest = &rest[same..];
        }
    }

    /// Whether a root request of the route is let in; shares are kept exactly, not by chance.
    pub fn admits(&mut self, route: &Arc<str>) -> bool {
        let share = self.shares.get(route).copied().unwrap_or(1.0);
        if share >= 0.999 {
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

    /// Whether everything is let in.
    pub fn is_open(&self) -> bool {
        self.shares.values().all(|share| *share >= 0.999)
    }

    /// Gives routes a further share, up to `most`, as far as every service of their trees has room for it.
    fn share_out(&mut self, routes: &[(&Arc<str>, f64)], most: f64, room: &mut Rates) {
        let mut wanted = Rates::new();
        for (route, rate) in routes {
            for (service, need) in self.needs.get(*route).into_iter().flatten() {
                *wanted.entry(service.clone()).or_default() += need * rate * most;
            }
        }
        for (route, rate) in routes {
            let needs = self.needs.get(*route);
            let part = needs.into_iter().flatten().map(|(service, _)| {
                let free = room.get(service).copied().unwrap_or(f64::INFINITY).max(0.0);
                (free / wanted[service].max(f64::MIN_POSITIVE)).min(1.0)
            });
            let part = part.fold(1.0, f64::min) * most;
            *self.shares.entry((*route).clone()).or_default() += part;
            wanted_by(needs, rate * part, room);
        }
    }

    fn learn(&mut self, demand: &Demand) {
        for (route, admitted) in &demand.admitted {
            if *admitted < ENOUGH {
                continue;
            }
            let needs = self.needs.entry(route.clone()).or_default();
            for (service, used) in &demand.used {
                let measured = used.get(route).copied().unwrap_or_default() / admitted;
                let need = needs.entry(service.clone()).or_insert(measured);
                *need += (measured - *need) * LEARN;
            }
        }
    }
}

/// Takes what a rate of root requests needs out of the room; the routes of one rank see the room before all of them.
fn wanted_by(needs: Option<&Rates>, rate: f64, room: &mut Rates) {
    for (service, need) in needs.into_iter().flatten() {
        if let Some(free) = room.get_mut(service) {
            *free -= need * rate;
        }
    }
}
