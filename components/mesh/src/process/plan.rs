//! What this node measures of root requests, and the shares that follow from everybody's measurements.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decide::admission::{Admission, Demand};
use crate::decide::members::{Member, Pulse, Rates, Standing};
use crate::decide::meter::Meter;
use crate::decide::queue::Load;

/// Span over which rates fade.
const SPAN: Duration = Duration::from_millis(1_500);
/// Rates under this are left out of a pulse.
const LEAST: f64 = 0.05;

type Meters = HashMap<Arc<str>, Meter>;

/// Rates of this node and the shares that it goes by.
#[derive(Debug, Default)]
pub struct Plan {
    offered: Meters,
    admitted: Meters,
    used: Meters,
    /// The shares.
    pub admission: Admission,
}

impl Plan {
    /// Nothing is measured and everything let in.
    pub fn new() -> Self {
        Self::default()
    }

    /// A root request came; whether it is let in.
    pub fn admits(&mut self, route: &Arc<str>, now: Instant) -> bool {
        add(&mut self.offered, route, 1.0, now);
        let admitted = self.admission.admits(route);
        if admitted {
            add(&mut self.admitted, route, 1.0, now);
        }
        admitted
    }

    /// A slot of the upstream was held for a request of that root route.
    pub fn used(&mut self, route: &Arc<str>, held: Duration, now: Instant) {
        add(&mut self.used, route, held.as_secs_f64(), now);
    }

    /// The measurements for others.
    pub fn pulse(&self, load: Load, now: Instant) -> Pulse {
        Pulse {
            beat: 0,
            load: (load.running, load.waiting, load.limit, load.held),
            offered: rates(&self.offered, now),
            admitted: rates(&self.admitted, now),
            used: rates(&self.used, now),
        }
    }
}

/// Sums up what all nodes measure.
pub fn demand<'a>(members: impl Iterator<Item = (&'a Member, bool)>) -> Demand {
    let mut demand = Demand::default();
    for (member, silent) in members.filter(|(_, silent)| !silent) {
        debug_assert!(!silent);
        let Member { record, pulse } = member;
        sum(&mut demand.offered, &pulse.offered);
        sum(&mut demand.admitted, &pulse.admitted);
        let used: &mut Rates = demand.used.entry(record.service.clone()).or_default();
        sum(used, &pulse.used);
        if record.standing == Standing::Ready {
            let limit = f64::from(pulse.load().limit);
            *demand.slots.entry(record.service.clone()).or_default() += limit;
        }
    }
    demand
}

/// Shares under one as text, for the log.
pub fn describe(admission: &Admission, routes: &BTreeMap<Arc<str>, u8>) -> String {
    let low = routes.keys().map(|route| (route, admission.share(route)));
    let low: Vec<String> = low
        .filter(|(_, share)| *share < 0.999)
        .map(|(route, share)| format!("{route}={share:.2}"))
        .collect();
    low.join(" ")
}

fn add(meters: &mut Meters, route: &Arc<str>, size: f64, now: Instant) {
    meters.entry(route.clone()).or_insert_with(|| Meter::new(SPAN, now)).add(size, now);
}

fn rates(meters: &Meters, now: Instant) -> Rates {
    let rates = meters.iter().map(|(route, meter)| (route.clone(), meter.rate(now)));
    rates
        .filter(|(_, rate)| *rate >= LEAST)
        .map(|(route, rate)| (route, (rate * 100.0).round() / 100.0))
        .collect()
}

fn sum(into: &mut Rates, from: &Rates) {
    for (route, rate) in from {
        *into.entry(route.clone()).or_default() += rate;
    }
}
