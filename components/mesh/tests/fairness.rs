//! Division of an overloaded class among its tenants, with the measurements of all nodes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use mesh::decide::demand::Demand;
use mesh::decide::fairness::{Division, Tenants};
use mesh::decide::members::Rates;
use mesh::decide::queue::Load;
use mesh::process::traffic::Traffic;

const NODES: usize = 79;
const ZONES: usize = 4;
const SLOT_SECS: f64 = 0.1;
/// Share of the slots that is allocated, and the load without a surge as a share of that.
const ALLOCATED: f64 = 0.92;
const USUAL_LOAD: f64 = 0.95;
const SURGE_SECS: std::ops::Range<f64> = 12.0..20.0;
const PLAN_MS: u64 = 500;
/// Least part of what a tenant gets without the surge.
const LEAST_PART: f64 = 0.9;

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }
}

/// Requests of each tenant during the surge, and those of them that were admitted.
type Served = Vec<[u32; 2]>;

/// Tenants with these usual rates, those in `hot` with a factor during the surge, whose requests are of the class given.
struct Site<'a> {
    rates: &'a [f64],
    hot: &'a [(usize, f64)],
    class: &'a dyn Fn(usize) -> &'static str,
}

impl Site<'_> {
    fn play(&self, with_surge: bool) -> Served {
        let (start, mut random) = (Instant::now(), Random(5));
        let mut nodes: Vec<Traffic> = (0..NODES).map(|_| Traffic::new()).collect();
        let names: Vec<Arc<str>> =
            (0..self.rates.len()).map(|index| format!("tenant-{index}").into()).collect();
        let classes: Vec<Arc<str>> =
            (0..self.rates.len()).map(|index| (self.class)(index).into()).collect();
        let mut served = vec![[0; 2]; self.rates.len()];
        let mut next = Vec::new();
        for (tenant, rate) in self.rates.iter().enumerate() {
            let mut at = 0.0;
            while at < SURGE_SECS.end {
                let surging = with_surge && SURGE_SECS.contains(&at);
                let hot = self.hot.iter().find(|(hot, _)| surging && *hot == tenant);
                let factor = hot.map_or(1.0, |(_, factor)| *factor);
                at += -(1.0 - random.next()).ln() / (rate * factor);
                next.push((at, tenant));
            }
        }
        next.sort_by(|one, two| one.0.total_cmp(&two.0));
        let slots = self.rates.iter().sum::<f64>() * SLOT_SECS / USUAL_LOAD / ALLOCATED;
        let mut planned_ms = 0;
        for (at, tenant) in next {
            let now = start + Duration::from_secs_f64(at);
            if at * 1_000.0 >= planned_ms as f64 {
                plan(&mut nodes, slots, start + Duration::from_millis(planned_ms));
                planned_ms += PLAN_MS;
            }
            let node = &mut nodes[(random.next() * NODES as f64) as usize];
            let class = &classes[tenant];
            node.record_arrival(class, now);
            node.record_tenant(class, &names[tenant], now);
            let left = Duration::from_secs(3);
            let admitted = node.try_admit(class, Some(&names[tenant]), left, now);
            if SURGE_SECS.contains(&at) {
                served[tenant][0] += 1;
                served[tenant][1] += u32::from(admitted);
            }
        }
        served
    }

    /// Rate up to which all tenants can be served during the surge, were all rates known.
    fn fair_level(&self) -> f64 {
        let mut rates = self.rates.to_vec();
        self.hot.iter().for_each(|(hot, factor)| rates[*hot] *= factor);
        rates.sort_by(f64::total_cmp);
        let mut capacity = self.rates.iter().sum::<f64>() / USUAL_LOAD;
        for (index, rate) in rates.iter().enumerate() {
            let level = capacity / (rates.len() - index) as f64;
            if level < *rate {
                return level;
            }
            capacity -= rate;
        }
        f64::INFINITY
    }

    /// For each tenant that isn't hot and is within its fair share, the share that is served in the surge over the one without it.
    fn parts(&self) -> Vec<f64> {
        let (before, during) = (self.play(false), self.play(true));
        let share = |[all, admitted]: [u32; 2]| f64::from(admitted) / f64::from(all.max(1));
        let level = self.fair_level();
        let is_hot = |index: &usize| self.hot.iter().any(|hot| hot.0 == *index);
        let others = (0..self.rates.len()).filter(|index| !is_hot(index));
        let others = others.filter(|index| self.rates[*index] <= level);
        let mut parts: Vec<f64> =
            others.map(|index| share(during[index]) / share(before[index]).max(0.01)).collect();
        parts.sort_by(f64::total_cmp);
        let tenth = parts.len().div_ceil(10);
        let worst = parts[..tenth].iter().sum::<f64>() / tenth as f64;
        for (hot, _) in self.hot {
            println!("hot tenant {hot}: {:?} before, {:?} during", before[*hot], during[*hot]);
        }
        println!(
            "{} within {level:.0}/s: worst {:.3}, worst tenth {worst:.3}",
            parts.len(),
            parts[0]
        );
        parts
    }
}

/// Plans at all nodes with sums that are made zone by zone.
fn plan(nodes: &mut [Traffic], slots: f64, now: Instant) {
    let mut demand = Demand::default();
    for zone in 0..ZONES {
        let mut sum = Demand::default();
        for node in nodes.iter().skip(zone).step_by(ZONES) {
            let measured = node.measurements(Load::default(), now);
            let half = |rates: &Rates| -> Rates {
                rates.iter().map(|(class, rate)| (class.clone(), rate / 2.0)).collect()
            };
            let arrivals = ["front", "stock"].map(|name| (name.into(), half(&measured.arrivals)));
            let used =
                measured.admitted.iter().map(|(class, rate)| (class.clone(), rate * SLOT_SECS));
            sum.merge(&Demand {
                arrivals: arrivals.into(),
                used: BTreeMap::from([("stock".into(), used.collect())]),
                admitted: measured.admitted,
                tenants: measured.tenants,
                ..Demand::default()
            });
        }
        sum.round();
        demand.merge(&sum);
    }
    let used: f64 = demand.used.values().flat_map(|used| used.values()).sum();
    demand.slots.insert("stock".into(), slots);
    demand.backlog.insert("stock".into(), (used - slots).max(0.0));
    let priorities = BTreeMap::from([("list".into(), 2), ("order".into(), 0)]);
    nodes.iter_mut().for_each(|node| node.plan(&demand, &priorities, now));
}

/// 82 tenants, of which the largest sends 40 times as much as the smallest.
fn sizes() -> Vec<f64> {
    (0..82).map(|index| 3.0 * 40_f64.powf(f64::from(index) / 81.0)).collect()
}

/// Guards against one tenant's surge at the expense of all others.
#[gtest]
fn one_hot_tenant_takes_nothing_from_others() {
    let site = Site { rates: &sizes(), hot: &[(50, 8.0)], class: &|_| "list" };
    expect_that!(site.parts(), each(ge(&LEAST_PART)));
}

#[gtest]
fn three_hot_tenants_take_nothing_from_others() {
    let hot = [(40, 8.0), (50, 8.0), (60, 8.0)];
    let site = Site { rates: &sizes(), hot: &hot, class: &|_| "list" };
    expect_that!(site.parts(), each(ge(&LEAST_PART)));
}

/// Guards against a hot tenant that takes from others of its priority.
#[gtest]
fn a_hot_tenant_of_high_priority_takes_nothing_from_its_peers() {
    let rates = sizes();
    let class = |index: usize| if index % 4 == 2 { "order" } else { "list" };
    let site = Site { rates: &rates, hot: &[(50, 8.0)], class: &class };
    let (before, during) = (site.play(false), site.play(true));
    site.parts();
    for index in (0..rates.len()).filter(|index| index % 4 == 2 && *index != 50) {
        let share = |[all, admitted]: [u32; 2]| f64::from(admitted) / f64::from(all);
        expect_that!(share(during[index]), ge(LEAST_PART * share(before[index])));
    }
}

/// Guards against heavy tenants that can't be told from ten thousand light ones with bounded state.
#[gtest]
fn a_hot_tenant_takes_nothing_from_ten_thousand_light_ones() {
    let mut rates = vec![1.0; 10_000];
    rates[17] = 100.0;
    let site = Site { rates: &rates, hot: &[(17, 20.0)], class: &|_| "list" };
    let (before, during) = (site.play(false), site.play(true));
    // A tenant sends eight requests in the surge, too few for a share of its own.
    let share = |served: &Served| {
        let others = served.iter().enumerate().filter(|(index, _)| *index != 17);
        let sums = others.fold([0, 0], |sum, (_, one)| [sum[0] + one[0], sum[1] + one[1]]);
        f64::from(sums[1]) / f64::from(sums[0])
    };
    println!("light ones {:.3} before, {:.3} during", share(&before), share(&during));
    println!("hot one {:?} before, {:?} during", before[17], during[17]);
    expect_that!(share(&during), ge(LEAST_PART * share(&before)));
}

/// Guards against reports and sums that grow with the number of tenants.
#[gtest]
fn reports_and_sums_are_bounded() {
    let (now, mut tenants) = (Instant::now(), Tenants::default());
    for number in 0..20_000 {
        tenants.record(&"list".into(), &format!("tenant-{number}").into(), now);
    }
    for _ in 0..50 {
        tenants.record(&"list".into(), &"tenant-3".into(), now);
    }
    let report = tenants.report(now);
    expect_that!(report["list"].len(), le(33));
    expect_that!(report["list"].contains_key("tenant-3"), eq(true));
    let mut sum = Demand::default();
    for index in 0..1_000 {
        let rates = Rates::from([(format!("tenant-{index}").into(), f64::from(index))]);
        let tenants = BTreeMap::from([("list".into(), rates)]);
        sum.merge(&Demand { tenants, ..Demand::default() });
    }
    sum.round();
    expect_that!(sum.tenants["list"].len(), le(128));
    tenants.sweep(now + Duration::from_secs(30));
    expect_that!(tenants.report(now + Duration::from_secs(30)).is_empty(), eq(true));
}

/// Guards against figures that make no sense: none, zero and huge.
#[gtest]
fn a_division_copes_with_any_figures() {
    let rates = |rates: &[(&str, f64)]| -> Rates {
        rates.iter().map(|(tenant, rate)| ((*tenant).into(), *rate)).collect()
    };
    for share in [0.0, 0.5, 1.0] {
        for figures in [&[][..], &[("", 0.0)], &[("a", 0.0), ("b", 1e9)], &[("", 5.0), ("a", 9.0)]]
        {
            let division = Division::new(&rates(figures), share);
            for tenant in ["a", "b", "new"] {
                expect_that!(division.share(tenant), all!(ge(0.0), le(1.0)));
            }
        }
    }
    let division =
        Division::new(&rates(&[("", 100.0), ("a", 10.0), ("b", 20.0), ("c", 70.0)]), 0.6);
    expect_that!(division.share("b"), eq(1.0));
    expect_that!(division.share("c"), near(30.0 / 70.0, 1e-9));
}
