//! State of the process that all tasks share.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use quarantine::Fingerprint;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use units::Clock;

use super::events::{Event, Sink};
use super::gate::Gate;
use super::intake::Intake;
use super::metrics::Metrics;
use super::place::Place;
use super::upstream::{Moment, Upstream};
use crate::connection::pool::Pool;
use crate::decide::budget::Budget;
use crate::decide::choose::{Peer, Tier};
use crate::decide::demand::Demand;
use crate::decide::family::Family;
use crate::decide::members::{News, Record, Standing, Table};
use crate::decide::split::Split;
use crate::platform::Platform;
use crate::request::call::Root;
use crate::version::Configuration;

/// Longest time to connect to the upstream, which is on the same machine.
const UPSTREAM_CONNECT: Duration = Duration::from_millis(300);
/// Longest time to connect to another node: twice over the longest path between regions and back.
const PEER_CONNECT: Duration = Duration::from_millis(250);

/// Cost of a node whose upstream leaves, in time: it is asked if no other takes work, and its guard says for how long.
const LEAVING_COST: Duration = Duration::from_secs(30);

/// A node that requests can be sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its record.
    pub record: Record,
    /// It is this node.
    pub local: bool,
}

/// A region as its delegate sums it up for others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    /// Time of day at the delegate, in milliseconds; a later one counts.
    pub stamp: u64,
    /// Demand at its nodes.
    pub demand: Demand,
    /// Nodes that it has not heard of for long.
    pub silent: Vec<Arc<str>>,
}

/// State of the process.
pub struct Shared<P: Platform> {
    /// The platform.
    pub platform: P,
    /// Settings.
    pub place: Place,
    /// Metrics.
    pub metrics: Metrics,
    /// Structured log.
    pub sink: Sink,
    /// Slots of the upstream.
    pub gate: Gate,
    /// The upstream.
    pub upstream: Mutex<Upstream>,
    /// Requests that run at the upstream.
    pub family: Mutex<Family<Root>>,
    /// Connections to the upstream.
    pub lanes: Arc<Pool>,
    /// Connections to other nodes.
    pub links: Arc<Pool>,
    /// Nodes.
    pub table: Mutex<Table>,
    /// Nodes as places to send requests to.
    pub peers: Mutex<HashMap<Arc<str>, Peer>>,
    /// Retries by service.
    pub budgets: Mutex<HashMap<Arc<str>, Budget>>,
    /// Shares of split routes.
    pub splits: Mutex<HashMap<Arc<str>, Split>>,
    /// Demand in other regions, and when it was summed up there.
    pub regions: Mutex<BTreeMap<Arc<str>, Summary>>,
    /// What is let in.
    pub intake: Mutex<Intake>,
    /// Requests that were there when an upstream died.
    pub suspects: Mutex<quarantine::Table>,
    /// News of suspects that other nodes have not been told.
    pub told: Mutex<Vec<quarantine::Told>>,
    /// Wakes the exchange with other nodes.
    pub urgent: Notify,
    /// Requests that began here and have no answer yet.
    pub open: AtomicU32,
    /// Set when the process stops.
    pub stopping: watch::Sender<bool>,
    /// The process ends soon: nothing new is taken from other nodes, and no announcement of the upstream.
    pub parting: AtomicBool,
    /// The store was read once, or other nodes were.
    pub oriented: AtomicBool,
    active: RwLock<Option<Arc<Configuration>>>,
}

impl<P: Platform> Shared<P> {
    /// State of a process that has just started.
    pub fn new(platform: P, place: Place, sink: Sink) -> prometheus::Result<Self> {
        let now = platform.clock().now();
        let wall = platform.clock().wall();
        let life = wall.duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_millis();
        let own = Record {
            node: place.node.clone(),
            life: life as u64,
            serial: 1,
            zone: place.zone.clone(),
            region: place.region.clone(),
            address: place.listen.advertised,
            service: place.service.clone(),
            standing: Standing::Unknown,
            slots: 0,
            parting: None,
        };
        Ok(Self {
            metrics: Metrics::new()?,
            sink,
            gate: Gate::default(),
            upstream: Mutex::new(Upstream::new(place.beat, place.drain, now)),
            family: Mutex::new(Family::new(now)),
            lanes: Arc::new(Pool::new(None, UPSTREAM_CONNECT)),
            links: Arc::new(Pool::new(Some(place.listen.nodes.ip()), PEER_CONNECT)),
            table: Mutex::new(Table::new(own, now)),
            peers: Mutex::default(),
            budgets: Mutex::default(),
            splits: Mutex::default(),
            regions: Mutex::default(),
            intake: Mutex::new(Intake::new()),
            suspects: Mutex::default(),
            told: Mutex::default(),
            urgent: Notify::new(),
            open: AtomicU32::new(0),
            stopping: watch::Sender::new(false),
            parting: AtomicBool::new(false),
            oriented: AtomicBool::new(false),
            active: RwLock::new(None),
            platform,
            place,
        })
    }

    /// Monotonic time.
    pub fn now(&self) -> Instant {
        self.platform.clock().now()
    }

    /// Time of day in milliseconds, for other machines to compare.
    pub fn stamp(&self) -> u64 {
        let wall = self.platform.clock().wall();
        wall.duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }

    /// The moment on both clocks.
    pub fn moment(&self) -> Moment {
        Moment { now: self.now(), wall: self.stamp() }
    }

    /// Writes an event to the log.
    pub fn tell(&self, event: &Event<'_>) {
        let clock = self.platform.clock();
        self.sink.tell(event, clock.now(), clock.wall());
    }

    /// The configuration in force.
    pub fn active(&self) -> Option<Arc<Configuration>> {
        self.active.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Version of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.active().map_or(0, |active| active.version)
    }

    /// Checks a configuration and puts it in force, unless it is older than the one that is.
    pub fn take_configuration(&self, bytes: &[u8], from: &str) {
        let configuration = match self.platform.configuration(bytes) {
            Ok(configuration) => configuration,
            Err(why) => return self.tell(&Event::ConfigurationRefused { from, why: &why }),
        };
        let version = configuration.version;
        {
            let mut active = self.active.write().unwrap_or_else(PoisonError::into_inner);
            if active.as_ref().is_some_and(|active| active.version >= version) {
                return;
            }
            *active = Some(Arc::new(configuration));
        }
        self.metrics.version.set(version as i64);
        self.tell(&Event::ConfigurationTaken { version, from });
        self.urgent.notify_one();
    }

    /// Notes what news of a node changed.
    pub fn noted(&self, news: News, node: &Arc<str>, from: &str) {
        match news {
            News::Old | News::Pulse => {}
            News::Changed => {
                let record = lock(&self.table).get(node).map(|member| member.record.clone());
                if let Some(record) = record {
                    self.tell(&Event::MemberChanged {
                        member: &record.node,
                        life: record.life,
                        serial: record.serial,
                        standing: standing(record.standing),
                        from,
                    });
                }
                self.urgent.notify_one();
            }
            News::Overtaken(life) => {
                lock(&self.table).change(|own| own.life = own.life.max(life + 1));
                self.urgent.notify_one();
            }
        }
    }

    /// Makes the upstream's state known to others.
    pub fn publish(&self) {
        let (standing, slots) = {
            let upstream = lock(&self.upstream);
            (upstream.standing(), upstream.known().map_or(0, |beat| beat.slots))
        };
        let parting = self.parting.load(Ordering::Relaxed);
        let standing = if parting { Standing::Leaving } else { standing };
        let changed = lock(&self.table).change(|own| {
            own.standing = standing;
            own.slots = slots;
        });
        if changed {
            self.urgent.notify_one();
        }
    }

    /// Picks a node for a call, none of `tried`, and says whether there is another one.
    pub fn choose(&self, service: &str, tried: &[Arc<str>]) -> Option<(Target, bool)> {
        let now = self.now();
        let table = lock(&self.table);
        let peers = lock(&self.peers);
        let mut best: Option<(Duration, &Record)> = None;
        let mut more = false;
        for (member, silent) in table.of(service, now) {
            let record = &member.record;
            let left = record.standing == Standing::Leaving;
            if record.standing == Standing::Unknown || tried.contains(&record.node) {
                continue;
            }
            let tier = self.tier(record);
            let known = peers.get(&record.node);
            let cost = match known {
                Some(peer) => peer.cost(tier, silent, now),
                None => Peer::new(now).cost(tier, silent, now),
            };
            let cost = cost + if left { LEAVING_COST } else { Duration::ZERO };
            let cost = cost + Duration::from_micros(rand::random_range(0..500));
            more = best.is_some();
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, record));
            }
        }
        let (_, record) = best?;
        let local = record.node == self.place.node;
        Some((Target { record: record.clone(), local }, more))
    }

    /// Does something with what is known of a node as a place to send requests to.
    pub fn peer<T>(&self, node: &Arc<str>, change: impl FnOnce(&mut Peer) -> T) -> T {
        let now = self.now();
        let mut peers = lock(&self.peers);
        change(peers.entry(node.clone()).or_insert_with(|| Peer::new(now)))
    }

    /// Ranks of all routes.
    pub fn ranks(&self) -> BTreeMap<Arc<str>, u8> {
        let active = self.active();
        let routes = active.iter().flat_map(|active| active.routes());
        routes.map(|route| (route.name.clone(), route.rank)).collect()
    }

    /// A request was there when an upstream died.
    pub fn suspect(&self, fingerprint: Fingerprint, epoch: u64) {
        let Ok(node) = self.place.node.parse() else { return };
        let death = Some(quarantine::Death { node, epoch });
        let told = quarantine::Told { fingerprint, death, call: String::new() };
        lock(&self.suspects).merge(&told, self.now());
        lock(&self.told).push(told);
        self.urgent.notify_one();
    }

    /// Whether requests of clients may be sent here, and why not.
    pub fn readiness(&self) -> Result<(), &'static str> {
        if *self.stopping.borrow() {
            return Err("stopping");
        }
        if self.active().is_none() {
            return Err("no configuration");
        }
        if !self.oriented.load(Ordering::Relaxed) {
            return Err("no other nodes known");
        }
        Ok(())
    }

    fn tier(&self, record: &Record) -> Tier {
        if record.zone == self.place.zone {
            Tier::Zone
        } else if record.region == self.place.region {
            Tier::Region
        } else {
            Tier::Far
        }
    }
}

/// Its name in the log.
pub fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::Unknown => "unknown",
        Standing::Ready => "ready",
        Standing::Leaving => "leaving",
    }
}

/// Locks a mutex; a thread that panicked under it left a state that is still whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
