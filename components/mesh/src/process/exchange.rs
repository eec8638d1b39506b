//! Gossip between nodes: node records, measurements, crash suspects, and the configuration for nodes that lack it.
//!
//! Each node exchanges changes with the delegate of its failure domain, and these delegates with the delegate of the
//! region. Delegates of regions exchange with each other in every second round, and send only sums, as traffic between
//! regions is expensive. Each failure domain reads the configuration from the store by itself, so that it is sent to
//! another one only if that one is late. Each node derives the delegates from its own view, so differing views cost only
//! a few additional messages.

pub mod targets;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use quarantine::{Crash, Fingerprint, SuspectUpdate};
use serde::{Deserialize, Serialize};
use units::NodeId;

use super::epoch;
use super::events::Event;
use super::shared::{Shared, Summary, lock};
use super::traffic;
use crate::decide::demand::Demand;
use crate::decide::members::{self, Record};
use crate::decide::revision::Revision;
use crate::platform::{Platform, StoreEpoch};
use crate::request::peer::PEER_MAX_IDLE;

/// Path of an exchange between nodes.
pub const PATH: &str = "/almondknot/exchange";

/// Time between two regular exchanges.
const INTERVAL: Duration = Duration::from_millis(500);
/// Delay of an exchange that an urgent change triggers, so that changes in quick succession are sent together.
const URGENT_DELAY: Duration = Duration::from_millis(40);
/// Age at which the summary of another region is ignored.
const SUMMARY_MAX_AGE: Duration = Duration::from_secs(8);
/// Most that the clock of another region's delegate may be ahead of this node's.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a version was in force here before it is sent to another failure domain of the region, or to another
/// region: they should have read it from the store by then.
const DOMAIN_LATENESS: Duration = Duration::from_millis(300);
const REGION_LATENESS: Duration = Duration::from_millis(700);
/// Delay beyond the exchange interval that shows that the process was suspended.
const MIN_SUSPENSION: Duration = Duration::from_millis(1_500);
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Idle time after which a connection to the upstream is closed.
const UPSTREAM_MAX_IDLE: Duration = Duration::from_secs(6);
const MAX_SUSPECTS: usize = 256;

/// A suspect on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Suspect {
    #[serde(rename = "print")]
    fingerprint: u64,
    node: NodeId,
    epoch: u64,
}

/// Message of one side of an exchange.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    from: Arc<str>,
    #[serde(rename = "life")]
    incarnation: u64,
    /// Revision of the sender's member table that the reader has after applying this.
    #[serde(rename = "revision")]
    table_revision: u64,
    /// Incarnation of the reader, and the latest revision of its table that the sender has applied.
    seen: (u64, u64),
    version: u64,
    /// The sender's document of that version, and those that it has replaced by it.
    #[serde(rename = "document", default, skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    replaced: Vec<Revision>,
    /// Latest epoch of the store that the sender knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    store_epoch: Option<StoreEpoch>,
    region: Arc<str>,
    members: Vec<members::MemberUpdate>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    regions: BTreeMap<Arc<str>, Summary>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    suspects: Vec<Suspect>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    configuration: Option<String>,
}

/// How far an exchange partner's table and this node's are synchronised.
#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    incarnation: u64,
    /// Revision of the other node's table that this node has applied.
    seen: u64,
    /// Revision of this node's table that was sent to the other node.
    sent: u64,
    /// The other node's version and document.
    version: u64,
    revision: Option<Revision>,
}

type Cursors = HashMap<Arc<str>, Cursor>;

/// Runs exchanges until the task is aborted.
pub async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut cursors = Cursors::new();
    let mut round = 0;
    let mut last = shared.now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(INTERVAL) => {}
            () = shared.exchange_now.notified() => tokio::time::sleep(URGENT_DELAY).await,
        }
        let now = shared.now();
        detect_suspension(&shared, now.saturating_duration_since(last));
        round += 1;
        refresh(&shared, now);
        let reader = targets::reader(&shared, now);
        for target in targets::choose(&shared, round, now) {
            let mut exchanged = exchange_with(&shared, &mut cursors, &target).await;
            if exchanged == Exchanged::Restarted {
                exchanged = exchange_with(&shared, &mut cursors, &target).await;
            }
            if reader.as_ref().is_some_and(|reader| reader.node == target.node) {
                shared.follow.exchanged_with_reader(exchanged != Exchanged::Failed);
            }
        }
        update_shares(&shared);
        shared.follow.exchanged();
        last = shared.now();
    }
}

/// Answers an exchange started by another node; `None` if the message can't be decoded.
pub fn answer<P: Platform>(shared: &Arc<Shared<P>>, body: &[u8]) -> Option<Vec<u8>> {
    let message: Message = serde_json::from_slice(body).ok()?;
    let (reader, region, seen) = (message.from.clone(), message.region.clone(), message.seen);
    let (version, revision) = (message.version, message.revision);
    let cursor = {
        let table = lock(&shared.members);
        let incarnation = table.own().map_or(0, |own| own.record.incarnation);
        let sent = if seen.0 == incarnation { seen.1 } else { 0 };
        let (seen, incarnation) = (message.table_revision, message.incarnation);
        Cursor { sent, version, revision, seen, incarnation }
    };
    apply(shared, message);
    shared.compared_version(version);
    if version > shared.version() && shared.is_neighbour(&reader) {
        // The sender has a newer configuration, which this node gets in its next exchange.
        shared.exchange_now.notify_one();
    }
    serde_json::to_vec(&build_message(shared, &reader, &region, cursor)).ok()
}

/// Outcome of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exchanged {
    /// Both sides know all changes.
    Complete,
    /// The other node has restarted, and was sent only what had changed for its predecessor.
    Restarted,
    /// No answer.
    Failed,
}

async fn exchange_with<P: Platform>(
    shared: &Arc<Shared<P>>,
    cursors: &mut Cursors,
    target: &Record,
) -> Exchanged {
    let cursor = cursors.entry(target.node.clone()).or_default();
    if cursor.incarnation != target.incarnation {
        *cursor = Cursor { incarnation: target.incarnation, ..Cursor::default() };
    }
    let message = build_message(shared, &target.node, &target.region, *cursor);
    let (sent, offered) = (message.table_revision, message.configuration.is_some());
    let Ok(body) = serde_json::to_vec(&message) else { return Exchanged::Failed };
    let result = tokio::time::timeout(EXCHANGE_TIMEOUT, send(shared, target, body)).await;
    let now = shared.now();
    let answer = match result.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
        Ok(answer) => answer,
        Err(reason) => {
            shared.metrics.failed_exchanges.inc();
            shared.with_peer(&target.node, |peer| peer.record_failure(now));
            shared.log(&Event::PeerLost { peer: &target.node, reason: &reason });
            return Exchanged::Failed;
        }
    };
    shared.with_peer(&target.node, |peer| peer.record_answer(now));
    let (version, revision) = (answer.version, answer.revision);
    let restarted = cursor.sent > 0 && cursor.incarnation != answer.incarnation;
    let sent = if restarted { 0 } else { sent };
    let (incarnation, seen) = (answer.incarnation, answer.table_revision);
    *cursor = Cursor { incarnation, seen, sent, version, revision };
    let cursor = *cursor;
    apply(shared, answer);
    shared.compared_version(version);
    // A node that was offered the newer configuration and still has an older one has rejected it.
    if !offered && is_late(shared, &target.node, &target.region, &cursor) {
        shared.exchange_now.notify_one();
    }
    if restarted { Exchanged::Restarted } else { Exchanged::Complete }
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
    let sent = shared.peer_pool.send(target.address, request, PEER_MAX_IDLE, now).await;
    let (response, connection) = sent.map_err(|err| err.to_string())?;
    let collected = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let bytes = collected.map_err(|err| err.to_string())?.to_bytes();
    connection.release(shared.now());
    serde_json::from_slice(&bytes).map_err(|err| err.to_string())
}

fn build_message<P: Platform>(
    shared: &Shared<P>,
    reader: &Arc<str>,
    region: &Arc<str>,
    cursor: Cursor,
) -> Message {
    let same_region = *region == shared.settings.region;
    let regions = summaries(shared, region, same_region);
    let configuration = shared.configuration();
    let version = configuration.as_ref().map_or(0, |configuration| configuration.version);
    let (revision, replaced) = shared.active.revisions().unzip();
    let outdated = cursor.seen > 0 && is_late(shared, reader, region, &cursor);
    let document =
        configuration.filter(|_| outdated).map(|configuration| configuration.source.clone());
    let table = lock(&shared.members);
    let updates = lock(&shared.suspect_updates);
    let recent = updates.iter().rev().take(MAX_SUSPECTS);
    Message {
        from: shared.settings.node.clone(),
        incarnation: table.own().map_or(0, |own| own.record.incarnation),
        table_revision: table.revision(),
        seen: (cursor.incarnation, cursor.seen),
        version,
        revision,
        replaced: replaced.unwrap_or_default(),
        store_epoch: *shared.store_epoch.borrow(),
        region: shared.settings.region.clone(),
        members: table.changes_since(cursor.sent, reader, same_region),
        regions,
        suspects: recent.filter_map(wire_suspect).collect(),
        configuration: document.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok()),
    }
}

/// Whether a node with this cursor is to be sent the configuration.
fn is_late<P: Platform>(
    shared: &Shared<P>,
    node: &str,
    region: &Arc<str>,
    cursor: &Cursor,
) -> bool {
    let version = cursor.version;
    if let (Some(theirs), Some((own, replaced))) = (cursor.revision, shared.active.revisions())
        && own.version == version
    {
        return own.replaces(&theirs, &[], &replaced);
    }
    let lateness = if version == 0 || shared.is_neighbour(node) {
        Duration::ZERO
    } else if *region == shared.settings.region {
        DOMAIN_LATENESS
    } else {
        REGION_LATENESS
    };
    version < shared.active.version_before(lateness, shared.now())
}

fn wire_suspect(update: &SuspectUpdate) -> Option<Suspect> {
    let crash = update.crash.as_ref()?;
    Some(Suspect {
        fingerprint: update.fingerprint.0,
        node: crash.node.clone(),
        epoch: crash.epoch,
    })
}

fn apply<P: Platform>(shared: &Shared<P>, message: Message) {
    let now = shared.now();
    let source = message.from;
    if let Some(revision) = &message.revision {
        shared.active.observe(revision);
    }
    if let Some(epoch) = message.store_epoch {
        epoch::observe_relayed(shared, epoch);
    }
    for update in message.members {
        let node = update.node.clone();
        let load = update.measurements.as_ref().map(|measurements| measurements.load());
        let result = lock(&shared.members).merge(update, Some(&source), now);
        if let Some(load) = load {
            shared.with_peer(&node, |peer| peer.record_relayed_report(load, now));
        }
        shared.membership_changed(result, &node, &source);
    }
    for (region, summary) in message.regions {
        apply_summary(shared, region, summary, now);
    }
    for suspect in message.suspects {
        apply_suspect(shared, suspect, now);
    }
    if let Some(configuration) = message.configuration {
        let origin = message.revision.map(|revision| revision.origin).unwrap_or_default();
        shared.apply_relayed(configuration.as_bytes(), &source, origin, &message.replaced);
    }
}

/// Stores the summary of another region.
fn apply_summary<P: Platform>(
    shared: &Shared<P>,
    region: Arc<str>,
    summary: Summary,
    now: Instant,
) {
    let mut regions = lock(&shared.regions);
    let newer = regions.get(&region).is_none_or(|known| known.created_ms < summary.created_ms);
    let latest_ms = shared.wall_ms().saturating_add(MAX_CLOCK_LEAD.as_millis() as u64);
    if summary.created_ms > latest_ms {
        shared.record_skipped(&region, "the summary is of the future", "node");
    } else if region != shared.settings.region && newer {
        lock(&shared.members).refresh_region(&region, &summary.silent, now);
        regions.insert(region, summary);
    }
}

/// Summaries of all other known regions; for a reader in another region, with that of this one.
fn summaries<P: Platform>(
    shared: &Shared<P>,
    reader: &Arc<str>,
    same_region: bool,
) -> BTreeMap<Arc<str>, Summary> {
    if same_region {
        return lock(&shared.regions).clone();
    }
    let mut demand = Demand::default();
    let mut silent = Vec::new();
    for (member, is_silent) in lock(&shared.members).all(shared.now()) {
        if member.record.region != shared.settings.region {
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
    regions.insert(
        shared.settings.region.clone(),
        Summary { created_ms: shared.wall_ms(), demand, silent },
    );
    regions
}

fn apply_suspect<P: Platform>(shared: &Shared<P>, suspect: Suspect, now: Instant) {
    let crash = Crash { node: suspect.node, epoch: suspect.epoch };
    let update = SuspectUpdate {
        fingerprint: Fingerprint(suspect.fingerprint),
        crash: Some(crash),
        call: String::new(),
    };
    let mut updates = lock(&shared.suspect_updates);
    if !updates.contains(&update) {
        lock(&shared.suspects).merge(&update, now);
        updates.push(update);
        shared.exchange_now.notify_one();
    }
}

/// Detects that the process was suspended, so that other nodes are not taken for silent because of it.
fn detect_suspension<P: Platform>(shared: &Shared<P>, elapsed: Duration) {
    let Some(suspended) = elapsed.checked_sub(INTERVAL + MIN_SUSPENSION) else { return };
    lock(&shared.members).refresh_all(shared.now());
    shared.log(&Event::Resumed { stalled_ms: suspended.as_millis() as u64 });
}

/// Updates this node's measurements, and drops members and connections that have expired.
fn refresh<P: Platform>(shared: &Shared<P>, now: Instant) {
    let mut measurements = lock(&shared.traffic).measurements(shared.limiter.load(now), now);
    measurements.store_lost = shared.follow.is_store_lost();
    let mut table = lock(&shared.members);
    table.set_measurements(measurements, now);
    table.sweep(now);
    drop(table);
    shared.upstream_pool.close_expired(UPSTREAM_MAX_IDLE, now);
    shared.peer_pool.close_expired(PEER_MAX_IDLE, now);
}

/// Demand of all regions: this region's nodes, and the summaries of the others.
fn demand<P: Platform>(shared: &Shared<P>) -> Demand {
    let mut demand = Demand::default();
    for (member, silent) in lock(&shared.members).all(shared.now()) {
        if !silent && member.record.region == shared.settings.region {
            demand.add(member);
        }
    }
    let oldest = shared.wall_ms().saturating_sub(SUMMARY_MAX_AGE.as_millis() as u64);
    for summary in lock(&shared.regions).values().filter(|summary| summary.created_ms > oldest) {
        demand.merge(&summary.demand);
    }
    demand
}

/// Recomputes the admission shares.
fn update_shares<P: Platform>(shared: &Shared<P>) {
    let demand = demand(shared);
    let priorities = shared.priorities();
    let mut traffic = lock(&shared.traffic);
    let before = traffic::format_shares(&traffic.admission, &priorities);
    traffic.plan(&demand, &priorities, shared.now());
    let shares = traffic::format_shares(&traffic.admission, &priorities);
    drop(traffic);
    if before != shares {
        let loads = traffic::format_loads(&demand);
        shared.log(&Event::PlanChanged { shares, loads, version: shared.version() });
    }
}
