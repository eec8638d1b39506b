//! The messages of an exchange.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use quarantine::{Crash, Fingerprint, SuspectUpdate};
use quota::message::Notice;
use serde::{Deserialize, Serialize};
use units::NodeId;

use crate::decide::aggregate::{Stamps, Summary};
use crate::decide::members::{self, Measurements, Record, Scope};
use crate::decide::revision::Revision;
use crate::platform::{Platform, StoreEpoch};
use crate::process::shared::{Shared, lock};
use crate::process::upstream::Predecessor;
use crate::process::{control, departures, epoch, suspects};

/// Time for which a version was in force here before it is sent to another failure domain of the region, or to another
/// region: they should have read it from the store by then.
const DOMAIN_LATENESS: Duration = Duration::from_millis(300);
const REGION_LATENESS: Duration = Duration::from_millis(700);
/// Time by which a node has to have started before this one to have run beside its predecessor: nodes that were killed
/// together also start together.
const WITNESS_HEAD_START: Duration = Duration::from_secs(3);
/// Most suspects in one message.
const MAX_SUSPECTS: usize = 256;

type Sums = BTreeMap<Arc<str>, Summary>;

/// A suspect on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Suspect {
    #[serde(rename = "print")]
    fingerprint: u64,
    node: NodeId,
    epoch: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    cleared: bool,
}

impl From<SuspectUpdate> for Suspect {
    fn from(update: SuspectUpdate) -> Self {
        let SuspectUpdate { fingerprint, crash: Crash { node, epoch }, cleared, .. } = update;
        Self { fingerprint: fingerprint.0, node, epoch, cleared }
    }
}

impl From<Suspect> for SuspectUpdate {
    fn from(suspect: Suspect) -> Self {
        let Suspect { fingerprint, node, epoch, cleared } = suspect;
        let (fingerprint, crash) = (Fingerprint(fingerprint), Crash { node, epoch });
        Self { fingerprint, crash, cleared, call: String::new() }
    }
}

/// Message of one side of an exchange.
#[derive(Debug, Serialize, Deserialize)]
pub struct Message {
    from: Arc<str>,
    /// Incarnation of the sender's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Revision of the sender's member table that the reader has after applying this.
    #[serde(rename = "revision")]
    pub table_revision: u64,
    /// Incarnation of the reader, and the latest revision of its table that the sender has applied.
    seen: (u64, u64),
    /// Version of the sender's configuration.
    pub version: u64,
    /// The sender's document of that version, and those that it has replaced by it.
    #[serde(rename = "document", default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    replaced: Vec<Revision>,
    /// Latest epoch of the store that the sender knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    store_epoch: Option<StoreEpoch>,
    /// Age of the latest confirmation of the sender's configuration, in milliseconds.
    #[serde(rename = "confirmed", default, skip_serializing_if = "Option::is_none")]
    pub confirmed_ms: Option<u64>,
    zone: Arc<str>,
    region: Arc<str>,
    /// Digests of the sender's records, between nodes that have not exchanged before: only buckets that differ are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digests: Option<Vec<u64>>,
    members: Vec<members::MemberUpdate>,
    /// What the sender measured, for readers in its failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    report: Option<Measurements>,
    /// Stamps of the sums of regions that the sender knows.
    #[serde(default, skip_serializing_if = "Stamps::is_empty")]
    pub known: Stamps,
    /// Sums of failure domains, and of regions.
    #[serde(default, skip_serializing_if = "Sums::is_empty")]
    domains: Sums,
    #[serde(default, skip_serializing_if = "Sums::is_empty")]
    regions: Sums,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    suspects: Vec<Suspect>,
    /// Quotas of tenants, if any tenant has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    quota: Option<Notice>,
    /// The sender's configuration, for a reader that is late.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<String>,
}

/// How far an exchange partner's table and this node's are synchronised.
#[derive(Debug, Clone, Default)]
pub struct Cursor {
    /// Incarnation of the other node's process.
    pub incarnation: u64,
    /// Revision of the other node's table that this node has applied.
    pub seen: u64,
    /// Revision of this node's table that was sent to the other node.
    pub sent: u64,
    /// The other node's version and document.
    pub version: u64,
    /// That document.
    pub revision: Option<Revision>,
    /// Sums of regions that the other node knew.
    pub known: Stamps,
    /// The buckets of records to send, if others are the same at both nodes.
    pub buckets: Option<BTreeSet<usize>>,
}

impl Cursor {
    /// Whether nothing is known of the other node's table.
    fn is_new(&self) -> bool {
        self.seen == 0 && self.sent == 0
    }
}

/// The node that a message is for.
#[derive(Debug, Clone, Copy)]
pub struct Reader<'a> {
    node: &'a Arc<str>,
    zone: &'a Arc<str>,
    region: &'a Arc<str>,
}

impl<'a> From<&'a Record> for Reader<'a> {
    fn from(record: &'a Record) -> Self {
        Self { node: &record.node, zone: &record.zone, region: &record.region }
    }
}

/// Answers an exchange started by another node; `None` if the message can't be decoded.
pub fn answer<P: Platform>(shared: &Arc<Shared<P>>, body: &[u8]) -> Option<Vec<u8>> {
    let message: Message = serde_json::from_slice(body).ok()?;
    let (from, zone, region) = (message.from.clone(), message.zone.clone(), message.region.clone());
    let (version, digests, seen) = (message.version, message.digests.clone(), message.seen);
    let reader = Reader { node: &from, zone: &zone, region: &region };
    let mut cursor = Cursor {
        incarnation: message.incarnation,
        seen: message.table_revision,
        sent: 0,
        version,
        revision: message.revision,
        known: message.known.clone(),
        buckets: None,
    };
    apply(shared, message);
    {
        let table = lock(&shared.members);
        let incarnation = table.own().map_or(0, |own| own.record.incarnation);
        if seen.0 == incarnation {
            cursor.sent = seen.1;
            shared.kept.record_told(seen.1, zone == shared.settings.zone);
        }
        cursor.buckets = digests.as_ref().map(|digests| table.unequal_buckets(digests));
    }
    shared.compared_version(version);
    if version > shared.version() && shared.is_neighbour(&from) {
        // The sender has a newer configuration, which this node gets in its next exchange.
        shared.exchange_now.notify_one();
    }
    super::refresh_sums(shared, shared.now());
    let mut answer = build(shared, reader, &cursor);
    if digests.is_some() {
        answer.digests = Some(lock(&shared.members).digests());
    }
    serde_json::to_vec(&answer).ok()
}

/// The message for a reader whose table is as far as `cursor` says.
pub fn build<P: Platform>(shared: &Shared<P>, reader: Reader<'_>, cursor: &Cursor) -> Message {
    let own = &shared.settings;
    let now = shared.now();
    let same_region = *reader.region == own.region;
    // Before the configuration: a read that has led to a newer one doesn't confirm this one.
    let needed = shared.settings.revocation.after.is_some();
    let confirmed = lock(&shared.confirmation).age(shared.moment()).filter(|_| needed);
    let configuration = shared.configuration();
    let version = configuration.as_ref().map_or(0, |configuration| configuration.version);
    let (revision, replaced) = shared.active.revisions().unzip();
    let outdated = cursor.seen > 0 && is_late(shared, reader, cursor);
    let document =
        configuration.filter(|_| outdated).map(|configuration| configuration.source.clone());
    let table = lock(&shared.members);
    let (mut members, table_revision) = if cursor.is_new() {
        (table.own_update().into_iter().collect(), table.revision())
    } else {
        table.changes_since(cursor.sent, reader.node, same_region)
    };
    if let Some(buckets) = &cursor.buckets {
        members.retain(|update| buckets.contains(&members::bucket(&update.node)));
    }
    let digests = cursor.is_new().then(|| table.digests());
    let incarnation = table.own().map_or(0, |own| own.record.incarnation);
    drop(table);
    let (sums, known, report) = sums_for(shared, reader, cursor, now);
    let suspects = lock(&shared.suspects).updates_for(cursor.is_new(), MAX_SUSPECTS, now);
    Message {
        from: own.node.clone(),
        incarnation,
        table_revision,
        seen: (cursor.incarnation, cursor.seen),
        version,
        revision,
        replaced: replaced.unwrap_or_default(),
        store_epoch: *shared.store_epoch.borrow(),
        confirmed_ms: confirmed.map(|age| age.as_millis() as u64 + 1),
        zone: own.zone.clone(),
        region: own.region.clone(),
        digests,
        members,
        report,
        known,
        domains: sums.0,
        regions: sums.1,
        suspects: suspects.into_iter().map(Suspect::from).collect(),
        // Shares are leased within a failure domain only.
        quota: (*reader.zone == own.zone)
            .then(|| shared.quotas.notice(reader.node, shared.moment()))
            .flatten(),
        configuration: document.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok()),
    }
}

/// The sums of failure domains and of regions to send to a reader, the stamps of those that this node knows, and its own
/// report for a reader in its failure domain.
fn sums_for<P: Platform>(
    shared: &Shared<P>,
    reader: Reader<'_>,
    cursor: &Cursor,
    now: Instant,
) -> ((Sums, Sums), Stamps, Option<Measurements>) {
    let own = &shared.settings;
    let same_region = *reader.region == own.region;
    let same_zone = same_region && *reader.zone == own.zone;
    let aggregates = lock(&shared.aggregates);
    let (mut domains, mut regions) = (Sums::new(), Sums::new());
    // A node that has not exchanged before may know all sums; it tells which in its answer.
    if !cursor.is_new() {
        domains = aggregates.domains.unknown_to(reader.node, &Stamps::new(), now);
        regions = aggregates.regions.unknown_to(reader.node, &cursor.known, now);
    }
    let sums_own_domain = aggregates.duties.domain && same_region && !same_zone;
    domains.retain(|zone, _| sums_own_domain && *zone == own.zone);
    regions.retain(|region, _| same_region || region != reader.region);
    let report = aggregates.report(&own.node).filter(|_| same_zone).cloned();
    ((domains, regions), aggregates.regions.stamps(), report)
}

/// Whether a node with this cursor is to be sent the configuration.
pub fn is_late<P: Platform>(shared: &Shared<P>, node: Reader<'_>, cursor: &Cursor) -> bool {
    let version = cursor.version;
    if let (Some(theirs), Some((own, replaced))) = (cursor.revision, shared.active.revisions())
        && own.version == version
    {
        return own.replaces(&theirs, &[], &replaced);
    }
    let lateness = if version == 0 || shared.is_neighbour(node.node) {
        Duration::ZERO
    } else if *node.region == shared.settings.region {
        DOMAIN_LATENESS
    } else {
        REGION_LATENESS
    };
    version < shared.active.version_before(lateness, shared.now())
}

/// Applies what another node has sent.
pub fn apply<P: Platform>(shared: &Shared<P>, message: Message) {
    let (own, now) = (&shared.settings, shared.now());
    let source = message.from;
    shared.exchanged.store(true, Ordering::Relaxed);
    if let Some(revision) = &message.revision {
        shared.active.observe(revision);
    }
    if let Some(epoch) = message.store_epoch {
        epoch::observe_relayed(shared, epoch);
    }
    for update in message.members {
        let node = update.node.clone();
        if let Some(record) = update.record.as_ref().filter(|record| record.node == own.node) {
            let from = departures::Source::Node(&source);
            departures::recall(shared, &record.departures, from);
        }
        let load = update.measurements.as_ref().map(Measurements::load);
        let result = lock(&shared.members).merge(update, Some(&source), now);
        if let Some(load) = load {
            shared.with_peer(&node, |peer| peer.record_relayed_report(load, now));
        }
        shared.membership_changed(result, &node, &source);
    }
    lock(&shared.members).heard_from(&source, message.incarnation, now);
    if shared.started_ms.saturating_sub(message.incarnation)
        >= WITNESS_HEAD_START.as_millis() as u64
    {
        control::learn_predecessor(shared, Predecessor::Witnessed, &source);
    }
    if let Some(report) = message.report.filter(|_| message.zone == shared.settings.zone) {
        apply_report(shared, &source, message.incarnation, report, now);
    }
    if message.region == shared.settings.region {
        for (zone, summary) in message.domains {
            apply_domain(shared, &zone, summary, &source, now);
        }
    }
    for (region, summary) in message.regions {
        apply_region(shared, &region, summary, &source, now);
    }
    if let Some(notice) = &message.quota {
        shared.quotas.receive(&source, notice, shared.moment());
    }
    for suspect in message.suspects {
        suspects::merge(shared, &suspect.into(), &source);
    }
    if let Some(configuration) = message.configuration {
        let origin = message.revision.map(|revision| revision.origin).unwrap_or_default();
        shared.apply_relayed(configuration.as_bytes(), &source, origin, &message.replaced);
    }
}

/// Stores what a node of this failure domain measured.
fn apply_report<P: Platform>(
    shared: &Shared<P>,
    node: &Arc<str>,
    incarnation: u64,
    report: Measurements,
    now: Instant,
) {
    if !report.is_plausible() {
        shared.record_skipped(node, "the report has figures that can't be of a node", "node");
        return;
    }
    shared.with_peer(node, |peer| peer.record_relayed_report(report.load(), now));
    lock(&shared.aggregates).record_report(node, incarnation, report, now);
}

/// Stores the sum of another failure domain of this region.
fn apply_domain<P: Platform>(
    shared: &Shared<P>,
    zone: &Arc<str>,
    summary: Summary,
    source: &Arc<str>,
    now: Instant,
) {
    if !is_plausible(shared, zone, &summary) || *zone == shared.settings.zone {
        return;
    }
    let silent = summary.silent.clone();
    if lock(&shared.aggregates).domains.offer(zone, summary, source, now) {
        lock(&shared.members).refresh(Scope::Domain(zone), None, &silent, now);
    }
}

/// Stores the sum of a region.
fn apply_region<P: Platform>(
    shared: &Shared<P>,
    region: &Arc<str>,
    summary: Summary,
    source: &Arc<str>,
    now: Instant,
) {
    if !is_plausible(shared, region, &summary) {
        return;
    }
    let own = &shared.settings;
    let silent = summary.silent.clone();
    let mut aggregates = lock(&shared.aggregates);
    let duties = aggregates.duties;
    let newer = aggregates.regions.offer(region, summary, source, now);
    drop(aggregates);
    // The delegate itself knows better which nodes of its region are silent.
    if !newer || *region == own.region && duties.region {
        return;
    }
    let except = duties.domain.then_some(&*own.zone);
    lock(&shared.members).refresh(Scope::Region(region), except, &silent, now);
}

/// Whether a sum can be of a deployment; logs it if not.
fn is_plausible<P: Platform>(shared: &Shared<P>, name: &str, summary: &Summary) -> bool {
    let plausible = summary.is_plausible();
    if !plausible {
        shared.record_skipped(name, "the sum has figures that can't be of a deployment", "node");
    }
    plausible
}
