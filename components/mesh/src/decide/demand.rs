//! What comes and what is taken, summed up over nodes, and which routes are called by upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::members::{Member, Rates, Standing};

/// Requests at one service's nodes from which the lack of any says something: seldom seen to be none by chance.
const ENOUGH: f64 = 4.0;
/// Rate from which a service's upstreams count as calling a route.
const SOME: f64 = 1.0;
/// Part of a fair share that counts as none.
const NONE: f64 = 0.05;

/// Demand of many nodes at one moment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests that came to nodes, a second, by the service beside the node and by route.
    pub came: BTreeMap<Arc<str>, Rates>,
    /// Root requests that were let in, a second, by route.
    pub admitted: Rates,
    /// Slots taken, by service and by route of the root request.
    pub used: BTreeMap<Arc<str>, Rates>,
    /// Slots of each service.
    pub slots: Rates,
    /// Slot seconds that wait at each service.
    pub backlog: Rates,
}

impl Demand {
    /// Adds what a node measures.
    pub fn add(&mut self, member: &Member) {
        let Member { record, pulse } = member;
        sum(self.came.entry(record.service.clone()).or_default(), &pulse.came);
        sum(&mut self.admitted, &pulse.admitted);
        sum(self.used.entry(record.service.clone()).or_default(), &pulse.used);
        if record.standing == Standing::Ready {
            let load = pulse.load();
            let backlog = f64::from(load.waiting) * f64::from(load.held) / 1e6;
            *self.slots.entry(record.service.clone()).or_default() += f64::from(load.limit);
            *self.backlog.entry(record.service.clone()).or_default() += backlog;
        }
    }

    /// Adds the demand of other nodes.
    pub fn merge(&mut self, other: &Self) {
        for (service, came) in &other.came {
            sum(self.came.entry(service.clone()).or_default(), came);
        }
        for (service, used) in &other.used {
            sum(self.used.entry(service.clone()).or_default(), used);
        }
        sum(&mut self.admitted, &other.admitted);
        sum(&mut self.slots, &other.slots);
        sum(&mut self.backlog, &other.backlog);
    }

    /// Requests that came, a second, by route.
    pub fn offered(&self) -> Rates {
        let mut offered = Rates::new();
        for came in self.came.values() {
            sum(&mut offered, came);
        }
        offered
    }

    /// Factor for what a service's requests are said to want: more where some wait, which have to be worked off in
    /// `work_off` seconds; less where less than the part `busy` of the slots is taken, and nothing under the part
    /// `idle`, as then there is room, whatever is said.
    pub fn pressure(&self, service: &str, idle: f64, busy: f64, work_off: f64) -> f64 {
        let taken: f64 = self.used.get(service).map_or(0.0, |used| used.values().sum());
        let slots = self.slots.get(service).copied().unwrap_or_default();
        if taken <= 0.0 || slots <= 0.0 {
            return 1.0;
        }
        let backlog = self.backlog.get(service).copied().unwrap_or_default() / work_off;
        let load = (taken + backlog) / slots;
        ((load - idle) / (busy - idle)).clamp(0.0, 1.0) * (1.0 + backlog / taken)
    }

    /// Services whose upstreams make calls on the routes given.
    pub fn calling(&self, called: &BTreeSet<Arc<str>>) -> BTreeSet<Arc<str>> {
        let calls =
            |came: &Rates| came.iter().any(|(route, rate)| *rate >= SOME && called.contains(route));
        let services = self.came.iter().filter(|(_, came)| calls(came));
        services.map(|(service, _)| service.clone()).collect()
    }

    /// Brings up to date which routes upstreams call. Callers use all nodes alike, so a route of theirs comes to the
    /// nodes of every service; one that never comes to some service's nodes is called by the upstreams of others.
    pub fn called(&self, known: &mut BTreeSet<Arc<str>>) {
        let services = self.came.len();
        if services < 2 {
            return;
        }
        for (route, rate) in self.offered() {
            let fair = rate / services as f64;
            if fair < ENOUGH {
                continue;
            }
            let least = self.came.values().map(|came| came.get(&route).copied().unwrap_or(0.0));
            if least.fold(f64::INFINITY, f64::min) < fair * NONE {
                known.insert(route);
            } else {
                known.remove(&route);
            }
        }
    }
}

fn sum(into: &mut Rates, from: &Rates) {
    for (route, rate) in from {
        *into.entry(route.clone()).or_default() += rate;
    }
}
