//! Divides what is admitted of a class among its tenants over all nodes (max-min).
//!
//! Each node reports the rates of its heaviest tenants, and delegates sum them. Every entry computes from the sums the
//! level up to which a tenant is admitted in full; a tenant above it is admitted in proportion. A surge of one tenant is
//! then at that tenant's expense. Tenants that are in no sum are light ones; the sum of all is reported as well, so that
//! what they send together is known.
//!
//! Designed for ten thousand tenants of one request a second as well as for some that send a thousand.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::members::Rates;
use super::meter::DecayingRate;

/// Time constant of the tenants' rates: at a node, a tenant of 20 requests a second over all nodes is seen every few
/// seconds, but the sum over nodes has some tens of its requests.
const TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Rates per second below this are forgotten.
const MIN_RATE: f64 = 0.05;
/// Most tenants of all classes that a node keeps rates of, and of which it reports the heaviest.
const MAX_TRACKED: usize = 1_024;
const MAX_REPORTED: usize = 32;
/// Most tenants of all classes in a sum.
const MAX_SUMMED: usize = 128;
/// Name under which the sum of all tenants is reported; tenants have no empty names.
const ALL: &str = "";

/// Requests per second, by class and tenant.
pub type TenantRates = BTreeMap<Arc<str>, Rates>;

/// Rates of tenants at one node.
#[derive(Debug, Default)]
pub struct Tenants {
    classes: HashMap<Arc<str>, HashMap<Arc<str>, DecayingRate>>,
    tracked: usize,
}

impl Tenants {
    /// Counts a root request of a tenant.
    pub fn record(&mut self, class: &Arc<str>, tenant: &Arc<str>, now: Instant) {
        let rates = self.classes.entry(class.clone()).or_default();
        let new = || DecayingRate::new(TIME_CONSTANT, now);
        match rates.get_mut(ALL) {
            Some(rate) => rate.add(1.0, now),
            None => rates.entry(ALL.into()).or_insert_with(new).add(1.0, now),
        }
        if let Some(rate) = rates.get_mut(tenant) {
            rate.add(1.0, now);
        } else if self.tracked < MAX_TRACKED {
            self.tracked += 1;
            let mut rate = new();
            rate.add(1.0, now);
            rates.insert(tenant.clone(), rate);
        }
    }

    /// Forgets tenants that send next to nothing.
    pub fn sweep(&mut self, now: Instant) {
        for rates in self.classes.values_mut() {
            rates.retain(|_, rate| rate.rate(now) >= MIN_RATE);
        }
        self.classes.retain(|_, rates| !rates.is_empty());
        let tracked = self.classes.values().map(|rates| rates.len().saturating_sub(1));
        self.tracked = tracked.sum();
    }

    /// The rates to report.
    pub fn report(&self, now: Instant) -> TenantRates {
        let mut report = TenantRates::new();
        for (class, rates) in &self.classes {
            let rates = rates.iter().map(|(tenant, rate)| (tenant.clone(), rate.rate(now)));
            report.insert(class.clone(), rates.filter(|(_, rate)| *rate >= MIN_RATE).collect());
        }
        keep_heaviest(&mut report, MAX_REPORTED);
        report
    }
}

/// Drops the lightest tenants of a sum.
pub fn trim(rates: &mut TenantRates) {
    keep_heaviest(rates, MAX_SUMMED);
}

fn keep_heaviest(rates: &mut TenantRates, most: usize) {
    let tenants = |rates: &TenantRates| -> Vec<f64> {
        let all = rates.values().flatten();
        all.filter(|(tenant, _)| ***tenant != *ALL).map(|(_, rate)| *rate).collect()
    };
    let mut heaviest = tenants(rates);
    if heaviest.len() > most {
        heaviest.sort_by(|one, two| two.total_cmp(one));
        let least = heaviest[most];
        for rates in rates.values_mut() {
            // Tenants as light as the first dropped one are dropped, so that the bound holds.
            rates.retain(|tenant, rate| **tenant == *ALL || *rate > least);
        }
    }
    for rate in rates.values_mut().flat_map(|rates| rates.values_mut()) {
        *rate = (*rate * 100.0).round() / 100.0;
    }
    rates.retain(|_, rates| !rates.is_empty());
}

/// Division of a class among its tenants.
#[derive(Debug, Clone, PartialEq)]
pub struct Division {
    rates: Rates,
    /// Rate up to which a tenant is admitted in full.
    level: f64,
    /// Share of what is below the level, if the level alone doesn't suffice: where there are many light tenants.
    factor: f64,
}

impl Division {
    /// Divides the share of a class that is admitted.
    pub fn new(rates: &Rates, share: f64) -> Self {
        let mut known: Vec<f64> =
            rates.iter().filter(|(tenant, _)| ***tenant != *ALL).map(|(_, rate)| *rate).collect();
        known.sort_by(f64::total_cmp);
        let sum: f64 = known.iter().sum();
        let all = rates.get(ALL).copied().unwrap_or_default().max(sum);
        let (rest, mut capacity) = (all - sum, share * all);
        // A tenant that is in no sum is lighter than all known ones.
        let least = known.first().copied().unwrap_or_default();
        let smallest = if rest > 0.0 { rest + least * known.len() as f64 } else { 0.0 };
        if smallest > 0.0 && capacity <= smallest {
            return Self { rates: rates.clone(), level: least, factor: capacity / smallest };
        }
        capacity -= rest;
        let mut level = f64::INFINITY;
        for (index, rate) in known.iter().enumerate() {
            let equal = capacity / (known.len() - index) as f64;
            if equal < *rate {
                level = equal.max(0.0);
                break;
            }
            capacity -= rate;
        }
        Self { rates: rates.clone(), level, factor: 1.0 }
    }

    /// Share of a tenant's requests that is admitted.
    pub fn share(&self, tenant: &str) -> f64 {
        let above = self.rates.get(tenant).filter(|rate| **rate > self.level);
        above.map_or(1.0, |rate| self.level / rate) * self.factor
    }
}
