//! What nodes tell each other: records, measurements, suspects, and the configuration to those that lack it.
//!
//! Each node exchanges what has changed with the delegate of its failure domain, these with the delegate of the
//! region, and these with each other, once in two rounds and only sums: bytes between regions are dear. Everybody
//! works out the delegates from what it knows, so two nodes that differ only send a few messages more.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use quarantine::{Death, Fingerprint, Told};
use serde::{Deserialize, Serialize};
use units::NodeId;

use super::events::Event;
use super::intake;
use super::shared::{Shared, Summary, lock};
use crate::decide::demand::Demand;
use crate::decide::members::{self, Record};
use crate::platform::Platform;
use crate::request::peer::LINK_FRESH;

/// Path of an exchange.
pub const PATH: &str = "/almondknot/exchange";

/// Time between two exchanges.
const EVERY: Duration = Duration::from_millis(500);
/// Least time between two exchanges after urgent news, so that news that comes in clumps goes together.
const GATHER: Duration = Duration::from_millis(40);
/// Rounds after which delegates of regions exchange.
const FAR: u64 = 2;
/// Time after which the sums of another region count no more.
const OLD: Duration = Duration::from_secs(8);
/// Exchanges after which one goes to a node picked at random, so that parts that lost each other meet again.
const STRAY: u64 = 10;
/// Longest time for one exchange.
const PATIENCE: Duration = Duration::from_millis(700);
/// Time over the planned pause that shows that the process stood still.
const STOOD: Duration = Duration::from_millis(1_500);
const ANSWER_LARGEST: usize = 32 << 20;
/// Time for which an unused connection to the upstream is kept at the most.
const LANES_KEPT: Duration = Duration::from_secs(6);
/// Suspects that one message carries.
const MOST_TOLD: usize = 256;

/// A suspect on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Suspect {
    print: u64,
    node: NodeId,
    epoch: u64,
}

/// One side's part of an exchange.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    from: Arc<str>,
    life: u64,
    /// Revision of the sender's table that this brings its reader to.
    revision: u64,
    /// Life of the reader, and revision of its table, that the sender has seen.
    seen: (u64, u64),
    version: u64,
    region: Arc<str>,
    members: Vec<members::Told>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    regions: BTreeMap<Arc<str>, Summary>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    suspects: Vec<Suspect>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    configuration: Option<String>,
}

/// What is known of another node's knowledge.
#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    life: u64,
    /// Revision of its table that this node has seen.
    seen: u64,
    /// Revision of this node's table that it has.
    sent: u64,
    version: u64,
}

type Cursors = HashMap<Arc<str>, Cursor>;

/// Exchanges with others for ever.
pub async fn keep<P: Platform>(shared: Arc<Shared<P>>) {
    let mut cursors = Cursors::new();
    let mut round = 0;
    let mut last = shared.now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(EVERY) => {}
            () = shared.urgent.notified() => tokio::time::sleep(GATHER).await,
        }
        let now = shared.now();
        woke(&shared, now.saturating_duration_since(last));
        round += 1;
        measure(&shared, now);
        for target in targets(&shared, round, now) {
            one(&shared, &mut cursors, &target).await;
        }
        replan(&shared);
        last = shared.now();
    }
}

/// Answers another node's part of an exchange; none if it can't be read.
pub fn answer<P: Platform>(shared: &Arc<Shared<P>>, body: &[u8]) -> Option<Vec<u8>> {
    let message: Message = serde_json::from_slice(body).ok()?;
    let (reader, region, seen) = (message.from.clone(), message.region.clone(), message.seen);
    let theirs = message.version;
    let cursor = {
        let table = lock(&shared.table);
        let life = table.own().map_or(0, |own| own.record.life);
        let sent = if seen.0 == life { seen.1 } else { 0 };
        Cursor { sent, version: theirs, seen: message.revision, life: message.life }
    };
    absorb(shared, message);
    shared.oriented.store(true, Ordering::Relaxed);
    if theirs > shared.version() {
        // The asker has what this node lacks: an exchange with somebody brings it.
        shared.urgent.notify_one();
    }
    serde_json::to_vec(&compose(shared, &reader, &region, cursor)).ok()
}

async fn one<P: Platform>(shared: &Arc<Shared<P>>, cursors: &mut Cursors, target: &Record) {
    let cursor = cursors.entry(target.node.clone()).or_default();
    if cursor.life != target.life {
        *cursor = Cursor { life: target.life, ..Cursor::default() };
    }
    let message = compose(shared, &target.node, &target.region, *cursor);
    let (revision, offered) = (message.revision, message.configuration.is_some());
    let Ok(body) = serde_json::to_vec(&message) else { return };
    let sent = tokio::time::timeout(PATIENCE, send(shared, target, body)).await;
    let now = shared.now();
    let answer = match sent.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
        Ok(answer) => answer,
        Err(why) => {
            shared.metrics.exchanges.inc();
            shared.peer(&target.node, |peer| peer.failed(now));
            shared.tell(&Event::PeerLost { peer: &target.node, why: &why });
            return;
        }
    };
    shared.peer(&target.node, |peer| peer.answered(now));
    shared.oriented.store(true, Ordering::Relaxed);
    let known = answer.version;
    *cursor = Cursor { life: answer.life, seen: answer.revision, sent: revision, version: known };
    absorb(shared, answer);
    // One that was offered the configuration and still has an older one has refused it.
    if known < shared.version() && !offered {
        shared.urgent.notify_one();
    }
}

async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Record,
    body: Vec<u8>,
) -> Result<Message, String> {
    let request = Request::post(PATH)
        .header(http::header::HOST, target.address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|err| err.to_string())?;
    let now = shared.now();
    let sent = shared.links.send(target.address, request, LINK_FRESH, now).await;
    let (response, lane) = sent.map_err(|err| err.to_string())?;
    let whole = Limited::new(response.into_body(), ANSWER_LARGEST).collect().await;
    let bytes = whole.map_err(|err| err.to_string())?.to_bytes();
    lane.give_back(shared.now());
    serde_json::from_slice(&bytes).map_err(|err| err.to_string())
}

fn compose<P: Platform>(
    shared: &Shared<P>,
    reader: &Arc<str>,
    region: &Arc<str>,
    cursor: Cursor,
) -> Message {
    let near = *region == shared.place.region;
    let regions = summaries(shared, region, near);
    let active = shared.active();
    let version = active.as_ref().map_or(0, |active| active.version);
    // A reader whose version was never heard gets it when it has said that it lacks it.
    let lacks = cursor.seen > 0 && cursor.version < version;
    let source = active.filter(|_| lacks).map(|active| active.source.clone());
    let table = lock(&shared.table);
    let told = lock(&shared.told);
    let recent = told.iter().rev().take(MOST_TOLD);
    Message {
        from: shared.place.node.clone(),
        life: table.own().map_or(0, |own| own.record.life),
        revision: table.revision(),
        seen: (cursor.life, cursor.seen),
        version,
        region: shared.place.region.clone(),
        members: table.since(cursor.sent, reader, near),
        regions,
        suspects: recent.filter_map(suspect).collect(),
        configuration: source.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok()),
    }
}

fn suspect(told: &Told) -> Option<Suspect> {
    let death = told.death.as_ref()?;
    Some(Suspect { print: told.fingerprint.0, node: death.node.clone(), epoch: death.epoch })
}

fn absorb<P: Platform>(shared: &Shared<P>, message: Message) {
    let now = shared.now();
    let source = message.from;
    for told in message.members {
        let node = told.node.clone();
        let load = told.pulse.as_ref().map(|pulse| pulse.load());
        let news = lock(&shared.table).merge(told, Some(&source), now);
        if let Some(load) = load {
            shared.peer(&node, |peer| peer.heard(load, now));
        }
        shared.noted(news, &node, &source);
    }
    for (region, summary) in message.regions {
        hear(shared, region, summary, now);
    }
    for suspect in message.suspects {
        learn(shared, suspect, now);
    }
    if let Some(configuration) = message.configuration {
        shared.take_configuration(configuration.as_bytes(), &source);
    }
}

/// Takes the sums of another region.
fn hear<P: Platform>(shared: &Shared<P>, region: Arc<str>, summary: Summary, now: Instant) {
    let mut regions = lock(&shared.regions);
    let newer = regions.get(&region).is_none_or(|known| known.stamp < summary.stamp);
    if region != shared.place.region && newer {
        lock(&shared.table).vouched(&region, &summary.silent, now);
        regions.insert(region, summary);
    }
}

/// Sums for a reader: of this region for other regions, of other regions for this one.
fn summaries<P: Platform>(
    shared: &Shared<P>,
    reader: &Arc<str>,
    near: bool,
) -> BTreeMap<Arc<str>, Summary> {
    if near {
        return lock(&shared.regions).clone();
    }
    let mut demand = Demand::default();
    let mut silent = Vec::new();
    for (member, is_silent) in lock(&shared.table).all(shared.now()) {
        if member.record.region != shared.place.region {
            continue;
        }
        if is_silent {
            silent.push(member.record.node.clone());
        } else {
            demand.add(member);
        }
    }
    let mut regions = lock(&shared.regions).clone();
    regions.remove(reader);
    regions.insert(shared.place.region.clone(), Summary { stamp: shared.stamp(), demand, silent });
    regions
}

fn learn<P: Platform>(shared: &Shared<P>, suspect: Suspect, now: Instant) {
    let death = Death { node: suspect.node, epoch: suspect.epoch };
    let told =
        Told { fingerprint: Fingerprint(suspect.print), death: Some(death), call: String::new() };
    let mut all = lock(&shared.told);
    if !all.contains(&told) {
        lock(&shared.suspects).merge(&told, now);
        all.push(told);
        shared.urgent.notify_one();
    }
}

/// Notes a time in which the process did not run: what is known is older than it looks.
fn woke<P: Platform>(shared: &Shared<P>, passed: Duration) {
    let Some(stood) = passed.checked_sub(EVERY + STOOD) else { return };
    lock(&shared.table).woke(shared.now());
    shared.tell(&Event::Woke { stood_ms: stood.as_millis() as u64 });
}

fn measure<P: Platform>(shared: &Shared<P>, now: Instant) {
    let pulse = lock(&shared.intake).pulse(shared.gate.load(), now);
    let mut table = lock(&shared.table);
    table.pulse(pulse, now);
    table.sweep(now);
    drop(table);
    shared.lanes.sweep(LANES_KEPT, now);
    shared.links.sweep(LINK_FRESH, now);
}

/// Demand everywhere: of this region's nodes, and the sums of other regions.
fn demand<P: Platform>(shared: &Shared<P>) -> Demand {
    let mut demand = Demand::default();
    for (member, silent) in lock(&shared.table).all(shared.now()) {
        if !silent && member.record.region == shared.place.region {
            demand.add(member);
        }
    }
    let oldest = shared.stamp().saturating_sub(OLD.as_millis() as u64);
    for summary in lock(&shared.regions).values().filter(|summary| summary.stamp > oldest) {
        demand.merge(&summary.demand);
    }
    demand
}

/// Works the shares out anew.
fn replan<P: Platform>(shared: &Shared<P>) {
    let demand = demand(shared);
    let ranks = shared.ranks();
    let mut own = lock(&shared.intake);
    let before = intake::describe(&own.admission, &ranks);
    own.plan(&demand, &ranks, shared.now());
    let shares = intake::describe(&own.admission, &ranks);
    drop(own);
    if before != shares {
        let loads = intake::loads(&demand);
        shared.tell(&Event::PlanChanged { shares, loads, version: shared.version() });
    }
}

/// The nodes to exchange with in this round.
fn targets<P: Platform>(shared: &Shared<P>, round: u64, now: Instant) -> Vec<Record> {
    let own = &shared.place;
    let mut zones: BTreeMap<Arc<str>, Record> = BTreeMap::new();
    let mut others = Vec::new();
    {
        let table = lock(&shared.table);
        let peers = lock(&shared.peers);
        for (member, silent) in table.all(now) {
            let record = &member.record;
            let is_own = record.node == own.node;
            if !is_own {
                others.push(record.clone());
            }
            let rests = peers.get(&record.node).is_some_and(|peer| peer.rests(now));
            if is_own || !(silent || rests) {
                // Nodes come in the order of their names, and the first is the delegate.
                zones.entry(record.zone.clone()).or_insert_with(|| record.clone());
            }
        }
    }
    let mut regions: BTreeMap<Arc<str>, Record> = BTreeMap::new();
    for delegate in zones.values() {
        regions.entry(delegate.region.clone()).or_insert_with(|| delegate.clone());
    }
    let leads = |delegate: Option<&Record>| delegate.is_some_and(|one| one.node == own.node);
    let mut targets = if !leads(zones.get(&own.zone)) {
        zones.remove(&own.zone).into_iter().collect()
    } else if !leads(regions.get(&own.region)) {
        regions.remove(&own.region).into_iter().collect()
    } else if round.is_multiple_of(FAR) {
        regions.into_values().filter(|delegate| delegate.node != own.node).collect()
    } else {
        Vec::new()
    };
    if round.is_multiple_of(STRAY) {
        others.retain(|record| record.region == own.region);
        if !others.is_empty() {
            targets.push(others.swap_remove(rand::random_range(0..others.len())));
        }
    }
    targets
}
