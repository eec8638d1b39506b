//! Who is there: records of nodes, merged from the store and from other nodes.

use std::collections::BTreeMap;
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
    /// Root requests that came to this node, a second.
    pub offered: Rates,
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
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Member {
    /// The record.
    pub record: Record,
    /// The pulse.
    pub pulse: Pulse,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    revision: u64,
    heard: Instant,
    /// The node that told of it last, which needs not be told.
    source: Option<Arc<str>>,
}

/// The nodes that are known.
#[derive(Debug)]
pub struct Table {
    own: Arc<str>,
    entries: BTreeMap<Arc<str>, Entry>,
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
        let entry = Entry { member, revision: 1, heard: now, source: None };
        Self { own: name.clone(), entries: BTreeMap::from([(name, entry)]), revision: 1 }
    }

    /// Takes news of a node from another one, or from the store.
    pub fn merge(&mut self, news: Member, source: Option<&Arc<str>>, now: Instant) -> News {
        let Some(entry) = self.entries.get_mut(&news.record.node) else {
            self.revision += 1;
            let node = news.record.node.clone();
            let entry = Entry {
                member: news,
                revision: self.revision,
                heard: now,
                source: source.cloned(),
            };
            self.entries.insert(node, entry);
            return News::Changed;
        };
        let known = &entry.member;
        if news.record.node == self.own {
            let later = news.record.life > known.record.life;
            return if later { News::Overtaken(news.record.life) } else { News::Old };
        }
        let newer = (news.record.life, news.record.serial) > (known.record.life, known.record.serial);
        let fresher = (news.record.life, news.pulse.beat) > (known.record.life, known.pulse.beat);
        if news.record.life < known.record.life || !(newer || fresher) {
            return News::Old;
        }
        self.revision += 1;
        entry.revision = self.revision;
        entry.heard = now;
        entry.source = source.cloned();
        if news.record.life > known.record.life {
            entry.member = news;
            return News::Changed;
        }
        if fresher {
            entry.member.pulse = news.pulse;
        }
        if newer {
            entry.member.record = news.record;
            return News::Changed;
        }
        News::Pulse
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

    /// Number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What has changed after a revision, but for what `reader` itself told.
    pub fn since(&self, revision: u64, reader: &str) -> Vec<Member> {
        let changed = self.entries.values().filter(|entry| {
            entry.revision > revision && entry.source.as_deref() != Some(reader)
        });
        changed.map(|entry| entry.member.clone()).collect()
    }

    /// Every node, and whether it has been silent for long.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&Member, bool)> {
        self.entries.values().map(move |entry| {
            let own = entry.member.record.node == self.own;
            let age = now.saturating_duration_since(entry.heard);
            (&entry.member, !own && age > SILENT)
        })
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
        self.entries.retain(|node, entry| {
            *node == own || now.saturating_duration_since(entry.heard) < GONE
        });
    }
}
