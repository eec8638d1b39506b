//! Whole call trees at a service that sheds a share of its calls.
//!
//! A tree of k calls needs k s / (1 - s) retries to be completed, s being the share that the service sheds. Trees that
//! don't get them are lost with all the work done for them. While a service sheds, only as many trees are admitted as
//! the retries of the deployment can complete, more urgent ones first. Calls a tree and the load that the retries are a
//! share of are learned while the service sheds nothing.
//!
//! The estimate may be wrong. A small share of all trees is always admitted, so that there are calls from which the end
//! of the shedding is noticed, and trees of few calls are never refused here, as they may do without retries.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::budget;
use super::demand;
use super::members::Rates;
use super::meter::DecayingRate;

/// Time constants of the shed share, which is to be noticed and forgotten within a second, and of what is learned.
const SHED_TIME_CONSTANT: Duration = Duration::from_millis(400);
const LEARNING_TIME: Duration = Duration::from_secs(5);
/// Shed shares from which a service counts as shedding, under which it no longer does, and up to which it is learned from.
const SHEDDING: f64 = 0.2;
const RECOVERED: f64 = 0.1;
const QUIET: f64 = 0.05;
/// Share of each class that is admitted in any case.
const PROBE_SHARE: f64 = 0.05;
/// Calls a tree from which trees are refused: of trees of two calls, one in five succeeds without any retry while half of
/// the calls are shed.
const MIN_CALLS: f64 = 2.5;
/// Rates per second below which nothing is reported or learned.
const MIN_RATE: f64 = 0.05;
const MIN_LEARNED_RATE: f64 = 0.5;

/// Calls to one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceCalls {
    /// First attempts per second, by class of the root request.
    pub firsts: Rates,
    /// Attempts per second.
    pub attempts: f64,
    /// Attempts per second that were shed.
    pub shed: f64,
}

/// Calls by service.
pub type Calls = BTreeMap<Arc<str>, ServiceCalls>;

/// Adds the calls of other nodes.
pub fn add(into: &mut Calls, from: &Calls) {
    for (service, calls) in from {
        let sum = into.entry(service.clone()).or_default();
        for (class, rate) in &calls.firsts {
            *sum.firsts.entry(class.clone()).or_default() += rate;
        }
        sum.attempts += calls.attempts;
        sum.shed += calls.shed;
    }
}

/// Rounds all figures to hundredths.
pub fn round(calls: &mut Calls) {
    for calls in calls.values_mut() {
        let rates = calls.firsts.values_mut().chain([&mut calls.attempts, &mut calls.shed]);
        rates.for_each(|rate| *rate = (*rate * 100.0).round() / 100.0);
    }
}

/// Whether all figures can be of a deployment.
pub fn is_plausible(calls: &Calls) -> bool {
    calls.values().all(|calls| {
        let sums = Rates::from([("a".into(), calls.attempts), ("s".into(), calls.shed)]);
        demand::is_plausible(&calls.firsts) && demand::is_plausible(&sums)
    })
}

#[derive(Debug)]
struct Meter {
    firsts: HashMap<Arc<str>, DecayingRate>,
    attempts: DecayingRate,
    shed: DecayingRate,
}

/// Calls that this node sends, by service.
#[derive(Debug, Default)]
pub struct CallMeter(HashMap<Arc<str>, Meter>);

impl CallMeter {
    /// Counts the first attempt of a call of a tree.
    pub fn record_first(&mut self, service: &Arc<str>, class: &Arc<str>, now: Instant) {
        let meter = self.meter(service, now);
        meter.attempts.add(1.0, now);
        let rate = || DecayingRate::new(SHED_TIME_CONSTANT, now);
        meter.firsts.entry(class.clone()).or_insert_with(rate).add(1.0, now);
    }

    /// Counts an attempt that was shed, and the one that follows it if the call is `retried`.
    pub fn record_shed(&mut self, service: &Arc<str>, retried: bool, now: Instant) {
        let meter = self.meter(service, now);
        meter.shed.add(1.0, now);
        meter.attempts.add(f64::from(u8::from(retried)), now);
    }

    /// The calls to report.
    pub fn report(&self, now: Instant) -> Calls {
        let calls = self.0.iter().map(|(service, meter)| {
            let firsts = meter.firsts.iter().map(|(class, rate)| (class.clone(), rate.rate(now)));
            let firsts = firsts.filter(|(_, rate)| *rate >= MIN_RATE).collect();
            let (attempts, shed) = (meter.attempts.rate(now), meter.shed.rate(now));
            (service.clone(), ServiceCalls { firsts, attempts, shed })
        });
        let mut calls: Calls = calls.filter(|(_, calls)| calls.attempts >= MIN_RATE).collect();
        round(&mut calls);
        calls
    }

    fn meter(&mut self, service: &Arc<str>, now: Instant) -> &mut Meter {
        self.0.entry(service.clone()).or_insert_with(|| Meter {
            firsts: HashMap::new(),
            attempts: DecayingRate::new(SHED_TIME_CONSTANT, now),
            shed: DecayingRate::new(SHED_TIME_CONSTANT, now),
        })
    }
}

/// What is known of a service.
#[derive(Debug, Clone, Default)]
struct Learned {
    /// First attempts and admitted trees per second, by class, while the service sheds nothing.
    firsts: Rates,
    admitted: Rates,
    shedding: bool,
    updated_at: Option<Instant>,
}

/// Trees that can be completed.
#[derive(Debug, Clone, Default)]
pub struct Trees {
    /// Retries per request that the deployment allows; none if it says nothing.
    ratio: Option<f64>,
    services: BTreeMap<Arc<str>, Learned>,
}

impl Trees {
    /// Nothing learned so far.
    pub fn new(ratio: f64) -> Self {
        Self { ratio: Some(ratio), ..Self::default() }
    }

    /// Learns from the sums of all nodes, and returns the shares of classes whose trees can't all be completed.
    /// `classes` are those of clients with their offered rates, most urgent first.
    pub fn limit(
        &mut self,
        calls: &Calls,
        admitted: &Rates,
        classes: &[(Arc<str>, f64)],
        now: Instant,
    ) -> Rates {
        let mut shares = Rates::new();
        let Some(ratio) = self.ratio else { return shares };
        for (service, calls) in calls {
            let learned = self.services.entry(service.clone()).or_default();
            let shed = (calls.shed / (calls.attempts + 1.0)).min(0.99);
            learned.shedding = shed >= if learned.shedding { RECOVERED } else { SHEDDING };
            if shed < QUIET {
                learned.learn(&calls.firsts, admitted, now);
            }
            if learned.shedding {
                learned.limit(ratio, shed, classes, &mut shares);
            }
        }
        shares
    }
}

impl Learned {
    fn learn(&mut self, firsts: &Rates, admitted: &Rates, now: Instant) {
        let passed = self.updated_at.map_or(LEARNING_TIME, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        let weight = 1.0 - (-passed.as_secs_f64() / LEARNING_TIME.as_secs_f64()).exp();
        for (known, rates) in [(&mut self.firsts, firsts), (&mut self.admitted, admitted)] {
            known.values_mut().for_each(|rate| *rate *= 1.0 - weight);
            for (class, rate) in rates {
                *known.entry(class.clone()).or_default() += rate * weight;
            }
            known.retain(|_, rate| *rate >= MIN_RATE);
        }
    }

    /// Calls a tree of a class.
    fn calls(&self, class: &str) -> Option<f64> {
        let admitted = self.admitted.get(class).filter(|rate| **rate >= MIN_LEARNED_RATE)?;
        Some(self.firsts.get(class)? / admitted)
    }

    /// Lowers the shares of classes for whose trees there are no retries.
    fn limit(&self, ratio: f64, shed: f64, classes: &[(Arc<str>, f64)], shares: &mut Rates) {
        let load: f64 = self.firsts.values().sum();
        let mut left = ratio * budget::LEAF_SHARE * load;
        for (class, offered) in classes {
            let Some(calls) = self.calls(class) else { continue };
            let needed = offered * calls * shed / (1.0 - shed);
            let share = if needed > left { left / needed } else { 1.0 };
            left -= needed * share;
            if calls < MIN_CALLS {
                continue;
            }
            let share = share.max(PROBE_SHARE);
            let known = shares.entry(class.clone()).or_insert(1.0);
            *known = known.min(share);
        }
    }
}
