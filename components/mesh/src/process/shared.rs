//! State shared by all tasks of the process.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use bounds::choice::max_outgoing;
use bounds::connections::{Bound, Connections, LoggedBounds};
use quarantine::SuspectTable;
use tokio::sync::{Notify, watch};
use units::Clock;

use super::active::{ActiveConfiguration, Taken};
use super::confirmation::Confirmation;
use super::departures::Kept;
use super::events::{Event, Sink};
use super::exchange::restarted::RestartedNodes;
use super::follow::FollowState;
use super::limiter::Limiter;
use super::metrics::Metrics;
use super::peer_connections::PeerConnections;
use super::quotas::Quotas;
use super::settings::NodeSettings;
use super::shutdown::Shutdown;
use super::traffic::Traffic;
use super::upstream::{Moment, Upstream};
use crate::configuration::{Configuration, Digest};
use crate::connection::pool::Pool;
use crate::decide::aggregate::Aggregates;
use crate::decide::budgets::Budgets;
use crate::decide::choose::{Peer, Tier};
use crate::decide::locality::Locality;
use crate::decide::members::{Merged, Record, Table, UpstreamState};
use crate::decide::parents::ParentTracker;
use crate::decide::revision::{Origin, Revision};
use crate::decide::select::{self, Candidate};
use crate::decide::split::Split;
use crate::platform::{Platform, StoreEpoch, StoreError};
use crate::request::call::Root;

/// Timeout for connecting to the upstream, which is on the same machine.
const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for connecting to another node: twice the longest round trip between regions.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Unusable entries that are logged one by one; of later ones, each of so many is.
const MAX_SKIPPED_LINES: u64 = 64;
const SKIPPED_PER_LINE: u64 = 100;
/// Longest key in the log.
const MAX_KEY_CHARS: usize = 64;

/// A node that a request can be sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Record of the node.
    pub record: Record,
    /// Whether it is this node.
    pub local: bool,
}

/// State shared by all tasks.
pub struct Shared<P: Platform> {
    /// The platform.
    pub platform: P,
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Structured log.
    pub sink: Sink,
    /// Limits the requests that run at the upstream.
    pub limiter: Limiter,
    /// Wall-clock time of the process' start, in milliseconds.
    pub started_ms: u64,
    /// State of the upstream.
    pub upstream: Mutex<Upstream>,
    /// Whether a task checks the health of the upstream.
    pub checking_health: AtomicBool,
    /// Requests running at the upstream, to find the parents of its calls.
    pub parents: Mutex<ParentTracker<Root>>,
    /// Longest time limits of the upstream's calls, by called service.
    pub call_limits: Mutex<HashMap<Arc<str>, Duration>>,
    /// Byte budget of request bodies, and of everything else that clients make the node hold.
    pub bodies: Arc<bounds::Budget>,
    /// Connections of clients.
    pub clients: Arc<Connections>,
    /// Connections of other nodes.
    pub peer_connections: PeerConnections,
    /// When bounds of clients were logged.
    pub logged_bounds: LoggedBounds,
    /// Connections to the upstream.
    pub upstream_pool: Arc<Pool>,
    /// Connections to other nodes.
    pub peer_pool: Arc<Pool>,
    /// Known nodes.
    pub members: Mutex<Table>,
    /// Load and health of the nodes that requests are sent to.
    pub peers: Mutex<HashMap<Arc<str>, Peer>>,
    /// Retry budgets by service.
    pub budgets: Mutex<Budgets>,
    /// Progress of weighted splits, by route.
    pub splits: Mutex<HashMap<Arc<str>, Split>>,
    /// Reports of the failure domain's nodes, and sums of failure domains and regions.
    pub aggregates: Mutex<Aggregates>,
    /// Regions in which calls of a request have to leave the region.
    pub locality: Mutex<Locality>,
    /// Request rates and admission shares.
    pub traffic: Mutex<Traffic>,
    /// Requests that were in flight when an upstream crashed.
    pub suspects: Mutex<SuspectTable>,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Triggers an exchange with other nodes.
    pub exchange_now: Notify,
    /// Restarted nodes that need an exchange.
    pub restarted_nodes: Mutex<RestartedNodes>,
    /// Requests of callers and the upstream that have no answer yet.
    pub open_requests: AtomicU32,
    /// What becomes of requests when the node stops.
    pub shutdown: Shutdown,
    /// Set when the process starts to shut down.
    pub stopping: watch::Sender<bool>,
    /// Set late in the shutdown, when other nodes must not send here and announcements are refused.
    pub leaving: AtomicBool,
    /// Whether this node has compared its version of the configuration with another node since the start, or knows of
    /// none that answers.
    pub synced: AtomicBool,
    /// Whether this node has exchanged with another one since the start.
    pub exchanged: AtomicBool,
    /// Latest known epoch of the store.
    pub store_epoch: watch::Sender<Option<StoreEpoch>>,
    /// Triggers a write of this node's record to the store.
    pub record_outdated: Notify,
    /// What of this node's record outlives its process.
    pub kept: Kept,
    /// How far the configuration is read from the store.
    pub follow: FollowState,
    /// The configuration in force.
    pub active: ActiveConfiguration,
    /// How long ago the store last confirmed it.
    pub confirmation: Mutex<Confirmation>,
}

impl<P: Platform> Shared<P> {
    /// Initial state of a process.
    pub fn new(platform: P, settings: NodeSettings, sink: Sink) -> prometheus::Result<Self> {
        let now = platform.clock().now();
        let incarnation = millis(platform.clock().wall_time());
        let (interval, drain_time) = (settings.heartbeat_interval, settings.drain_time);
        let upstream = Upstream::new(interval, drain_time, now).with_predecessor(incarnation);
        let own = first_record(&settings, incarnation);
        let quotas = Quotas::new(&settings, Moment { monotonic: now, wall_ms: incarnation });
        let bodies = Arc::new(bounds::Budget::new(settings.memory_bytes));
        Ok(Self {
            metrics: Metrics::new()?,
            sink,
            limiter: Limiter::default(),
            started_ms: incarnation,
            upstream: Mutex::new(upstream),
            checking_health: AtomicBool::new(false),
            parents: Mutex::new(ParentTracker::new(now)),
            call_limits: Mutex::default(),
            clients: Arc::new(Connections::new(bodies.clone())),
            peer_connections: PeerConnections::new(settings.descriptors, bodies.clone()),
            logged_bounds: LoggedBounds::default(),
            bodies,
            upstream_pool: Arc::new(Pool::new(None, UPSTREAM_CONNECT_TIMEOUT)),
            peer_pool: Arc::new(peer_pool(&settings)),
            members: Mutex::new(Table::new(own, now)),
            peers: Mutex::default(),
            budgets: Mutex::new(Budgets::new(settings.retries)),
            splits: Mutex::default(),
            aggregates: Mutex::default(),
            locality: Mutex::default(),
            traffic: Mutex::new(Traffic::new()),
            suspects: Mutex::new(SuspectTable::with_trial_spread(rand::random_range(0.0..1.0))),
            quotas,
            exchange_now: Notify::new(),
            restarted_nodes: Mutex::default(),
            open_requests: AtomicU32::new(0),
            shutdown: Shutdown::default(),
            stopping: watch::Sender::new(false),
            leaving: AtomicBool::new(false),
            synced: AtomicBool::new(false),
            exchanged: AtomicBool::new(false),
            store_epoch: watch::Sender::new(None),
            record_outdated: Notify::new(),
            kept: Kept::default(),
            follow: FollowState::default(),
            active: ActiveConfiguration::default(),
            confirmation: Mutex::new(Confirmation::new(settings.revocation.after)),
            platform,
            settings,
        })
    }

    /// Current monotonic time.
    pub fn now(&self) -> Instant {
        self.platform.clock().now()
    }

    /// Current wall-clock time in milliseconds, which other machines can compare.
    pub fn wall_ms(&self) -> u64 {
        millis(self.platform.clock().wall_time())
    }

    /// Current time on both clocks.
    pub fn moment(&self) -> Moment {
        Moment { monotonic: self.now(), wall_ms: self.wall_ms() }
    }

    /// Counts what was refused or closed at a bound, and logs the bound at intervals.
    pub fn record_bound(&self, bound: Bound) {
        let metrics = &self.metrics.clients;
        metrics.refusals.with_label_values(&[bound.as_str()]).inc();
        if matches!(bound, Bound::Connections | Bound::Memory) {
            metrics.refused.inc();
        }
        let Some(count) = self.logged_bounds.record(bound, self.now()) else { return };
        let usage = self.bodies.usage();
        self.log(&Event::ClientBoundReached {
            bound: bound.as_str(),
            count,
            connections: self.clients.count(),
            bodies: usage.used,
            others: usage.others,
        });
    }

    /// Writes an event to the log.
    pub fn log(&self, event: &Event<'_>) {
        let clock = self.platform.clock();
        self.sink.write(event, clock.now(), clock.wall_time());
    }

    /// Logs that a call of the store that was made at `asked` failed.
    pub fn store_lost(&self, err: &StoreError, asked: Instant) {
        let asked_ms = self.now().saturating_duration_since(asked).as_millis() as u64;
        self.log(&Event::StoreLost { reason: &err.to_string(), asked_ms });
    }

    /// The active configuration.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.active.get()
    }

    /// The active configuration, once requests may be handled by it: what the store has may be older than what other
    /// nodes know.
    pub fn serving_configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration().filter(|_| self.synced.load(Ordering::Relaxed))
    }

    /// Records that another node has told its version of the configuration, which is now applied if it was newer.
    pub fn compared_version(&self, version: u64) {
        // A node without a configuration, which has version 0, confirms nothing.
        if version > 0 && version <= self.version() {
            self.synced.store(true, Ordering::Relaxed);
        }
    }

    /// Version of the active configuration; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.configuration().map_or(0, |active| active.version)
    }

    /// Applies a configuration that another node has sent, which has replaced `told` by it.
    pub fn apply_relayed(&self, bytes: &[u8], from: &str, origin: Origin, told: &[Revision]) {
        let before = self.version();
        // What is wrong with it, if anything, is in the log.
        let _ = self.apply_configuration(bytes, from, origin, told);
        if self.version() > before {
            self.follow.overtaken(self.version());
        }
    }

    /// Whether a node is known to be in this node's failure domain.
    pub fn is_neighbour(&self, node: &str) -> bool {
        let table = lock(&self.members);
        table.get(node).is_some_and(|member| member.record.zone == self.settings.zone)
    }

    /// Validates a configuration and activates it if it replaces the active one; `told` are those that its sender has
    /// replaced. Returns its version; `None` if it is invalid.
    pub fn apply_configuration(
        &self,
        bytes: &[u8],
        from: &str,
        origin: Origin,
        told: &[Revision],
    ) -> Option<u64> {
        let configuration = match self.platform.decode_configuration(bytes) {
            Ok(configuration) => configuration,
            Err(reason) => {
                self.configuration_refused(Digest::of(bytes), from, &reason);
                return None;
            }
        };
        let Configuration { version, digest, .. } = configuration;
        match self.active.take(configuration, origin, told, self.now()) {
            Taken::Known => return Some(version),
            Taken::Conflict => {
                let reason = format!("version {version} is in force with other contents");
                self.configuration_refused(digest, from, &reason);
                return Some(version);
            }
            Taken::Activated => {}
        }
        self.quotas.configure(|| self.configuration(), self.moment());
        self.metrics.version.set(version as i64);
        let Origin { epoch, offset } = origin;
        let epoch = epoch.map(|epoch| epoch.0);
        self.log(&Event::ConfigurationApplied { version, digest, epoch, offset, from });
        self.exchange_now.notify_one();
        if !self.is_neighbour(from) {
            self.follow.relay();
        }
        Some(version)
    }

    /// Records that an entry can't be used; some of them are logged.
    pub fn record_skipped(&self, key: &str, reason: &str, from: &str) {
        let skipped = &self.metrics.store.skipped_records;
        skipped.inc();
        if skipped.get() <= MAX_SKIPPED_LINES || skipped.get().is_multiple_of(SKIPPED_PER_LINE) {
            let key: String = key.chars().take(MAX_KEY_CHARS).collect();
            self.log(&Event::RecordSkipped { key: &key, reason, from });
        }
    }

    fn configuration_refused(&self, digest: Digest, from: &str, reason: &str) {
        self.metrics.refused_configurations.inc();
        self.log(&Event::ConfigurationRefused { from, digest, reason });
    }

    /// Reacts to a change of the member table: logs it and passes it on.
    pub fn membership_changed(&self, result: Merged, node: &Arc<str>, from: &str) {
        match result {
            Merged::Unchanged | Merged::Measurements => {}
            Merged::Changed => {
                let record = lock(&self.members).get(node).map(|member| member.record.clone());
                if let Some(record) = record {
                    self.log(&Event::MemberChanged {
                        member: &record.node,
                        incarnation: record.incarnation,
                        serial: record.serial,
                        state: state_name(record.state),
                        from,
                    });
                }
                self.exchange_now.notify_one();
            }
            Merged::Superseded(incarnation) => {
                self.quotas.heard_rival(self.moment());
                if lock(&self.members).supersede(incarnation) {
                    self.exchange_now.notify_one();
                    self.record_outdated.notify_one();
                }
            }
            Merged::Rejected(reason) => self.record_skipped(node, reason, from),
        }
    }

    /// Updates this node's record with the state of the upstream.
    pub fn publish_upstream(&self) {
        let (state, slots, departures) = {
            let upstream = lock(&self.upstream);
            let slots = upstream.last_heartbeat().map_or(0, |heartbeat| heartbeat.slots);
            (upstream.state(), slots, upstream.departures())
        };
        let leaving = self.leaving.load(Ordering::Relaxed);
        let state = if leaving { UpstreamState::Leaving } else { state };
        let changed = lock(&self.members).update_own(|own| {
            own.state = state;
            own.slots = slots;
            own.departures = departures;
        });
        if changed {
            self.exchange_now.notify_one();
        }
    }

    /// Chooses a node of a service that is not in `tried`; also returns whether there are others.
    pub fn choose_node(&self, service: &str, tried: &[Arc<str>]) -> Option<(Target, bool)> {
        let now = self.now();
        let table = lock(&self.members);
        let peers = lock(&self.peers);
        let locality = lock(&self.locality);
        let candidates = table.of_service(service, now).filter_map(|(member, silent)| {
            let record = &member.record;
            let usable = record.state != UpstreamState::Unknown && !tried.contains(&record.node);
            usable.then(|| Candidate {
                value: record,
                peer: peers.get(&record.node),
                tier: self.tier(record),
                silent,
                leaving: record.state == UpstreamState::Leaving,
                detour: locality.leaves_region(service, &record.region),
            })
        });
        let (record, has_more) = select::select(candidates, now, &mut rand::rng())?;
        let local = record.node == self.settings.node;
        Some((Target { record: record.clone(), local }, has_more))
    }

    /// Reacts to a node that refused a call as it has not heard of its upstream, unlike this node: it was restarted.
    pub fn record_unknown_upstream(&self, node: &Record) {
        let is_delegate = lock(&self.aggregates).duties.domain;
        if is_delegate && lock(&self.restarted_nodes).record_refusal(node, self.now()) {
            self.exchange_now.notify_one();
        }
    }

    /// Has a node sent the configuration that it lacks.
    pub fn exchange_again(&self, node: &Record) {
        lock(&self.restarted_nodes).continue_with(node);
        self.exchange_now.notify_one();
    }

    /// Calls `change` on the load and health of a node.
    pub fn with_peer<T>(&self, node: &Arc<str>, change: impl FnOnce(&mut Peer) -> T) -> T {
        let now = self.now();
        let mut peers = lock(&self.peers);
        change(peers.entry(node.clone()).or_insert_with(|| Peer::new(now)))
    }

    /// Priority of each route.
    pub fn priorities(&self) -> BTreeMap<Arc<str>, u8> {
        let active = self.configuration();
        let routes = active.iter().flat_map(|active| active.routes());
        routes.map(|route| (route.name.clone(), route.priority)).collect()
    }

    /// Whether callers may send requests here, or why not.
    pub fn readiness(&self) -> Result<(), &'static str> {
        if *self.stopping.borrow() {
            return Err("stopping");
        }
        if self.configuration().is_none() {
            return Err("no configuration");
        }
        if !self.synced.load(Ordering::Relaxed) {
            return Err("configuration not compared with other nodes");
        }
        Ok(())
    }

    /// Distance of a node.
    pub fn tier(&self, record: &Record) -> Tier {
        if record.zone == self.settings.zone {
            Tier::Zone
        } else if record.region == self.settings.region {
            Tier::Region
        } else {
            Tier::Remote
        }
    }
}

/// Connections to other nodes, none so far.
fn peer_pool(settings: &NodeSettings) -> Pool {
    let outgoing = settings.descriptors.map(max_outgoing);
    Pool::new(Some(settings.listen.peers.ip()), PEER_CONNECT_TIMEOUT).with_limit(outgoing)
}

/// The record of a node whose process has just started.
fn first_record(settings: &NodeSettings, incarnation: u64) -> Record {
    Record {
        node: settings.node.clone(),
        incarnation,
        serial: 1,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        address: settings.listen.advertised,
        service: settings.service.clone(),
        state: UpstreamState::Unknown,
        slots: 0,
        saved_upstream: None,
        departures: Vec::new(),
        stopping: false,
    }
}

/// Milliseconds since the epoch.
fn millis(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Name of a state in the log.
pub fn state_name(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Unknown => "unknown",
        UpstreamState::Ready => "ready",
        UpstreamState::Leaving => "leaving",
    }
}

/// Locks a mutex even if it is poisoned: a panic leaves no state half changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
