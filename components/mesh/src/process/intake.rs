//! What this node measures of root requests, and the shares that follow from everybody's measurements.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decide::admission::Admission;
use crate::decide::demand::Demand;
use crate::decide::members::{Pulse, Rates};
use crate::decide::meter::Meter;
use crate::decide::queue::Load;

/// Span over which rates fade.
const SPAN: Duration = Duration::from_millis(800);
/// Rates under this are left out of a pulse.
const LEAST: f64 = 0.05;

type Meters = HashMap<Arc<str>, Meter>;

/// Rates of this node and the shares that it goes by.
#[derive(Debug, Default)]
pub struct Intake {
    came: Meters,
    admitted: Meters,
    used: Meters,
    /// When the shares were worked out.
    planned: Option<Instant>,
    /// The shares.
    pub admission: Admission,
}

impl Intake {
    /// Nothing is measured and everything let in.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request came from a caller or the upstream.
    pub fn came(&mut self, route: &Arc<str>, now: Instant) {
        add(&mut self.came, route, 1.0, now);
    }

    /// Whether a root request is let in.
    pub fn admits(&mut self, route: &Arc<str>, now: Instant) -> bool {
        let admitted = self.admission.admits(route);
        if admitted {
            add(&mut self.admitted, route, 1.0, now);
        }
        admitted
    }

    /// Works the shares out anew.
    pub fn plan(&mut self, demand: &Demand, ranks: &BTreeMap<Arc<str>, u8>, now: Instant) {
        self.admission.plan(demand, ranks, now);
        self.planned = Some(now);
    }

    /// Age of the shares.
    pub fn plan_age(&self, now: Instant) -> Duration {
        self.planned.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
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
            came: rates(&self.came, now),
            admitted: rates(&self.admitted, now),
            used: rates(&self.used, now),
        }
    }
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

/// Slots taken, waiting and there, by service, for the log.
pub fn loads(demand: &Demand) -> String {
    let loads = demand.slots.iter().map(|(service, slots)| {
        let used: f64 = demand.used.get(service).map_or(0.0, |used| used.values().sum());
        let backlog = demand.backlog.get(service).copied().unwrap_or_default();
        format!("{service}={used:.1}+{backlog:.1}/{slots:.0}")
    });
    loads.collect::<Vec<_>>().join(" ")
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
