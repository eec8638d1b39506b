//! The guard in front of one upstream.

use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::level::Level;
use crate::limit::Limit;
use crate::priority::Priority;
use crate::queue::{Queue, Rank, Waiting};

/// Time that callers outside and calls of started trees may wait, as a multiple of that of other requests.
const LONG_PATIENCE: u32 = 3;
/// Turns that may wait for a slot while nobody knows how long a turn is.
const UNKNOWN_TURNS: f64 = 4.0;
/// Weight of one request in the mean time a slot is held.
const HELD_WEIGHT: f64 = 0.02;

units::value! {
    /// What a guard is set up with.
    pub struct Config {
        /// Requests that the upstream runs at once, as announced.
        pub slots: u32,
        /// Longest time a request may wait for a slot.
        pub queue: Duration,
        /// The limit follows the measurements.
        pub adaptive: bool,
        /// New trees are refused by the admission level.
        pub levels: bool,
    }

    /// A request that asks to run.
    pub struct Offer<K> {
        /// Key that names it in later events.
        pub key: K,
        /// Its priority.
        pub priority: Priority,
        /// When its caller stops waiting.
        pub deadline: Instant,
        /// It starts a tree; a call further down belongs to a tree that already runs.
        pub root: bool,
    }

    /// Answer to an offer.
    pub enum Decision {
        /// Run it now.
        Run,
        /// It waits; an outcome follows.
        Wait,
        /// It is refused and did not run.
        Refuse(Refused),
    }

    /// Why a request was refused.
    pub enum Refused {
        /// Its priority is under the admission level.
        Level,
        /// The queue is full of requests that go first.
        Full,
        /// It waited as long as the queue allows.
        Waited,
        /// Its deadline can't be met.
        Deadline,
        /// The upstream is leaving.
        Draining,
    }

    /// What became of a request that waited.
    pub enum Outcome<K> {
        /// Run it now.
        Run(K),
        /// It is refused and did not run.
        Refuse(K, Refused),
    }

    /// Load of the upstream as the guard sees it.
    #[derive(Default)]
    pub struct Load {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests that may run at once.
        pub limit: u32,
    }
}

/// Limit, queue and admission level of one upstream.
#[derive(Debug, Clone)]
pub struct Guard<K> {
    config: Config,
    limit: Limit,
    level: Level,
    queue: Queue<K>,
    running: u32,
    /// From when on new work is refused.
    draining: Option<Instant>,
    /// Mean time a slot is held, in seconds.
    held: f64,
}

impl<K: Copy + Eq + Hash> Guard<K> {
    /// A guard of an upstream that has just started.
    pub fn new(config: Config, now: Instant) -> Self {
        Self {
            config,
            limit: if config.adaptive {
                Limit::new(config.slots, now)
            } else {
                Limit::fixed(config.slots, now)
            },
            level: Level::new(now),
            queue: Queue::new(),
            running: 0,
            draining: None,
            held: 0.0,
        }
    }

    /// Takes a changed announcement or rule.
    pub fn configure(&mut self, config: Config) {
        self.config = config;
        self.limit.set_cap(config.slots);
    }

    /// Takes over what is learned anew for an upstream that was restarted; requests that wait stay.
    pub fn restart(&mut self, fresh: Self) {
        self.config = fresh.config;
        self.limit = fresh.limit;
        self.level = fresh.level;
        self.held = fresh.held;
        self.draining = None;
    }

    /// Decides on a new request; others that waited may have to go for it.
    pub fn offer(&mut self, offer: Offer<K>, now: Instant, out: &mut Vec<Outcome<K>>) -> Decision {
        self.account(now);
        self.level.arrived(offer.priority);
        if self.draining.is_some_and(|from| now >= from) {
            return Decision::Refuse(Refused::Draining);
        }
        if self.config.levels && offer.root && !self.level.admits(offer.priority) {
            return Decision::Refuse(Refused::Level);
        }
        if offer.deadline <= now + self.expected(&offer, now) {
            self.level.refused();
            return Decision::Refuse(Refused::Deadline);
        }
        if self.running < self.limit.get(now) && self.queue.len() == 0 {
            self.running += 1;
            return Decision::Run;
        }
        self.enqueue(offer, now, out)
    }

    /// Takes the end of a run: how long the slot was held, and how much of it was not spent waiting for other calls.
    pub fn finish(
        &mut self,
        held: Duration,
        own: Duration,
        now: Instant,
        out: &mut Vec<Outcome<K>>,
    ) {
        let full = self.running >= self.limit.get(now);
        self.account(now);
        self.limit.sample(own, full, now);
        let weight = if self.held == 0.0 { 1.0 } else { HELD_WEIGHT };
        self.held += (held.as_secs_f64() - self.held) * weight;
        self.release(now, out);
    }

    /// Takes the end of a run that says nothing about the upstream's speed, such as a cancelled one.
    pub fn abandon(&mut self, now: Instant, out: &mut Vec<Outcome<K>>) {
        self.account(now);
        self.release(now, out);
    }

    /// Forgets a waiting request whose caller left; false when it does not wait.
    pub fn leave(&mut self, key: K) -> bool {
        self.queue.remove(key)
    }

    /// Refuses what has waited too long; called every few milliseconds.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Outcome<K>>) {
        self.account(now);
        self.expire(now, out);
        self.fill(now, out);
    }

    /// Takes the upstream's own load report, which may lower the limit and never raises it.
    pub fn hint(&mut self, busy: u32, waiting: u32, now: Instant) {
        self.limit.hint(busy, waiting, now);
    }

    /// Refuses new work from a moment on; what waits by then still runs.
    pub fn drain(&mut self, from: Instant) {
        self.draining = Some(self.draining.map_or(from, |set| set.min(from)));
    }

    /// Takes new work again.
    pub fn undrain(&mut self) {
        self.draining = None;
    }

    /// Whether the upstream is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.is_some()
    }

    /// Whether nothing runs and nothing waits.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.queue.len() == 0
    }

    /// The admission level.
    pub fn level(&self) -> Priority {
        self.level.get()
    }

    /// Load as the guard sees it.
    pub fn load(&self, now: Instant) -> Load {
        Load { running: self.running, waiting: self.queue.len() as u32, limit: self.limit.get(now) }
    }

    /// Time after which a refused request may find a slot.
    pub fn retry_after(&self) -> Duration {
        self.config.queue.max(Duration::from_secs_f64(self.held))
    }

    fn enqueue(&mut self, offer: Offer<K>, now: Instant, out: &mut Vec<Outcome<K>>) -> Decision {
        let rank = Rank::of(&offer);
        if self.queue.len() >= self.room(now) {
            let Some(shed) = self.queue.shed_under(rank) else {
                self.level.refused();
                return Decision::Refuse(Refused::Full);
            };
            self.level.refused();
            out.push(Outcome::Refuse(shed.key, Refused::Full));
        }
        let patience = self.patience(&offer);
        let until = offer.deadline.min(now + patience);
        self.queue.push(Waiting { key: offer.key, rank, until });
        Decision::Wait
    }

    /// How long a request may wait. Work was done for a tree that has started, and a caller outside goes before
    /// everything else, so that only a burst of its like makes it wait.
    fn patience(&self, offer: &Offer<K>) -> Duration {
        let patient = !offer.root || offer.priority.class() == Priority::RANKS - 1;
        if patient { self.config.queue * LONG_PATIENCE } else { self.config.queue }
    }

    /// Requests that get a slot within the time that the queue allows.
    fn room(&self, now: Instant) -> usize {
        let limit = f64::from(self.limit.get(now));
        if self.held == 0.0 {
            return (limit * UNKNOWN_TURNS) as usize;
        }
        (limit * self.config.queue.as_secs_f64() / self.held).ceil().clamp(1.0, limit * 10.0)
            as usize
    }

    /// Time until a request would be done.
    fn expected(&self, offer: &Offer<K>, now: Instant) -> Duration {
        let free = self.running < self.limit.get(now);
        let ahead = if free { 0 } else { self.queue.ahead(Rank::of(offer)) + 1 };
        let turns = ahead as f64 / f64::from(self.limit.get(now));
        Duration::from_secs_f64(self.held * (0.5 + turns))
    }

    fn release(&mut self, now: Instant, out: &mut Vec<Outcome<K>>) {
        self.running = self.running.saturating_sub(1);
        self.expire(now, out);
        self.fill(now, out);
    }

    fn fill(&mut self, now: Instant, out: &mut Vec<Outcome<K>>) {
        while self.running < self.limit.get(now) {
            let Some(next) = self.queue.pop() else { return };
            self.running += 1;
            out.push(Outcome::Run(next.key));
        }
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Outcome<K>>) {
        for key in self.queue.expire(now) {
            self.level.refused();
            out.push(Outcome::Refuse(key, Refused::Waited));
        }
    }

    fn account(&mut self, now: Instant) {
        let limit = self.limit.get(now);
        let waiting = self.queue.len() as u32;
        let settled = f64::from(self.limit.settled(now));
        let capacity = if self.held > 0.0 { settled / self.held } else { f64::INFINITY };
        self.level.account(self.running, waiting, limit, capacity, now);
    }
}
