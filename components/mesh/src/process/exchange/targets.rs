//! The nodes that a node exchanges with.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::decide::members::Record;
use crate::platform::Platform;
use crate::process::shared::{Shared, lock};

/// Rounds between exchanges with other regions.
const REGION_ROUNDS: u64 = 2;
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

/// The nodes to exchange with in a round.
pub fn choose<P: Platform>(shared: &Shared<P>, round: u64, now: Instant) -> Vec<Record> {
    let own = &shared.settings;
    let mut zones: BTreeMap<Arc<str>, Record> = BTreeMap::new();
    let mut others = Vec::new();
    {
        let table = lock(&shared.members);
        let peers = lock(&shared.peers);
        for (member, silent) in table.all(now) {
            let record = &member.record;
            let is_own = record.node == own.node;
            if !is_own {
                others.push(record.clone());
            }
            let avoided = peers.get(&record.node).is_some_and(|peer| peer.is_avoided(now));
            if is_own || !(silent || avoided) {
                // Nodes are ordered by name; the first of each failure domain is its delegate.
                zones.entry(record.zone.clone()).or_insert_with(|| record.clone());
            }
        }
    }
    let mut regions: BTreeMap<Arc<str>, Record> = BTreeMap::new();
    for delegate in zones.values() {
        regions.entry(delegate.region.clone()).or_insert_with(|| delegate.clone());
    }
    let is_this_node = |node: Option<&Record>| node.is_some_and(|record| record.node == own.node);
    let mut targets = if !is_this_node(zones.get(&own.zone)) {
        zones.remove(&own.zone).into_iter().collect()
    } else if !is_this_node(regions.get(&own.region)) {
        regions.remove(&own.region).into_iter().collect()
    } else if round.is_multiple_of(REGION_ROUNDS) {
        regions.into_values().filter(|delegate| delegate.node != own.node).collect()
    } else {
        Vec::new()
    };
    if let Some(reader) = reader(shared, now)
        && !targets.iter().any(|target| target.node == reader.node)
    {
        targets.push(reader);
    }
    if round.is_multiple_of(RANDOM_ROUNDS) || !shared.synced.load(Ordering::Relaxed) {
        others.retain(|record| record.region == own.region);
        if !others.is_empty() {
            targets.push(others.swap_remove(rand::random_range(0..others.len())));
        }
    }
    targets
}
