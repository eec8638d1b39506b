//! Who is there: records of nodes, merged from the store and from other nodes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::queue::Load;

/// Time without news of a node after which calls avoid it.
const SILENT: Duration = Duration::from_secs(3);
/// Time without news of a node after which it is forgotten, unless it is the only one of its service.
const GONE: Duration = Duration::from_secs(30);

/// Whether a node's upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// The node has not heard from its upstream.
    Unknown,
    /// It takes work.
    Ready,
    /// It takes no new work.
    Leaving,
}

/// What a node says of itself when something changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the node.
    pub node: Arc<str>,
    /// Life of its process; a later one is higher.
    pub life: u64,
    /// Number of the change in that life.
    pub serial: u64,
    /// Failure domain.
    pub zone: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Address for other nodes.
    pub address: SocketAddr,
    /// Service of its upstream.
    pub service: Arc<str>,
    /// Whether the upstream takes work.
    pub standing: Standing,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// The upstream as it was when the process was stopped, for its next life.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parting: Option<Parting>,
}

/// An upstream that went on while its node was stopped.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Parting {
    /// Its id.
    pub id: String,
    /// Milliseconds since the epoch at its start.
    pub born: u64,
    /// Requests it runs at once.
    pub slots: u32,
    /// Number of its last beat.
    pub sequence: u64,
    /// Time of day when the node was stopped, in milliseconds.
    pub at: u64,
}

/// A rate of one route, by the route's name.
pub type Rates = BTreeMap<Arc<str>, f64>;

/// What a node measures all the time.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Pulse {
    /// Number of the pulse in the life of the process.
    pub beat: u64,
    /// Requests that run, wait and may run, and the time a slot is held.
    pub load: (u32, u32, u32, u32),
    /// Requests that came to this node from callers and its upstream, a second.
    pub came: Rates,
    /// Root requests that it let in, a second.
    pub admitted: Rates,
    /// Slots of its upstream that are taken, by the route of the root request.
    pub used: Rates,
}

impl Pulse {
    /// The load it reports.
    pub fn load(&self) -> Load {
        let (running, waiting, limit, held) = self.load;
        Load { running, waiting, limit, held }
    }
}

/// A node with its last pulse.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The record.
    pub record: Record,
    /// The pulse.
    pub pulse: Pulse,
}

/// What one node tells another of a third.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Name of the node.
    pub node: Arc<str>,
    /// Life of its process.
    pub life: u64,
    /// The record, if it changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record: Option<Record>,
    /// The pulse, for readers in the same region.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pulse: Option<Pulse>,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// Revision of the last news, and of the last that changed the record.
    revision: u64,
    changed: u64,
    heard: Instant,
    /// The node that told of it last, which needs not be told.
    source: Option<Arc<str>>,
}

/// The nodes that are known.
#[derive(Debug)]
pub struct Table {
    own: Arc<str>,
    entries: BTreeMap<Arc<str>, Entry>,
    /// Names of the nodes of each service, as requests look for them.
    services: HashMap<Arc<str>, Vec<Arc<str>>>,
    revision: u64,
}

/// What news changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Nothing.
    Old,
    /// Only figures.
    Pulse,
    /// A node came, changed or left.
    Changed,
    /// Somebody knows a later life of this very node than this one.
    Overtaken(u64),
}

impl Table {
    /// A table with this node only.
    pub fn new(own: Record, now: Instant) -> Self {
        let name = own.node.clone();
        let member = Member { record: own, pulse: Pulse::default() };
        let entry = Entry { member, revision: 1, changed: 1, heard: now, source: None };
        let services = HashMap::from([(entry.member.record.service.clone(), vec![name.clone()])]);
        Self { own: name.clone(), entries: BTreeMap::from([(name, entry)]), services, revision: 1 }
    }

    /// Takes news of a node from another one, or from the store.
    pub fn merge(&mut self, told: Told, source: Option<&Arc<str>>, now: Instant) -> News {
        let revision = self.revision + 1;
        let Some(entry) = self.entries.get_mut(&told.node) else {
            // Without a record nobody knows where it is; the next exchange with somebody else brings it.
            let Some(record) = told.record else { return News::Old };
            let member = Member { record, pulse: told.pulse.unwrap_or_default() };
            let source = source.cloned();
            let entry = Entry { member, revision, changed: revision, heard: now, source };
            self.entries.insert(told.node, entry);
            self.revision = revision;
            self.index();
            return News::Changed;
        };
        let known = &mut entry.member;
        if told.node == self.own {
            let later = told.life > known.record.life;
            return if later { News::Overtaken(told.life) } else { News::Old };
        }
        let reborn = told.life > known.record.life;
        if told.life < known.record.life || (reborn && told.record.is_none()) {
            return News::Old;
        }
        let newer = told.record.filter(|record| reborn || record.serial > known.record.serial);
        let fresher = told.pulse.filter(|pulse| reborn || pulse.beat > known.pulse.beat);
        if newer.is_none() && fresher.is_none() {
            return News::Old;
        }
        entry.revision = revision;
        entry.heard = now;
        entry.source = source.cloned();
        self.revision = revision;
        if reborn {
            known.pulse = Pulse::default();
        }
        if let Some(pulse) = fresher {
            known.pulse = pulse;
        }
        let Some(record) = newer else { return News::Pulse };
        let moved = known.record.service != record.service;
        known.record = record;
        entry.changed = revision;
        if moved {
            self.index();
        }
        News::Changed
    }

    /// Changes this node's own record.
    pub fn change(&mut self, change: impl FnOnce(&mut Record)) -> bool {
        let revision = self.revision + 1;
        let Some(entry) = self.entries.get_mut(&self.own) else { return false };
        let before = entry.member.record.clone();
        change(&mut entry.member.record);
        if entry.member.record == before {
            return false;
        }
        entry.member.record.serial += 1;
        entry.revision = revision;
        entry.changed = revision;
        self.revision = revision;
        true
    }

    /// Takes this node's own measurements.
    pub fn pulse(&mut self, mut pulse: Pulse, now: Instant) {
        self.revision += 1;
        let Some(entry) = self.entries.get_mut(&self.own) else { return };
        pulse.beat = entry.member.pulse.beat + 1;
        entry.member.pulse = pulse;
        entry.revision = self.revision;
        entry.heard = now;
    }

    /// This node.
    pub fn own(&self) -> Option<&Member> {
        self.entries.get(&self.own).map(|entry| &entry.member)
    }

    /// Number of nodes whose upstreams take work.
    pub fn ready(&self) -> usize {
        let ready = |entry: &&Entry| entry.member.record.standing == Standing::Ready;
        self.entries.values().filter(ready).count()
    }

    /// A node.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.entries.get(node).map(|entry| &entry.member)
    }

    /// Number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What has changed after a revision, but for what `reader` itself told; pulses only if it is `near`.
    pub fn since(&self, revision: u64, reader: &str, near: bool) -> Vec<Told> {
        let own_region = self.own().map(|own| own.record.region.clone());
        let news = self.entries.iter().filter_map(|(node, entry)| {
            let Member { record, pulse } = &entry.member;
            if entry.revision <= revision || entry.source.as_deref() == Some(reader) {
                return None;
            }
            let here = Some(&record.region) == own_region.as_ref();
            let changed = (entry.changed > revision).then(|| record.clone());
            let pulse = (near && here && pulse.beat > 0).then(|| pulse.clone());
            let told = changed.is_some() || pulse.is_some();
            let (node, life) = (node.clone(), record.life);
            told.then_some(Told { node, life, record: changed, pulse })
        });
        news.collect()
    }

    /// Another region's delegate vouches for its nodes, but for the silent ones.
    pub fn vouched(&mut self, region: &str, silent: &[Arc<str>], now: Instant) {
        for entry in self.entries.values_mut() {
            let record = &entry.member.record;
            if *record.region == *region && !silent.contains(&record.node) {
                entry.heard = now;
            }
        }
    }

    /// Every node, and whether it has been silent for long.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&Member, bool)> {
        self.entries.values().map(move |entry| self.heard(entry, now))
    }

    /// The nodes of a service, and whether they have been silent for long.
    pub fn of(&self, service: &str, now: Instant) -> impl Iterator<Item = (&Member, bool)> {
        let names = self.services.get(service).into_iter().flatten();
        names.filter_map(|name| self.entries.get(name)).map(move |entry| self.heard(entry, now))
    }

    fn heard<'a>(&self, entry: &'a Entry, now: Instant) -> (&'a Member, bool) {
        let own = entry.member.record.node == self.own;
        let age = now.saturating_duration_since(entry.heard);
        (&entry.member, !own && age > SILENT)
    }

    fn index(&mut self) {
        self.services.clear();
        for (name, entry) in &self.entries {
            let service = entry.member.record.service.clone();
            self.services.entry(service).or_default().push(name.clone());
        }
    }

    /// Gives every node a new chance to be heard: this process stood still and knows nothing of the time between.
    pub fn woke(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.heard = now;
        }
    }

    /// Forgets nodes that have been silent for very long.
    pub fn sweep(&mut self, now: Instant) {
        let own = self.own.clone();
        let before = self.entries.len();
        self.entries.retain(|node, entry| {
            *node == own || now.saturating_duration_since(entry.heard) < GONE
        });
        if self.entries.len() < before {
            self.index();
        }
    }
}
