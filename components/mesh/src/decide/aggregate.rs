//! Sums of measurements, which travel between failure domains and regions in place of the measurements.
//!
//! The nodes of a failure domain report to its delegate, which sums what they report; the delegate of a region merges the
//! sums of its failure domains. Each node then gets one sum for each region, whatever the number of nodes. A sum replaces
//! an earlier one only once it is complete: a delegate that has just been started, or has just taken over, knows few
//! nodes at first, and plans made with these alone would refuse nearly everything or nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::demand::Demand;
use super::members::{self, Measurements, Member};

/// Age up to which a report counts. Longer than two exchanges that fail, and than a busy node delays one.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Age up to which the sum of a failure domain is merged into that of its region.
const DOMAIN_MAX_AGE: Duration = Duration::from_secs(3);
/// Time for which an incomplete sum is held back.
const HOLD_TIME: Duration = Duration::from_millis(1_500);
/// Age at which a sum is ignored.
const MAX_AGE: Duration = Duration::from_secs(8);
/// Most nodes that a sum can hold.
const MAX_NODES: u32 = 1_000_000;
/// Age from which the sum of another delegate is taken although it holds fewer nodes.
const SUPERSEDED_AGE: Duration = Duration::from_millis(1_500);

/// Demand of a failure domain or region, as its delegate has summed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The delegate, the incarnation of its process, and the number of the sum in it.
    pub from: Arc<str>,
    /// Incarnation of the delegate's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the sum in that incarnation.
    pub sequence: u64,
    /// Nodes whose reports it holds.
    pub nodes: u32,
    /// Time since it was computed, in milliseconds, when the message that holds it was sent.
    pub age_ms: u64,
    /// The demand.
    pub demand: Demand,
    /// Nodes that have been silent for long.
    pub silent: Vec<Arc<str>>,
}

/// Stamps of sums, by failure domain or region.
pub type Stamps = BTreeMap<Arc<str>, u64>;

impl Summary {
    /// Whether all figures can be of a deployment.
    pub fn is_plausible(&self) -> bool {
        self.demand.is_plausible()
            && self.nodes <= MAX_NODES
            && self.incarnation <= members::MAX_INCARNATION
    }

    /// Tells this sum from others.
    fn stamp(&self) -> u64 {
        let seed = self.incarnation.rotate_left(32) ^ self.sequence;
        xxh3::xxh3_64_with_seed(self.from.as_bytes(), seed)
    }
}

/// A sum with its age by this node's clock.
#[derive(Debug, Clone)]
struct Held {
    summary: Summary,
    computed_at: Instant,
    /// The node that sent it; none if it was computed here.
    source: Option<Arc<str>>,
}

impl Held {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.computed_at)
    }

    /// Whether another sum, computed at `computed_at`, takes the place of this one.
    fn is_replaced_by(&self, other: &Summary, now: Instant) -> bool {
        let held = &self.summary;
        if self.age(now) > MAX_AGE {
            return true;
        }
        if held.from == other.from {
            return (other.incarnation, other.sequence) > (held.incarnation, held.sequence);
        }
        // Where two nodes take themselves for the delegate, all readers have to choose the same.
        let preferred = (other.nodes, &held.from) > (held.nodes, &other.from);
        preferred || self.age(now) > SUPERSEDED_AGE
    }
}

/// The latest sum of each failure domain, or of each region.
#[derive(Debug, Clone, Default)]
pub struct Summaries(BTreeMap<Arc<str>, Held>);

impl Summaries {
    /// Takes a sum that another node has sent; false if the known one is better.
    pub fn offer(
        &mut self,
        name: &Arc<str>,
        summary: Summary,
        source: &Arc<str>,
        now: Instant,
    ) -> bool {
        let age = Duration::from_millis(summary.age_ms);
        let Some(computed_at) = now.checked_sub(age).filter(|_| age < MAX_AGE) else {
            return false;
        };
        if self.0.get(name).is_some_and(|held| !held.is_replaced_by(&summary, now)) {
            return false;
        }
        let source = Some(source.clone());
        self.0.insert(name.clone(), Held { summary, computed_at, source });
        true
    }

    /// The sums to send to a node that knows those with the stamps `known`, with their ages.
    pub fn unknown_to(
        &self,
        reader: &str,
        known: &Stamps,
        now: Instant,
    ) -> BTreeMap<Arc<str>, Summary> {
        let is_known = |name: &Arc<str>, held: &Held| {
            held.source.as_deref() == Some(reader)
                || *held.summary.from == *reader
                || known.get(name) == Some(&held.summary.stamp())
        };
        let fresh = self.0.iter().filter(|(_, held)| held.age(now) < MAX_AGE);
        let aged = fresh.filter(|(name, held)| !is_known(name, held)).map(|(name, held)| {
            let age_ms = held.age(now).as_millis() as u64;
            (name.clone(), Summary { age_ms, ..held.summary.clone() })
        });
        aged.collect()
    }

    /// Stamps of the known sums.
    pub fn stamps(&self) -> Stamps {
        let stamps = self.0.iter().map(|(name, held)| (name.clone(), held.summary.stamp()));
        stamps.collect()
    }

    /// Demand of all sums together.
    pub fn demand(&self, now: Instant) -> Demand {
        let mut demand = Demand::default();
        for held in self.0.values().filter(|held| held.age(now) < MAX_AGE) {
            demand.merge(&held.summary.demand);
        }
        demand
    }

    /// The nodes that a sum lists as silent.
    pub fn silent(&self, name: &str) -> Vec<Arc<str>> {
        self.0.get(name).map(|held| held.summary.silent.clone()).unwrap_or_default()
    }

    /// Takes a sum that was computed here, unless the one of another delegate is better.
    fn publish(&mut self, name: &Arc<str>, own: Held, now: Instant) {
        if self.0.get(name).is_none_or(|held| held.is_replaced_by(&own.summary, now)) {
            self.0.insert(name.clone(), own);
        }
    }

    fn fresh(&self, name: &str, max_age: Duration, now: Instant) -> Option<&Held> {
        self.0.get(name).filter(|held| held.age(now) <= max_age)
    }

    /// Time since a sum was computed.
    pub fn age(&self, name: &str, now: Instant) -> Option<Duration> {
        self.0.get(name).map(|held| held.age(now))
    }
}

/// A node whose reports are summed.
pub struct Reporter<'a> {
    /// The node.
    pub member: &'a Member,
    /// Whether it has been silent for long.
    pub silent: bool,
}

/// Reports of the nodes in this failure domain, and sums.
#[derive(Debug, Default)]
pub struct Aggregates {
    /// What this node sums up, in its own view.
    pub duties: Duties,
    reports: HashMap<Arc<str>, Report>,
    /// Sums of the failure domains of this region.
    pub domains: Summaries,
    /// Sums of the regions.
    pub regions: Summaries,
    sequence: u64,
    /// What the sums computed here lack.
    domain_gap: Gap,
    region_gap: Gap,
}

/// What a sum lacks.
#[derive(Debug, Default)]
struct Gap {
    since: Option<Instant>,
    /// Nodes without a report, or failure domains without a sum, although they are not silent.
    missing: Vec<Arc<str>>,
}

impl Gap {
    /// Updates the gap; returns whether a sum that lacks these parts is passed on.
    fn update(&mut self, missing: Vec<Arc<str>>, now: Instant) -> bool {
        self.missing = missing;
        if self.missing.is_empty() {
            self.since = None;
            return true;
        }
        let since = *self.since.get_or_insert(now);
        now.saturating_duration_since(since) >= HOLD_TIME
    }
}

/// What a node sums up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Duties {
    /// Its failure domain.
    pub domain: bool,
    /// Its region.
    pub region: bool,
}

#[derive(Debug)]
struct Report {
    incarnation: u64,
    measurements: Measurements,
    received_at: Instant,
}

/// The node that computes sums.
#[derive(Debug, Clone)]
pub struct Delegate {
    /// Its name.
    pub node: Arc<str>,
    /// Incarnation of its process.
    pub incarnation: u64,
}

impl Aggregates {
    /// Records what a node measured.
    pub fn record_report(
        &mut self,
        node: &Arc<str>,
        incarnation: u64,
        measurements: Measurements,
        now: Instant,
    ) {
        let report = Report { incarnation, measurements, received_at: now };
        self.reports.insert(node.clone(), report);
    }

    /// What a node measured last.
    pub fn report(&self, node: &str) -> Option<&Measurements> {
        self.reports.get(node).map(|report| &report.measurements)
    }

    /// Drops reports that no sum will hold.
    pub fn sweep(&mut self, now: Instant) {
        self.reports.retain(|_, report| {
            now.saturating_duration_since(report.received_at) <= REPORT_MAX_AGE
        });
    }

    /// Sums the reports of the nodes of a failure domain.
    pub fn sum_domain<'a>(
        &mut self,
        domain: &Arc<str>,
        delegate: &Delegate,
        members: impl Iterator<Item = Reporter<'a>>,
        now: Instant,
    ) {
        let (mut demand, mut silent) = (Demand::default(), Vec::new());
        let (mut nodes, mut missing) = (0, Vec::new());
        for Reporter { member, silent: is_silent } in members {
            let record = &member.record;
            let report = self.reports.get(&record.node).filter(|report| {
                report.incarnation == record.incarnation
                    && now.saturating_duration_since(report.received_at) <= REPORT_MAX_AGE
            });
            match report {
                Some(report) => {
                    demand.add(record, &report.measurements);
                    nodes += 1;
                }
                None if is_silent => silent.push(record.node.clone()),
                None => missing.push(record.node.clone()),
            }
        }
        if self.domain_gap.update(missing, now) {
            self.sequence += 1;
            let held = held(delegate, self.sequence, (nodes, demand, silent), now);
            self.domains.publish(domain, held, now);
        }
    }

    /// Merges the sums of a region's failure domains, of which those in `present` have nodes that are not silent; `silent`
    /// are all nodes of the region that are.
    pub fn sum_region(
        &mut self,
        region: &Arc<str>,
        delegate: &Delegate,
        (present, silent): (BTreeSet<Arc<str>>, Vec<Arc<str>>),
        now: Instant,
    ) {
        let mut demand = Demand::default();
        let (mut nodes, mut missing) = (0_u32, Vec::new());
        for domain in present {
            let Some(held) = self.domains.fresh(&domain, DOMAIN_MAX_AGE, now) else {
                missing.push(domain);
                continue;
            };
            demand.merge(&held.summary.demand);
            nodes = nodes.saturating_add(held.summary.nodes);
        }
        if self.region_gap.update(missing, now) {
            self.sequence += 1;
            let held = held(delegate, self.sequence, (nodes, demand, silent), now);
            self.regions.publish(region, held, now);
        }
    }

    /// Nodes of the failure domain whose reports its sum lacks.
    pub fn missing_nodes(&self) -> &[Arc<str>] {
        if self.duties.domain { &self.domain_gap.missing } else { &[] }
    }

    /// Failure domains whose sums the region's sum lacks.
    pub fn missing_domains(&self) -> &[Arc<str>] {
        if self.duties.region { &self.region_gap.missing } else { &[] }
    }
}

fn held(
    delegate: &Delegate,
    sequence: u64,
    (nodes, mut demand, silent): (u32, Demand, Vec<Arc<str>>),
    now: Instant,
) -> Held {
    demand.round();
    let Delegate { node, incarnation } = delegate.clone();
    let summary = Summary { from: node, incarnation, sequence, nodes, age_ms: 0, demand, silent };
    Held { summary, computed_at: now, source: None }
}
