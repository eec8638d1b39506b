//! State of the process that all tasks share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use journal::Fold;
use limits::{Config, Learned};
use membership::{Serving, State, Table};
use quarantine::{Fingerprint, Told};
use reservation::Holder;
use retries::Bucket;
use routing::{Candidate, LinkBudget};
use settings::{LimitKind, Settings};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use units::{Clock, DomainName, Incarnation, ServiceName};
use wire::Summary;

use super::gate::Gate;
use super::ledger::Ledger;
use super::mailbox::{Ask, News, Outbox, Settled};
use super::members::{self, Target, View};
use super::metrics::Metrics;
use super::shards::{Shards, lock};
use super::upstream::{Announced, own_record, unannounced};
use crate::connection::peers::Links;
use crate::connection::upstream::Pool;
use crate::request::once::Once;
use crate::request::parent::{Calls, Token};
use crate::version::Active;

/// Bytes a second that calls may take of a region's link, shared by the region's nodes: half of 30 Mbit/s.
const REGION_LINK: f64 = 1_875_000.0;
/// Time in which others learn that an upstream leaves, before its guard refuses new work.
pub const LINGER: Duration = Duration::from_secs(1);
/// Time until a member that is gone is forgotten.
const FORGET: Duration = Duration::from_secs(600);

/// Slots of an upstream that is not limited, in experiments.
const NO_LIMIT: u32 = 100_000;

/// Longest time that the answer to a suspect waits until others know of it.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// State of the process.
pub struct Shared<C: Clock> {
    /// Settings of the node.
    pub settings: Settings,
    /// The clock.
    pub clock: C,
    /// Metrics.
    pub metrics: Metrics,
    /// Guard of the upstream.
    pub gate: Gate,
    /// Requests that the upstream is serving.
    pub calls: Calls,
    /// Connections to other nodes.
    pub links: Links<C>,
    /// Connections to the upstream.
    pub pool: Arc<Pool<C>>,
    /// Retries by service.
    pub buckets: Shards<ServiceName, Bucket>,
    /// Admission levels by rule.
    pub learned: Shards<u64, Learned>,
    /// Admission levels of what this upstream calls, by rule.
    pub below: Shards<u64, Learned>,
    /// Members; changed by the control traffic.
    pub table: Mutex<Table>,
    /// The configuration as read from the log or a peer.
    pub fold: Mutex<Fold>,
    /// Summaries of failure domains, as far as they are known here.
    pub summaries: Mutex<BTreeMap<DomainName, Summary>>,
    /// What became of the calls of the last hour.
    pub ledger: Mutex<Ledger>,
    /// When an operator last asked for the status.
    pub asked: Mutex<Option<Instant>>,
    /// Wakes the control traffic after a change of this node's own record.
    pub changed: Notify,
    /// Set when the node stops.
    pub stopping: watch::Sender<bool>,
    /// Requests that were there when an upstream died.
    pub quarantine: Mutex<quarantine::Table>,
    /// Keys that this life of the node holds.
    pub once: Once,
    /// Claims of keys for the control traffic to settle.
    pub claims: mpsc::UnboundedSender<Ask>,
    /// News of suspects for the control traffic to tell.
    pub news: mpsc::UnboundedSender<News>,
    /// An operator took the upstream out of service.
    drained: AtomicBool,
    epoch: AtomicU64,
    active: RwLock<Option<Arc<Active>>>,
    view: RwLock<Arc<View>>,
    announced: Mutex<Option<(Announced, Instant)>>,
    budget: Mutex<LinkBudget>,
    life: u32,
    numbers: AtomicU64,
}

impl<C: Clock> Shared<C> {
    /// State of a process that has just started.
    pub fn new(settings: Settings, clock: C, outbox: Outbox) -> prometheus::Result<Self> {
        let now = clock.now();
        let wall = clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let own = own_record(&settings, Incarnation(wall.as_millis() as u64));
        let config = membership::Config { suspicion: settings.control.suspicion, forget: FORGET };
        Ok(Self {
            metrics: Metrics::new()?,
            gate: Gate::new(unannounced(), now),
            calls: Shards::new(),
            links: Links::new(settings.listen.peers.ip(), clock.clone()),
            pool: Arc::new(Pool::new()),
            buckets: Shards::new(),
            learned: Shards::new(),
            below: Shards::new(),
            table: Mutex::new(Table::new(own, config)),
            fold: Mutex::default(),
            summaries: Mutex::default(),
            ledger: Mutex::default(),
            asked: Mutex::default(),
            changed: Notify::new(),
            stopping: watch::Sender::new(false),
            quarantine: Mutex::default(),
            once: Once::new(settings.bounds.window),
            claims: outbox.claims,
            news: outbox.news,
            drained: AtomicBool::new(false),
            epoch: AtomicU64::new(wall.as_millis() as u64),
            active: RwLock::new(None),
            view: RwLock::default(),
            announced: Mutex::new(None),
            budget: Mutex::new(LinkBudget::new(REGION_LINK, now)),
            life: rand::random(),
            numbers: AtomicU64::new(0),
            settings,
            clock,
        })
    }

    /// A token for the next request of the upstream.
    pub fn token(&self) -> Token {
        Token { life: self.life, number: self.numbers.fetch_add(1, Ordering::Relaxed) }
    }

    /// Whether a token is of this life of the process.
    pub fn is_own(&self, token: Token) -> bool {
        token.life == self.life
    }

    /// The configuration in force.
    pub fn active(&self) -> Option<Arc<Active>> {
        self.active.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force, unless a later one is.
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
        lock(&self.table).apply(version);
        self.configure();
        self.publish_upstream();
        true
    }

    /// The nodes that calls may be sent to.
    pub fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Draws up the view anew after a change of the table.
    pub fn refresh(&self) {
        let now = self.clock.now();
        let previous = self.view();
        let (view, sharing) = {
            let table = lock(&self.table);
            (View::new(&table, &previous, now), table.in_region(&self.settings.region))
        };
        lock(&self.budget).set_rate(REGION_LINK / sharing.max(1) as f64, now);
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// Picks a node for a call; those in `tried` only if there is no other.
    pub fn choose(&self, service: &ServiceName, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
        let now = self.clock.now();
        let view = self.view();
        let targets = view.targets(service);
        let candidates: Vec<_> = targets
            .iter()
            .map(|target| {
                let mut candidate =
                    if target.local { self.local(target) } else { target.candidate(now) };
                candidate.tried = tried.iter().any(|other| other.node == target.node);
                candidate
            })
            .collect();
        let remote = lock(&self.budget).admits(now);
        let picked = routing::choose(&candidates, remote, |count| rand::random_range(0..count))?;
        Some(targets[picked].clone())
    }

    /// This node's own upstream as a candidate: its guard knows the load better than any report.
    fn local(&self, target: &Target) -> Candidate {
        let load = self.gate.load(self.clock.now());
        let score = f64::from(load.running + load.waiting + 1) / f64::from(load.limit.max(1));
        let full = load.waiting > 0 && load.running >= load.limit;
        Candidate { tier: target.tier, score, full, shunned: false, tried: false }
    }

    /// Accounts for bytes that crossed to another region.
    pub fn charge(&self, bytes: u64) {
        lock(&self.budget).charge(bytes);
    }

    /// The upstream beside this node.
    pub fn announced(&self) -> Option<Announced> {
        lock(&self.announced).as_ref().map(|(announced, _)| announced.clone())
    }

    /// Which life of the upstream this is.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Relaxed)
    }

    /// The upstream died in this life; nothing is sent to it until it announces itself again.
    pub fn upstream_died(&self, epoch: u64) {
        if self
            .epoch
            .compare_exchange(epoch, epoch + 1, Ordering::Relaxed, Ordering::Relaxed)
            .is_err()
        {
            return;
        }
        log::warn!(node = self.settings.node.as_str(); "the upstream died");
        *lock(&self.announced) = None;
        self.publish_upstream();
    }

    /// Time of day.
    pub fn wall(&self) -> Duration {
        self.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
    }

    /// This life of the node, as the holder of keys.
    pub fn holder(&self) -> Holder {
        let table = lock(&self.table);
        Holder { node: table.own().node.clone(), incarnation: table.own().incarnation }
    }

    /// The node that holds a key, if that life of it is still there.
    pub fn held_by(&self, holder: &Holder) -> Option<Arc<Target>> {
        let (view, now) = (self.view(), self.clock.now());
        let table = lock(&self.table);
        let member = table.get(&holder.node)?;
        let there = member.is_present() && member.incarnation == holder.incarnation;
        there.then(|| members::only(table.own(), member, &view, now))
    }

    /// Settles who may run a plain key.
    pub async fn claim(&self, key: &str) -> Settled {
        let (answer, settled) = oneshot::channel();
        if self.claims.send(Ask { key: key.to_owned(), answer }).is_err() {
            return Settled::Unavailable;
        }
        settled.await.unwrap_or(Settled::Unavailable)
    }

    /// Whether a request is in quarantine.
    pub fn is_held(&self, fingerprint: Fingerprint) -> bool {
        self.settings.mechanisms.quarantine && lock(&self.quarantine).holds(fingerprint)
    }

    /// A request was answered: if it was a suspect, it is one no longer.
    pub fn answered(&self, fingerprint: Fingerprint) {
        if let Some(told) = lock(&self.quarantine).answered(fingerprint) {
            // The control thread is gone only when the process ends.
            let _ = self.news.send(News { told, done: None });
        }
    }

    /// A request was there when the upstream died; returns when others know.
    pub async fn suspect(&self, told: Told) {
        lock(&self.quarantine).merge(&told, self.clock.now());
        let (done, heard) = oneshot::channel();
        if self.news.send(News { told, done: Some(done) }).is_ok() {
            let _ = tokio::time::timeout(TELL_TIMEOUT, heard).await;
        }
    }

    /// Takes an announcement of the upstream.
    pub fn announce(&self, announced: Announced) {
        let now = self.clock.now();
        let before =
            lock(&self.announced).replace((announced.clone(), now)).map(|(before, _)| before);
        if before.as_ref() == Some(&announced) {
            return;
        }
        let restarted = before.is_none_or(|before| before.address != announced.address);
        if restarted {
            self.gate.restart(self.config(&announced), now);
        }
        self.configure();
        match announced.draining {
            true => self.gate.drain(now + LINGER),
            false if !*self.stopping.borrow() && !self.drained.load(Ordering::Relaxed) => {
                self.gate.undrain()
            }
            false => {}
        }
        self.publish_upstream();
    }

    /// Forgets an upstream that has not announced itself for `silence`; true when it was forgotten now.
    pub fn forget_silent(&self, silence: Duration) -> bool {
        let now = self.clock.now();
        let mut announced = lock(&self.announced);
        let silent =
            announced.as_ref().is_some_and(|(_, at)| now.saturating_duration_since(*at) > silence);
        if silent {
            *announced = None;
        }
        drop(announced);
        if silent {
            self.publish_upstream();
        }
        silent
    }

    /// Takes the upstream out of service, or back in, as an operator wishes.
    pub fn drain(&self, drain: bool) {
        self.drained.store(drain, Ordering::Relaxed);
        match drain {
            true => self.gate.drain(self.clock.now() + LINGER),
            false if !*self.stopping.borrow() => self.gate.undrain(),
            false => {}
        }
        self.publish_upstream();
    }

    /// Says that this node stops; its guard refuses new work once others have had time to hear.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(true);
        self.gate.drain(self.clock.now() + LINGER);
        self.publish_upstream();
    }

    /// Makes the upstream known to others, once there are rules to guard it by.
    fn publish_upstream(&self) {
        let stopping = *self.stopping.borrow() || self.drained.load(Ordering::Relaxed);
        let announced = self.announced().filter(|_| self.active().is_some());
        let serving = announced.map(|announced| Serving {
            state: if announced.draining || stopping { State::Draining } else { State::Serving },
            service: announced.service,
            slots: announced.slots,
        });
        if lock(&self.table).announce(serving) {
            self.refresh();
            self.changed.notify_one();
        }
    }

    /// Applies the announcement and the rules to the guard.
    fn configure(&self) {
        if let Some(announced) = self.announced() {
            self.gate.configure(self.config(&announced));
        }
    }

    fn config(&self, announced: &Announced) -> Config {
        let rule = self
            .active()
            .map(|active| active.rules.service(&announced.service))
            .unwrap_or_default();
        let slots = rule.slots.unwrap_or(u32::MAX).min(announced.slots);
        // One connection is left for load reports.
        let connections =
            rule.connections.unwrap_or(u32::MAX).min(announced.connections).saturating_sub(1);
        let limit = self.settings.mechanisms.limit;
        let slots = if limit == LimitKind::Off { NO_LIMIT } else { slots.min(connections).max(1) };
        let levels = self.settings.mechanisms.levels;
        Config { slots, queue: rule.queue, adaptive: limit == LimitKind::Adaptive, levels }
    }
}
