//! Membership: records of nodes, merged from the store and from other nodes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use units::Rate;
use xxhash_rust::xxh3::{self, Xxh3};

use super::demand;
use super::fairness::TenantRates;
use super::queue::Load;
use super::service_time::ServiceTime;
use crate::platform::StoreEpoch;

/// Time without updates of a node after which calls avoid it.
const SILENT_AFTER: Duration = Duration::from_millis(3_500);
/// Time without updates of a node after which it is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(30);

/// Load, as a share of the slots, up to which a request finds a slot free, so that other nodes needn't know it.
const FREE_SHARE: f64 = 0.7;
/// Change of the load beyond that share, and of figures by a factor, of which other nodes are told.
const BUSYNESS_STEP: f64 = 0.1;
const HELD_FACTOR: f64 = 1.5;
const RATE_FACTOR: f64 = 1.15;
/// Time after which other nodes are told the load of an upstream again that is busy, or was: they forget it soon.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(900);
/// The same for each node of the region: 50 loads a second reach a node, whatever the number of nodes.
const LOAD_INTERVAL_PER_NODE: Duration = Duration::from_millis(20);
/// Buckets of records, by the names of their nodes.
const BUCKETS: usize = 32;
/// Most loads in one message; further ones follow in the next.
const MAX_LOADS: usize = 48;

/// Highest incarnation of a record in the store, in milliseconds since the epoch: higher ones are not of a node.
pub const MAX_STORED_INCARNATION: u64 = 1 << 52;
/// Highest incarnation that other nodes may tell of: room for nodes that had to rise above a stored one.
pub const MAX_INCARNATION: u64 = 1 << 53;
/// Departures in a record, of the latest upstreams.
pub const MAX_DEPARTURES: usize = 8;
/// Most requests of an upstream, and longest average time that one holds a slot, that a report can tell of.
const MAX_REQUESTS: u32 = 1_000_000;
const MAX_HELD_US: u32 = 600_000_000;

/// Whether a node's upstream accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// The node has not heard from its upstream.
    Unknown,
    /// Accepts requests.
    Ready,
    /// Accepts no new requests.
    Leaving,
}

/// State of a node, published when it changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the node.
    pub node: Arc<str>,
    /// Incarnation of its process; a later one is higher.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Version of the record within that incarnation.
    pub serial: u64,
    /// Failure domain.
    pub zone: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Address for other nodes.
    pub address: SocketAddr,
    /// Service of its upstream.
    pub service: Arc<str>,
    /// Whether the upstream accepts requests.
    #[serde(rename = "standing")]
    pub state: UpstreamState,
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// The upstream as it was when the process was stopped, for the next incarnation.
    #[serde(rename = "parting", default, skip_serializing_if = "Option::is_none")]
    pub saved_upstream: Option<SavedUpstream>,
    /// Incarnations of the upstream that announced that they are leaving, for later incarnations of the node.
    #[serde(rename = "departed", default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<Departure>,
    /// Whether the process is stopping: it leads no quotas any more, and its share is free once it is gone.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stopping: bool,
}

/// An announced departure of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the upstream.
    pub id: String,
    /// Milliseconds since the epoch at its start; an incarnation of that id that started later is another one.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Milliseconds since the epoch when it announced that it is leaving, by the clock of its node.
    #[serde(rename = "at")]
    pub since_ms: u64,
}

impl Departure {
    /// Whether this tells that the other's upstream is leaving, too.
    pub fn covers(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms >= other.started_ms
    }
}

/// Adds departures to others, of which the latest are kept. Returns whether any was added.
pub fn add_departures(known: &mut Vec<Departure>, told: &[Departure]) -> bool {
    let mut merged = known.clone();
    for departure in told {
        if !merged.iter().any(|other| other.covers(departure)) {
            merged.push(departure.clone());
        }
    }
    merged.sort_by_key(|departure| departure.since_ms);
    let excess = merged.len().saturating_sub(MAX_DEPARTURES);
    merged.drain(..excess);
    let added = merged.iter().any(|departure| !known.contains(departure));
    *known = merged;
    added
}

/// An upstream that keeps running while its node is restarted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SavedUpstream {
    /// Its id.
    pub id: String,
    /// Milliseconds since the epoch at its start.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Sequence number of its last heartbeat.
    pub sequence: u64,
    /// Requests per second that it accepts, if it announced a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_limit: Option<f64>,
    /// Milliseconds since the epoch when it announced that it is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_ms: Option<u64>,
    /// Milliseconds since the epoch when the node was stopped.
    #[serde(rename = "at")]
    pub stopped_ms: u64,
    /// Epoch of the store then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_epoch: Option<StoreEpoch>,
}

/// Rates by route name.
pub type Rates = BTreeMap<Arc<str>, f64>;

/// Measurements of a node, published regularly.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Measurements {
    /// Sequence number within the incarnation of the process.
    #[serde(rename = "beat")]
    pub sequence: u64,
    /// Running and waiting requests, the limit on running ones, and the average time that a slot is held, in
    /// microseconds.
    pub load: (u32, u32, u32, u32),
    /// Requests per second that may be sent to the upstream, and how many of them at once, while there is a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<(f64, f64)>,
    /// Requests that may run at once for now, while the upstream starts or recovers. The limit on running ones stays the
    /// same then, as the admission of root requests plans with it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<u32>,
    /// Average run time in microseconds, latest service-time factor in hundredths of its average, and its age in
    /// milliseconds, if the upstream reports that factor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<(u32, u32, u32)>,
    /// Requests per second that arrived from clients and from the node's upstream, by route. Like all rates by route, only
    /// in the node's own reports to the delegate of its failure domain, which sums them.
    #[serde(rename = "came", default, skip_serializing_if = "Rates::is_empty")]
    pub arrivals: Rates,
    /// Admitted root requests per second, by route.
    #[serde(default, skip_serializing_if = "Rates::is_empty")]
    pub admitted: Rates,
    /// Used slots of its upstream, by route of the root request.
    #[serde(default, skip_serializing_if = "Rates::is_empty")]
    pub used: Rates,
    /// Root requests per second of the heaviest tenants, by class.
    #[serde(default, skip_serializing_if = "TenantRates::is_empty")]
    pub tenants: TenantRates,
    /// Whether its last read of the store failed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub store_lost: bool,
}

impl Measurements {
    /// The reported load.
    pub fn load(&self) -> Load {
        let (running, waiting, limit, held_us) = self.load;
        let rate = self.rate.map(|(rate, _)| Rate(rate));
        let tokens = self.rate.map_or(0.0, |(_, tokens)| tokens);
        let service_time =
            self.service.and_then(|(run, percent, age)| ServiceTime::checked(run, percent, age));
        let window = self.window;
        Load { running, waiting, limit, held_us, rate, tokens, window, service_time }
    }

    /// The load alone, without the rates by route.
    fn without_rates(&self) -> Self {
        let Self { sequence, load, rate, window, service, store_lost, .. } = *self;
        Self { sequence, load, rate, window, service, store_lost, ..Self::default() }
    }

    /// Whether all figures can be of a node.
    pub fn is_plausible(&self) -> bool {
        let (running, waiting, limit, held_us) = self.load;
        let rates = [&self.arrivals, &self.admitted, &self.used];
        [running, waiting, limit].iter().all(|count| *count <= MAX_REQUESTS)
            && held_us <= MAX_HELD_US
            && self
                .service
                .is_none_or(|(run, percent, age)| ServiceTime::checked(run, percent, age).is_some())
            && self.rate.is_none_or(|(rate, tokens)| rate >= 0.0 && tokens.is_finite())
            && rates.into_iter().chain(self.tenants.values()).all(demand::is_plausible)
    }

    /// Requests beyond those for which a slot is surely free, as a share of the slots.
    fn busyness(&self) -> f64 {
        let (running, waiting, limit, _) = self.load;
        let share = f64::from(running.saturating_add(waiting)) / f64::from(limit.max(1));
        (share - FREE_SHARE).max(0.0)
    }

    /// Whether other nodes, which know `told`, have to be told of these measurements. Changes of the load alone have to
    /// wait until they are due.
    fn differs_from(&self, told: &Self, due: bool) -> bool {
        let (limit, held) = (self.load.2, f64::from(self.load.3).max(1.0));
        let told_held = f64::from(told.load.3).max(1.0);
        let rate = |measurements: &Self| measurements.rate.map_or(f64::INFINITY, |(rate, _)| rate);
        let apart = |one: f64, two: f64, factor: f64| one > two * factor || two > one * factor;
        told.sequence == 0
            || limit != told.load.2
            || self.store_lost != told.store_lost
            || apart(rate(self), rate(told), RATE_FACTOR)
            || due
                && (self.busyness() > 0.0
                    || told.busyness() > BUSYNESS_STEP
                    || self.window != told.window
                    || apart(held, told_held, HELD_FACTOR))
    }
}

/// A node's record and its last measurements.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The record.
    pub record: Record,
    /// The measurements.
    pub measurements: Measurements,
}

/// An update about one node, as sent between nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Name of the node.
    pub node: Arc<str>,
    /// Incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The record, if it has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record: Option<Record>,
    /// The measurements, for readers in the same region.
    #[serde(rename = "pulse", default, skip_serializing_if = "Option::is_none")]
    pub measurements: Option<Measurements>,
}

impl MemberUpdate {
    /// Why the update can't be of a node.
    fn contradiction(&self) -> Option<&'static str> {
        let record = self.record.as_ref();
        if self.incarnation > MAX_INCARNATION {
            return Some("the incarnation is no time of a start");
        }
        let other = record.is_some_and(|record| record.node != self.node);
        let mixed = record.is_some_and(|record| record.incarnation != self.incarnation);
        (other || mixed).then_some("the record is of another node or incarnation")
    }

    /// Whether the update tells of a later incarnation of a node, or of more than this one has told.
    fn supersedes(&self, known: &Member) -> bool {
        let Member { record, measurements } = known;
        if self.incarnation != record.incarnation {
            return self.incarnation > record.incarnation;
        }
        let later_record = self.record.as_ref().is_some_and(|told| {
            told.serial > record.serial
                || told.serial == record.serial && told.address != record.address
        });
        let later_measurements = self.measurements.as_ref();
        later_record || later_measurements.is_some_and(|told| told.sequence > measurements.sequence)
    }
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// Table revision of the last update, and of the last that changed the record.
    revision: u64,
    record_revision: u64,
    heard_at: Instant,
    /// Whether the delegate of its failure domain has told that it is silent.
    reported_silent: bool,
    /// The node that sent the last update, which is not sent back to it.
    source: Option<Arc<str>>,
}

/// What an update about this node itself shows.
fn merge_own(update: &MemberUpdate, own: &Member) -> Merged {
    if update.supersedes(own) { Merged::Superseded(update.incarnation) } else { Merged::Unchanged }
}

/// The bucket of a node's record.
pub fn bucket(node: &str) -> usize {
    (xxh3::xxh3_64(node.as_bytes()) % BUCKETS as u64) as usize
}

/// The known nodes.
#[derive(Debug)]
pub struct Table {
    own: Arc<str>,
    entries: BTreeMap<Arc<str>, Entry>,
    /// Index of node names by service, for the lookups of requests.
    services: HashMap<Arc<str>, Vec<Arc<str>>>,
    revision: u64,
}

/// The nodes that a delegate sums up.
#[derive(Debug, Clone, Copy)]
pub enum Scope<'a> {
    /// A failure domain.
    Domain(&'a str),
    /// A region.
    Region(&'a str),
}

/// What an update changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// Nothing.
    Unchanged,
    /// Only the measurements.
    Measurements,
    /// A node was added, or its record changed.
    Changed,
    /// Another node knows a later incarnation of this node than the running one, or other data of the same one.
    Superseded(u64),
    /// The update can't be of a node, for this reason.
    Rejected(&'static str),
}

impl Table {
    /// A table that holds only this node.
    pub fn new(own: Record, now: Instant) -> Self {
        let name = own.node.clone();
        let member = Member { record: own, measurements: Measurements::default() };
        let entry = Entry {
            member,
            revision: 1,
            record_revision: 1,
            heard_at: now,
            reported_silent: false,
            source: None,
        };
        let services = HashMap::from([(entry.member.record.service.clone(), vec![name.clone()])]);
        Self { own: name.clone(), entries: BTreeMap::from([(name, entry)]), services, revision: 1 }
    }

    /// Merges an update from another node, or from the store.
    pub fn merge(
        &mut self,
        update: MemberUpdate,
        source: Option<&Arc<str>>,
        now: Instant,
    ) -> Merged {
        if let Some(reason) = update.contradiction() {
            return Merged::Rejected(reason);
        }
        let revision = self.revision + 1;
        let Some(entry) = self.entries.get_mut(&update.node) else {
            return self.insert(update, source, now);
        };
        let known = &mut entry.member;
        if update.node == self.own {
            return merge_own(&update, known);
        }
        let restarted = update.incarnation > known.record.incarnation;
        if update.incarnation < known.record.incarnation || (restarted && update.record.is_none()) {
            return Merged::Unchanged;
        }
        let new_record =
            update.record.filter(|record| restarted || record.serial > known.record.serial);
        let new_measurements = update.measurements.filter(|measurements| {
            restarted || measurements.sequence > known.measurements.sequence
        });
        if new_record.is_none() && new_measurements.is_none() {
            return Merged::Unchanged;
        }
        entry.revision = revision;
        entry.heard_at = now;
        entry.reported_silent = false;
        entry.source = source.cloned();
        self.revision = revision;
        if restarted {
            known.measurements = Measurements::default();
        }
        if let Some(measurements) = new_measurements {
            known.measurements = measurements;
        }
        let Some(mut record) = new_record else { return Merged::Measurements };
        // A node that was killed has forgotten them; its next incarnation is told.
        if add_departures(&mut record.departures, &known.record.departures) {
            entry.source = None;
        }
        let service_changed = known.record.service != record.service;
        known.record = record;
        entry.record_revision = revision;
        if restarted {
            self.forget_source(&update.node);
        }
        if service_changed {
            self.rebuild_index();
        }
        Merged::Changed
    }

    /// Takes note that a node was restarted, and no longer knows what it has told.
    fn forget_source(&mut self, node: &Arc<str>) {
        for entry in self.entries.values_mut() {
            entry.source.take_if(|source| source == node);
        }
    }

    /// Adds an unknown node.
    fn insert(&mut self, update: MemberUpdate, source: Option<&Arc<str>>, now: Instant) -> Merged {
        // It can't be reached without its record; an exchange with another node will bring it.
        let Some(record) = update.record else { return Merged::Unchanged };
        let member = Member { record, measurements: update.measurements.unwrap_or_default() };
        self.revision += 1;
        let revision = self.revision;
        let source = source.cloned();
        let entry = Entry {
            member,
            revision,
            record_revision: revision,
            heard_at: now,
            reported_silent: false,
            source,
        };
        self.entries.insert(update.node, entry);
        self.rebuild_index();
        Merged::Changed
    }

    /// Raises this node's incarnation above one that another node knows; false if there is no higher one.
    pub fn supersede(&mut self, incarnation: u64) -> bool {
        let next = incarnation.saturating_add(1).min(MAX_INCARNATION);
        self.update_own(|own| own.incarnation = own.incarnation.max(next))
    }

    /// Changes this node's own record; false if it is the same as before.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Record)) -> bool {
        let revision = self.revision + 1;
        let Some(entry) = self.entries.get_mut(&self.own) else { return false };
        let before = entry.member.record.clone();
        change(&mut entry.member.record);
        if entry.member.record == before {
            return false;
        }
        entry.member.record.serial += 1;
        entry.revision = revision;
        entry.record_revision = revision;
        self.revision = revision;
        true
    }

    /// Sets this node's own measurements, if they differ enough from those that other nodes know.
    pub fn set_measurements(&mut self, measurements: &Measurements, now: Instant) {
        let region = self.own().map(|own| own.record.region.clone());
        let nodes = self.entries.values().map(|entry| &entry.member.record.region);
        let nodes = nodes.filter(|other| Some(*other) == region.as_ref()).count() as u32;
        let Some(entry) = self.entries.get_mut(&self.own) else { return };
        let told = &entry.member.measurements;
        let age = now.saturating_duration_since(entry.heard_at);
        let due = age >= MIN_LOAD_INTERVAL.max(LOAD_INTERVAL_PER_NODE * nodes);
        if !measurements.differs_from(told, due) {
            return;
        }
        let sequence = told.sequence + 1;
        entry.member.measurements = Measurements { sequence, ..measurements.without_rates() };
        self.revision += 1;
        entry.revision = self.revision;
        entry.heard_at = now;
    }

    /// Records that a node itself was heard from.
    pub fn heard_from(&mut self, node: &str, incarnation: u64, now: Instant) {
        if let Some(entry) = self.entries.get_mut(node)
            && entry.member.record.incarnation == incarnation
        {
            entry.heard_at = now;
            entry.reported_silent = false;
        }
    }

    /// Digests of the records, by bucket: buckets with the same digest hold the same records.
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0; BUCKETS];
        for Entry { member: Member { record, .. }, .. } in self.entries.values() {
            let mut hasher = Xxh3::new();
            hasher.update(record.node.as_bytes());
            hasher.update(&record.incarnation.to_be_bytes());
            hasher.update(&record.serial.to_be_bytes());
            for Departure { id, started_ms, .. } in &record.departures {
                hasher.update(id.as_bytes());
                hasher.update(&started_ms.to_be_bytes());
            }
            digests[bucket(&record.node)] ^= hasher.digest();
        }
        digests
    }

    /// The buckets whose records another node with these digests does not have; all of them if it counts others.
    pub fn unequal_buckets(&self, digests: &[u64]) -> BTreeSet<usize> {
        let own = self.digests();
        let unequal = |bucket: &usize| digests.len() != BUCKETS || digests[*bucket] != own[*bucket];
        (0..BUCKETS).filter(unequal).collect()
    }

    /// The update about this node, as a node is sent that may know all others.
    pub fn own_update(&self) -> Option<MemberUpdate> {
        let record = self.own()?.record.clone();
        let (node, incarnation) = (record.node.clone(), record.incarnation);
        Some(MemberUpdate { node, incarnation, record: Some(record), measurements: None })
    }

    /// This node.
    pub fn own(&self) -> Option<&Member> {
        self.entries.get(&self.own).map(|entry| &entry.member)
    }

    /// Whether any other node is known.
    pub fn has_others(&self) -> bool {
        self.entries.len() > 1
    }

    /// Number of nodes whose upstreams accept requests.
    pub fn count_ready(&self) -> usize {
        let ready = |entry: &&Entry| entry.member.record.state == UpstreamState::Ready;
        self.entries.values().filter(ready).count()
    }

    /// The node of that name.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.entries.get(node).map(|entry| &entry.member)
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Updates since a revision, except those that came from `reader`; with measurements only if it is in this region.
    /// Also returns the revision up to which they are complete: measurements are sent in the order of their changes, and
    /// those that find no room follow with the next message.
    pub fn changes_since(
        &self,
        revision: u64,
        reader: &str,
        same_region: bool,
    ) -> (Vec<MemberUpdate>, u64) {
        let own_region = self.own().map(|own| own.record.region.clone());
        let changed = self
            .entries
            .values()
            .filter(|entry| entry.revision > revision && entry.source.as_deref() != Some(reader));
        let with_load = |entry: &&Entry| {
            let Member { record, measurements } = &entry.member;
            let in_region = Some(&record.region) == own_region.as_ref();
            same_region && in_region && measurements.sequence > 0
        };
        let mut loads: Vec<u64> =
            changed.clone().filter(with_load).map(|entry| entry.revision).collect();
        loads.sort_unstable();
        let last = loads.get(MAX_LOADS).map_or(self.revision, |next| next - 1);
        let updates = changed.filter_map(|entry| {
            let Member { record, measurements } = &entry.member;
            let record_update = (entry.record_revision > revision).then(|| record.clone());
            let measurements =
                (with_load(&entry) && entry.revision <= last).then(|| measurements.clone());
            let needed = record_update.is_some() || measurements.is_some();
            needed.then(|| MemberUpdate {
                node: record.node.clone(),
                incarnation: record.incarnation,
                record: record_update,
                measurements,
            })
        });
        (updates.collect(), last)
    }

    /// Marks the nodes of a region, or failure domain, as heard from, except the silent ones that its delegate lists.
    /// Nodes of `except`, the failure domain that this node sums up itself, stay as they are.
    pub fn refresh(
        &mut self,
        scope: Scope<'_>,
        except: Option<&str>,
        silent: &[Arc<str>],
        now: Instant,
    ) {
        for entry in self.entries.values_mut() {
            let record = &entry.member.record;
            let included = match scope {
                Scope::Domain(zone) => *record.zone == *zone,
                Scope::Region(region) => *record.region == *region,
            };
            let kept = except.is_some_and(|zone| *record.zone == *zone) || record.node == self.own;
            if !included || kept {
                continue;
            }
            entry.reported_silent = silent.contains(&record.node);
            if !entry.reported_silent {
                entry.heard_at = now;
            }
        }
    }

    /// Every node, and whether it is silent.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&Member, bool)> {
        self.entries.values().map(move |entry| self.with_silence(entry, now))
    }

    /// The nodes of a service, and whether they are silent.
    pub fn of_service(&self, service: &str, now: Instant) -> impl Iterator<Item = (&Member, bool)> {
        let names = self.services.get(service).into_iter().flatten();
        names
            .filter_map(|name| self.entries.get(name))
            .map(move |entry| self.with_silence(entry, now))
    }

    /// The nodes of a failure domain, and whether they have not been heard from for `max_age`.
    pub fn of_domain(
        &self,
        domain: &str,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&Member, bool)> {
        let inside =
            self.entries.values().filter(move |entry| *entry.member.record.zone == *domain);
        inside.map(move |entry| {
            let own = entry.member.record.node == self.own;
            let age = now.saturating_duration_since(entry.heard_at);
            (&entry.member, !own && (entry.reported_silent || age > max_age))
        })
    }

    fn with_silence<'a>(&self, entry: &'a Entry, now: Instant) -> (&'a Member, bool) {
        let own = entry.member.record.node == self.own;
        let age = now.saturating_duration_since(entry.heard_at);
        (&entry.member, !own && (entry.reported_silent || age > SILENT_AFTER))
    }

    fn rebuild_index(&mut self) {
        self.services.clear();
        for (name, entry) in &self.entries {
            let service = entry.member.record.service.clone();
            self.services.entry(service).or_default().push(name.clone());
        }
    }

    /// Marks every node as heard from now, as no updates were received while this process was suspended.
    pub fn refresh_all(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.heard_at = now;
            entry.reported_silent = false;
        }
    }

    /// Removes nodes without updates for `REMOVE_AFTER`.
    pub fn sweep(&mut self, now: Instant) {
        let own = self.own.clone();
        let before = self.entries.len();
        self.entries.retain(|node, entry| {
            *node == own || now.saturating_duration_since(entry.heard_at) < REMOVE_AFTER
        });
        if self.entries.len() < before {
            self.rebuild_index();
        }
    }
}
