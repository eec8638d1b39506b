//! State of the process, shared by all tasks.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use bounds::Budget;
use bounds::connections::{Bound, Connections, LoggedBounds};
use journal::ConfigurationState;
use limits::{Config, LearnedLevel};
use membership::{ServedUpstream, Table, UpstreamState};
use quarantine::{Fingerprint, SuspectUpdate};
use reservation::Holder;
use retries::RetryBucket;
use routing::{Candidate, LinkBudget};
use settings::{LimitKind, Settings};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use units::{Clock, DomainName, Incarnation, ServiceName};
use wire::DomainSummary;

use super::admission::AdmissionQueue;
use super::call_stats::CallStats;
use super::control_channel::{ClaimOutcome, ClaimRequest, ControlSender, SuspectReport};
use super::metrics::Metrics;
use super::routes::{self, RoutingTable, Target};
use super::shards::{ShardedMap, lock};
use super::upstream::{LocalUpstream, initial_config, own_record};
use crate::connection::peers::PeerPool;
use crate::connection::upstream::UpstreamPool;
use crate::request::idempotency::KeyStore;
use crate::request::parent::{ActiveRequests, Token};
use crate::version::Active;

/// Bandwidth of a region's link for calls, shared by the region's nodes: half of 30 Mbit/s.
const REGION_LINK_BYTES_PER_SEC: f64 = 1_875_000.0;
/// Time for other nodes to learn that an upstream is draining, before it refuses new work.
pub const DRAIN_DELAY: Duration = Duration::from_secs(1);
/// Time until a member that is gone is removed.
const GONE_RETENTION: Duration = Duration::from_secs(600);
/// Slots of an upstream when the limit is off, in experiments.
const UNLIMITED_SLOTS: u32 = 100_000;
/// Longest delay of the answer to a suspect request, while other nodes are notified of it.
const SUSPECT_REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Shared state of the process.
pub struct Shared<C: Clock> {
    /// Settings of the node.
    pub settings: Settings,
    /// Source of time.
    pub clock: C,
    /// Metrics.
    pub metrics: Metrics,
    /// Byte budget of what callers make the node hold.
    pub memory: Arc<Budget>,
    /// Connections of callers.
    pub clients: Arc<Connections>,
    /// When bounds of callers were logged.
    logged_bounds: LoggedBounds,
    /// Admission control for the local upstream.
    pub admission: AdmissionQueue,
    /// Requests that the local upstream is serving.
    pub active_requests: ActiveRequests,
    /// Connections to other nodes.
    pub peers: PeerPool<C>,
    /// Connections to the local upstream.
    pub upstream_pool: Arc<UpstreamPool<C>>,
    /// Retry buckets by service, which bound retries to a ratio of first attempts.
    pub retry_buckets: ShardedMap<ServiceName, RetryBucket>,
    /// Admission levels learned for root calls, by rule.
    pub rule_levels: ShardedMap<u64, LearnedLevel>,
    /// Admission levels learned for the nested calls of the local upstream, by rule of the parent request.
    pub nested_levels: ShardedMap<u64, LearnedLevel>,
    /// Membership; changed by the control thread.
    pub members: Mutex<Table>,
    /// Configuration as read from the log or a peer.
    pub configuration: Mutex<ConfigurationState>,
    /// Latest known summary of each failure domain.
    pub summaries: Mutex<BTreeMap<DomainName, DomainSummary>>,
    /// Call counts of the last hour.
    pub call_stats: Mutex<CallStats>,
    /// Time of the last request for the status.
    pub status_requested: Mutex<Option<Instant>>,
    /// Wakes the control thread after a change of this node's own record.
    pub own_changed: Notify,
    /// True once the node is stopping.
    pub stopping: watch::Sender<bool>,
    /// True once what is still open is answered, as the node has to exit.
    pub ended: watch::Sender<bool>,
    /// Requests that were running when an upstream crashed.
    pub quarantine: Mutex<quarantine::SuspectTable>,
    /// Idempotency keys that this incarnation of the node holds.
    pub keys: KeyStore,
    /// Claims to keys, for the control thread.
    pub claims: mpsc::UnboundedSender<ClaimRequest>,
    /// Updates on suspects, for the control thread.
    pub suspects: mpsc::UnboundedSender<SuspectReport>,
    /// An operator drained the upstream.
    operator_drain: AtomicBool,
    epoch: AtomicU64,
    active: RwLock<Option<Arc<Active>>>,
    routes: RwLock<Arc<RoutingTable>>,
    upstream: Mutex<Option<(LocalUpstream, Instant)>>,
    link_budget: Mutex<LinkBudget>,
    /// Random id of this process in its tokens.
    process: u32,
    sequence: AtomicU64,
}

impl<C: Clock> Shared<C> {
    /// State of a starting process.
    pub fn new(settings: Settings, clock: C, control: ControlSender) -> prometheus::Result<Self> {
        let now = clock.now();
        let unix_time = clock.wall_time().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let own = own_record(&settings, Incarnation(unix_time.as_millis() as u64));
        let config = membership::Config {
            suspicion_timeout: settings.control.suspicion,
            gone_retention: GONE_RETENTION,
        };
        let memory = Arc::new(Budget::of(settings.bounds.memory.0));
        Ok(Self {
            metrics: Metrics::new()?,
            clients: Arc::new(Connections::new(memory.clone())),
            memory,
            logged_bounds: LoggedBounds::default(),
            admission: AdmissionQueue::new(initial_config(), now),
            active_requests: ShardedMap::new(),
            peers: PeerPool::new(settings.listen.peers.ip(), clock.clone()),
            upstream_pool: Arc::new(UpstreamPool::new()),
            retry_buckets: ShardedMap::new(),
            rule_levels: ShardedMap::new(),
            nested_levels: ShardedMap::new(),
            members: Mutex::new(Table::new(own, config)),
            configuration: Mutex::default(),
            summaries: Mutex::default(),
            call_stats: Mutex::default(),
            status_requested: Mutex::default(),
            own_changed: Notify::new(),
            stopping: watch::Sender::new(false),
            ended: watch::Sender::new(false),
            quarantine: Mutex::default(),
            keys: KeyStore::new(settings.bounds.window),
            claims: control.claims,
            suspects: control.suspects,
            operator_drain: AtomicBool::new(false),
            epoch: AtomicU64::new(unix_time.as_millis() as u64),
            active: RwLock::new(None),
            routes: RwLock::default(),
            upstream: Mutex::new(None),
            link_budget: Mutex::new(LinkBudget::new(REGION_LINK_BYTES_PER_SEC, now)),
            process: rand::random(),
            sequence: AtomicU64::new(0),
            settings,
            clock,
        })
    }

    /// Counts what was refused or closed at a bound, and logs the bound at intervals.
    pub fn record_bound(&self, bound: Bound) {
        self.metrics.count_bound(bound);
        let Some(count) = self.logged_bounds.record(bound, self.clock.now()) else { return };
        log::warn!(
            bound = bound.as_str(), count, connections = self.clients.count(),
            held = self.memory.usage().others;
            "a bound on callers was reached"
        );
    }

    /// Token for the next request to the upstream.
    pub fn next_token(&self) -> Token {
        Token { process: self.process, sequence: self.sequence.fetch_add(1, Ordering::Relaxed) }
    }

    /// Whether a token was made by this process.
    pub fn is_own_token(&self, token: Token) -> bool {
        token.process == self.process
    }

    /// Configuration in force.
    pub fn active(&self) -> Option<Arc<Active>> {
        self.active.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force, unless the same or a later version is.
    pub fn activate(&self, active: Active) -> bool {
        let version = active.version;
        {
            let mut current = self.active.write().unwrap_or_else(PoisonError::into_inner);
            if current.as_ref().is_some_and(|current| current.version >= version) {
                return false;
            }
            *current = Some(Arc::new(active));
        }
        self.metrics.version.set(version.0 as i64);
        lock(&self.members).set_version(version);
        self.update_admission();
        self.publish_upstream();
        true
    }

    /// Routing table for calls.
    pub fn routes(&self) -> Arc<RoutingTable> {
        self.routes.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Rebuilds the routing table after a change of the membership.
    pub fn update_routes(&self) {
        let now = self.clock.now();
        let old = self.routes();
        let (routes, nodes) = {
            let table = lock(&self.members);
            (RoutingTable::new(&table, &old, now), table.count_in_region(&self.settings.region))
        };
        lock(&self.link_budget).set_rate(REGION_LINK_BYTES_PER_SEC / nodes.max(1) as f64, now);
        *self.routes.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(routes);
    }

    /// Picks a target for a call; one in `attempted` only if there is no other.
    pub fn choose_target(
        &self,
        service: &ServiceName,
        attempted: &[Arc<Target>],
    ) -> Option<Arc<Target>> {
        let now = self.clock.now();
        let routes = self.routes();
        let targets = routes.targets(service);
        let candidates: Vec<_> = targets
            .iter()
            .map(|target| {
                let mut candidate =
                    if target.local { self.local_candidate(target) } else { target.candidate(now) };
                candidate.attempted = attempted.iter().any(|other| other.node == target.node);
                candidate
            })
            .collect();
        let remote = lock(&self.link_budget).admits(now);
        let picked = routing::choose(&candidates, remote, |count| rand::random_range(0..count))?;
        Some(targets[picked].clone())
    }

    /// The local upstream as a candidate: its admission queue knows the load better than any report.
    fn local_candidate(&self, target: &Target) -> Candidate {
        let load = self.admission.load(self.clock.now());
        let score = f64::from(load.running + load.waiting + 1) / f64::from(load.limit.max(1));
        let at_capacity = load.waiting > 0 && load.running >= load.limit;
        Candidate { tier: target.tier, score, at_capacity, unhealthy: false, attempted: false }
    }

    /// Charges bytes to the budget of the region's link.
    pub fn charge_link(&self, bytes: u64) {
        lock(&self.link_budget).charge(bytes);
    }

    /// The local upstream, if one is announced.
    pub fn local_upstream(&self) -> Option<LocalUpstream> {
        lock(&self.upstream).as_ref().map(|(upstream, _)| upstream.clone())
    }

    /// Epoch of the local upstream; changes when the upstream is gone.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Relaxed)
    }

    /// Records that the upstream of an epoch is gone; nothing is sent to it until it announces itself again.
    pub fn record_upstream_gone(&self, epoch: u64) {
        if self
            .epoch
            .compare_exchange(epoch, epoch + 1, Ordering::Relaxed, Ordering::Relaxed)
            .is_err()
        {
            return;
        }
        log::warn!(node = self.settings.node.as_str(); "the upstream is gone; waiting for its next announcement");
        *lock(&self.upstream) = None;
        self.publish_upstream();
    }

    /// Time since the Unix epoch.
    pub fn unix_time(&self) -> Duration {
        self.clock.wall_time().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
    }

    /// This incarnation of the node, as a holder of keys.
    pub fn holder(&self) -> Holder {
        let table = lock(&self.members);
        Holder { node: table.own().node.clone(), incarnation: table.own().incarnation }
    }

    /// Target for calls whose key a node holds, if that incarnation of the node is still present.
    pub fn holder_target(&self, holder: &Holder) -> Option<Arc<Target>> {
        let (routes, now) = (self.routes(), self.clock.now());
        let table = lock(&self.members);
        let member = table.get(&holder.node)?;
        let is_present = member.is_present() && member.incarnation == holder.incarnation;
        is_present.then(|| routes::holder_target(table.own(), member, &routes, now))
    }

    /// Claims a plain key.
    pub async fn claim_key(&self, key: &str) -> ClaimOutcome {
        let (answer, outcome) = oneshot::channel();
        if self.claims.send(ClaimRequest { key: key.to_owned(), answer }).is_err() {
            return ClaimOutcome::LogUnavailable;
        }
        outcome.await.unwrap_or(ClaimOutcome::LogUnavailable)
    }

    /// Whether a request is in quarantine.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.settings.mechanisms.quarantine && lock(&self.quarantine).is_quarantined(fingerprint)
    }

    /// Clears a request of suspicion after an answer.
    pub fn clear_suspect(&self, fingerprint: Fingerprint) {
        let cleared = lock(&self.quarantine).clear(fingerprint, self.clock.now());
        for update in cleared {
            // The control thread ends only with the process.
            let _ = self.suspects.send(SuspectReport { update, delivered: None });
        }
    }

    /// Reports a request that was running when the upstream crashed; returns once other nodes know or a timeout expires.
    pub async fn report_suspect(&self, update: SuspectUpdate) {
        lock(&self.quarantine).merge(&update, self.clock.now());
        let (sender, delivered) = oneshot::channel();
        if self.suspects.send(SuspectReport { update, delivered: Some(sender) }).is_ok() {
            let _ = tokio::time::timeout(SUSPECT_REPORT_TIMEOUT, delivered).await;
        }
    }

    /// Applies an announcement of the upstream.
    pub fn update_upstream(&self, upstream: LocalUpstream) {
        let now = self.clock.now();
        let old = lock(&self.upstream).replace((upstream.clone(), now)).map(|(old, _)| old);
        if old.as_ref() == Some(&upstream) {
            return;
        }
        let restarted = old.is_none_or(|old| old.address != upstream.address);
        if restarted {
            self.admission.restart(self.admission_config(&upstream), now);
        }
        self.update_admission();
        match upstream.draining {
            true => self.admission.drain(now + DRAIN_DELAY),
            false if !*self.stopping.borrow() && !self.operator_drain.load(Ordering::Relaxed) => {
                self.admission.undrain()
            }
            false => {}
        }
        self.publish_upstream();
    }

    /// Removes an upstream that has not announced itself for `timeout`, in which this process, running without a pause
    /// since `running_since`, could have read it; true if it was removed.
    pub fn expire_upstream(&self, timeout: Duration, running_since: Instant) -> bool {
        let now = self.clock.now();
        let mut upstream = lock(&self.upstream);
        let silent_for = |at: Instant| now.saturating_duration_since(at.max(running_since));
        let expired = upstream.as_ref().is_some_and(|(_, at)| silent_for(*at) > timeout);
        if expired {
            *upstream = None;
        }
        drop(upstream);
        if expired {
            self.publish_upstream();
        }
        expired
    }

    /// Drains the upstream, or puts it back into service, on an operator's request.
    pub fn drain(&self, drain: bool) {
        self.operator_drain.store(drain, Ordering::Relaxed);
        match drain {
            true => self.admission.drain(self.clock.now() + DRAIN_DELAY),
            false if !*self.stopping.borrow() => self.admission.undrain(),
            false => {}
        }
        self.publish_upstream();
    }

    /// Announces that this node is stopping; it refuses new work once other nodes have had time to learn of it.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(true);
        self.admission.drain(self.clock.now() + DRAIN_DELAY);
        self.publish_upstream();
    }

    /// Announces the upstream to other nodes, once there are rules that configure its admission.
    fn publish_upstream(&self) {
        let draining = *self.stopping.borrow() || self.operator_drain.load(Ordering::Relaxed);
        let upstream = self.local_upstream().filter(|_| self.active().is_some());
        let serving = upstream.map(|upstream| ServedUpstream {
            state: if upstream.draining || draining {
                UpstreamState::Draining
            } else {
                UpstreamState::Serving
            },
            service: upstream.service,
            slots: upstream.slots,
        });
        if lock(&self.members).set_upstream(serving) {
            self.update_routes();
            self.own_changed.notify_one();
        }
    }

    /// Applies the announcement and the rules to the admission queue.
    fn update_admission(&self) {
        if let Some(upstream) = self.local_upstream() {
            self.admission.configure(self.admission_config(&upstream));
        }
    }

    fn admission_config(&self, upstream: &LocalUpstream) -> Config {
        let rule =
            self.active().map(|active| active.rules.service(&upstream.service)).unwrap_or_default();
        let slots = rule.slots.unwrap_or(u32::MAX).min(upstream.slots);
        // One connection is reserved for load reports.
        let connections =
            rule.connections.unwrap_or(u32::MAX).min(upstream.connections).saturating_sub(1);
        let limit = self.settings.mechanisms.limit;
        let slots =
            if limit == LimitKind::Off { UNLIMITED_SLOTS } else { slots.min(connections).max(1) };
        let use_level = self.settings.mechanisms.levels;
        Config { slots, max_wait: rule.max_wait, adaptive: limit == LimitKind::Adaptive, use_level }
    }
}
