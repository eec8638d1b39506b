//! The nodes that a node exchanges with.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::decide::aggregate::Duties;
use crate::decide::members::Record;
use crate::platform::Platform;
use crate::process::shared::{Shared, lock};

/// Rounds between exchanges with other regions.
const REGION_ROUNDS: u64 = 2;
/// Rounds between exchanges with a node of a failure domain or region that has been lost.
const LOST_ROUNDS: u64 = 4;
/// Most nodes that are told of a departure that the store can't keep.
const URGENT_TARGETS: usize = 4;
/// Rounds between exchanges with a random node, which reconnect a membership that was partitioned.
const RANDOM_ROUNDS: u64 = 10;

/// Whether this node reads the store for its failure domain. In its own view, that is the first node that reaches both
/// the store and this node, and one more for each node before it whose reads fail: where the store refuses many nodes,
/// those that can read are found in a few steps.
pub fn is_reader<P: Platform>(shared: &Shared<P>, now: Instant) -> bool {
    let present = present_neighbours(shared, now, |record| record.node < shared.settings.node);
    let lost = present.iter().filter(|(_, store_lost)| *store_lost).count();
    present.len() - lost <= lost
}

/// The node that reads the store for this one, in its own view; none if this node is the first that does.
pub fn reader<P: Platform>(shared: &Shared<P>, now: Instant) -> Option<Record> {
    let present = present_neighbours(shared, now, |_| true);
    let first = present.into_iter().find(|(_, store_lost)| !store_lost).map(|(record, _)| record);
    first.filter(|first| first.node < shared.settings.node || shared.follow.is_store_lost())
}

/// The other nodes of this failure domain that can be reached and that `include` accepts, ordered by name, and whether
/// their last read of the store failed.
fn present_neighbours<P: Platform>(
    shared: &Shared<P>,
    now: Instant,
    include: impl Fn(&Record) -> bool,
) -> Vec<(Record, bool)> {
    let own = &shared.settings;
    let table = lock(&shared.members);
    let peers = lock(&shared.peers);
    let avoided = |node| peers.get(node).is_some_and(|peer| peer.is_avoided(now));
    let present = table.all(now).filter(|(member, silent)| {
        let record = &member.record;
        let other = record.zone == own.zone && record.node != own.node && include(record);
        other && !silent && !avoided(&record.node)
    });
    present.map(|(member, _)| (member.record.clone(), member.measurements.store_lost)).collect()
}

/// The other nodes of this failure domain that can be reached.
pub fn neighbours<P: Platform>(shared: &Shared<P>, now: Instant) -> Vec<Record> {
    present_neighbours(shared, now, |_| true).into_iter().map(|(record, _)| record).collect()
}

/// A node of each other failure domain that can be reached, those of this region first: they are not lost together.
pub fn reachable_domains<P: Platform>(shared: &Shared<P>, now: Instant) -> Vec<Record> {
    let own = &shared.settings;
    let table = lock(&shared.members);
    let peers = lock(&shared.peers);
    let mut domains: BTreeMap<(bool, &Arc<str>), Vec<&Record>> = BTreeMap::new();
    for (member, silent) in table.all(now) {
        let record = &member.record;
        let avoided = peers.get(&record.node).is_some_and(|peer| peer.is_avoided(now));
        if record.zone != own.zone && !silent && !avoided {
            domains.entry((record.region != own.region, &record.zone)).or_default().push(record);
        }
    }
    domains.into_values().filter_map(pick).cloned().collect()
}

/// The delegates, in this node's view.
pub struct View {
    own: Record,
    /// The first present node of each failure domain, by name.
    zones: BTreeMap<Arc<str>, Record>,
    /// The first of these in each region.
    regions: BTreeMap<Arc<str>, Record>,
    /// The first present node of each failure domain that isn't stopping.
    leaders: BTreeMap<Arc<str>, Record>,
    /// All other nodes.
    others: Vec<Record>,
}

impl View {
    /// The present view.
    pub fn new<P: Platform>(shared: &Shared<P>, now: Instant) -> Option<Self> {
        let table = lock(&shared.members);
        let peers = lock(&shared.peers);
        let own = table.own()?.record.clone();
        let mut zones: BTreeMap<Arc<str>, Record> = BTreeMap::new();
        let mut leaders: BTreeMap<Arc<str>, Record> = BTreeMap::new();
        let mut others = Vec::new();
        for (member, silent) in table.all(now) {
            let record = &member.record;
            let is_own = record.node == own.node;
            if !is_own {
                others.push(record.clone());
            }
            let avoided = peers.get(&record.node).is_some_and(|peer| peer.is_avoided(now));
            if is_own || !(silent || avoided) {
                // Nodes are ordered by name.
                zones.entry(record.zone.clone()).or_insert_with(|| record.clone());
                if !record.stopping {
                    leaders.entry(record.zone.clone()).or_insert_with(|| record.clone());
                }
            }
        }
        let mut regions: BTreeMap<Arc<str>, Record> = BTreeMap::new();
        for delegate in zones.values() {
            regions.entry(delegate.region.clone()).or_insert_with(|| delegate.clone());
        }
        Some(Self { own, zones, regions, leaders, others })
    }

    /// The quota leader of this node's failure domain, and those of the others, of this region first. A node that is
    /// stopping remains the delegate for exchanges until it is gone, but leases no more shares.
    pub fn quota_leaders(&self) -> (Option<&Record>, Vec<&Record>) {
        let own = self.leaders.get(&self.own.zone);
        let others = self.leaders.iter().filter(|(zone, _)| **zone != self.own.zone);
        let mut others: Vec<&Record> = others.map(|(_, record)| record).collect();
        others.sort_by_key(|record| record.region != self.own.region);
        (own, others)
    }

    /// What this node sums up.
    pub fn duties(&self) -> Duties {
        let is_own = |delegate: Option<&Record>| {
            delegate.is_some_and(|delegate| delegate.node == self.own.node)
        };
        Duties {
            domain: is_own(self.zones.get(&self.own.zone)),
            region: is_own(self.regions.get(&self.own.region)),
        }
    }

    /// A node of one of the region's failure domains, and one of one of the other regions, that have no present nodes:
    /// whoever was cut off is found again in this way.
    fn lost(&self) -> impl Iterator<Item = &Record> {
        let in_domain = self.others.iter().filter(|record| {
            record.region == self.own.region && !self.zones.contains_key(&record.zone)
        });
        let in_region =
            self.others.iter().filter(|record| !self.regions.contains_key(&record.region));
        [pick(in_domain.collect()), pick(in_region.collect())].into_iter().flatten()
    }
}

/// A node whose report this node lacks as its delegate, and the delegate of a failure domain whose sum it lacks: they may
/// take another node for the delegate, as this one was not to be reached.
fn missing<P: Platform>(shared: &Shared<P>, view: &View) -> Vec<Record> {
    let aggregates = lock(&shared.aggregates);
    let node = pick(aggregates.missing_nodes().iter().collect());
    let node = node.and_then(|node| view.others.iter().find(|record| record.node == *node));
    let zone = pick(aggregates.missing_domains().iter().collect());
    let zone =
        zone.and_then(|zone| view.zones.get(zone)).filter(|other| other.node != view.own.node);
    node.into_iter().chain(zone).cloned().collect()
}

fn pick<T>(mut items: Vec<T>) -> Option<T> {
    (!items.is_empty()).then(|| items.swap_remove(rand::random_range(0..items.len())))
}

/// The nodes to exchange with in a round.
pub fn choose<P: Platform>(
    shared: &Shared<P>,
    view: &View,
    round: u64,
    now: Instant,
) -> Vec<Record> {
    let own = &view.own;
    let duties = view.duties();
    let mut targets: Vec<Record> = if !duties.domain {
        view.zones.get(&own.zone).into_iter().cloned().collect()
    } else if !duties.region {
        view.regions.get(&own.region).into_iter().cloned().collect()
    } else if round.is_multiple_of(REGION_ROUNDS) {
        view.regions.values().filter(|delegate| delegate.node != own.node).cloned().collect()
    } else {
        Vec::new()
    };
    if let Some(reader) = reader(shared, now) {
        targets.push(reader);
    }
    if shared.quotas.is_enabled() {
        let leader = view.leaders.get(&own.zone).filter(|leader| leader.node != own.node);
        targets.extend(leader.cloned());
    }
    targets.extend(missing(shared, view));
    targets.extend(lock(&shared.restarted_nodes).take_due());
    if shared.kept.is_urgent() {
        let mut holders = reachable_domains(shared, now);
        if holders.is_empty() {
            holders = neighbours(shared, now);
        }
        if holders.is_empty() {
            holders.clone_from(&view.others);
        }
        targets.extend(holders.into_iter().take(URGENT_TARGETS));
    }
    if duties.region && round.is_multiple_of(LOST_ROUNDS) {
        targets.extend(view.lost().cloned());
    }
    if round.is_multiple_of(RANDOM_ROUNDS) || !shared.synced.load(Ordering::Relaxed) {
        let inside = view.others.iter().filter(|record| record.region == own.region);
        targets.extend(pick(inside.collect()).cloned());
    }
    let mut known = HashSet::new();
    targets.retain(|target| known.insert(target.node.clone()));
    targets
}
