//! Concurrency limit, queue and admission level in front of one upstream, combined into its admission controller.

use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::level::AdmissionLevel;
use crate::limit::ConcurrencyLimit;
use crate::priority::Priority;
use crate::queue::{Queue, Rank, WaitingRequest};

/// Factor on the maximum wait for requests of the highest class and for calls within a running tree.
const LONG_WAIT_FACTOR: u32 = 3;
/// Queued requests per slot while the mean service time is unknown.
const INITIAL_QUEUE_PER_SLOT: f64 = 4.0;
/// Weight of one request in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.02;

units::value! {
    /// Configuration of an admission controller.
    pub struct Config {
        /// Requests that the upstream runs at once, as it announced.
        pub slots: u32,
        /// Longest time a request may wait for a slot.
        pub max_wait: Duration,
        /// The concurrency limit adapts to measurements instead of staying at `slots`.
        pub adaptive: bool,
        /// New call trees below the admission level are refused.
        pub use_level: bool,
    }

    /// A request to be admitted.
    pub struct AdmissionRequest<K> {
        /// Identifies it in later events.
        pub key: K,
        /// Its priority.
        pub priority: Priority,
        /// When its caller times out.
        pub deadline: Instant,
        /// It is the root of a call tree, not a call within a running tree.
        pub is_root: bool,
    }

    /// Decision on an offered request.
    pub enum Decision {
        /// Run it now.
        Run,
        /// It is queued; an outcome follows.
        Wait,
        /// It is refused and did not run.
        Refuse(RefusalReason),
    }

    /// Why a request was refused.
    pub enum RefusalReason {
        /// Its priority is below the admission level.
        BelowLevel,
        /// The queue is full of requests of at least its rank.
        QueueFull,
        /// It reached the maximum wait in the queue.
        QueueTimeout,
        /// Its deadline can't be met.
        Deadline,
        /// The upstream is draining.
        Draining,
    }

    /// Outcome of a queued request.
    pub enum Outcome<K> {
        /// Run it now.
        Run(K),
        /// It is refused and did not run.
        Refuse(K, RefusalReason),
    }

    /// Load of an upstream as measured by its admission controller.
    #[derive(Default)]
    pub struct Load {
        /// Running requests.
        pub running: u32,
        /// Queued requests.
        pub waiting: u32,
        /// Concurrency limit.
        pub limit: u32,
    }
}

/// Concurrency limit, queue and admission level of one upstream.
#[derive(Debug, Clone)]
pub struct AdmissionController<K> {
    config: Config,
    limit: ConcurrencyLimit,
    level: AdmissionLevel,
    queue: Queue<K>,
    running: u32,
    /// When to start refusing new requests.
    drain_from: Option<Instant>,
    /// Mean service time; zero until the first request has finished.
    service_secs: f64,
}

impl<K: Copy + Eq + Hash> AdmissionController<K> {
    /// A controller for an upstream that has just started.
    pub fn new(config: Config, now: Instant) -> Self {
        Self {
            config,
            limit: if config.adaptive {
                ConcurrencyLimit::new(config.slots, now)
            } else {
                ConcurrencyLimit::fixed(config.slots, now)
            },
            level: AdmissionLevel::new(now),
            queue: Queue::new(),
            running: 0,
            drain_from: None,
            service_secs: 0.0,
        }
    }

    /// Applies a changed announcement or rule.
    pub fn configure(&mut self, config: Config) {
        self.config = config;
        self.limit.set_cap(config.slots);
    }

    /// Resets the measured state to that of `fresh` after the upstream restarted; running and queued requests stay.
    pub fn restart(&mut self, fresh: Self) {
        self.config = fresh.config;
        self.limit = fresh.limit;
        self.level = fresh.level;
        self.service_secs = fresh.service_secs;
        self.drain_from = None;
    }

    /// Admits, queues or refuses a request; a queued one of lower rank may be shed to make room.
    pub fn admit(
        &mut self,
        request: AdmissionRequest<K>,
        now: Instant,
        outcomes: &mut Vec<Outcome<K>>,
    ) -> Decision {
        self.observe_load(now);
        self.level.record_arrival(request.priority);
        if self.drain_from.is_some_and(|from| now >= from) {
            return Decision::Refuse(RefusalReason::Draining);
        }
        if self.config.use_level && request.is_root && !self.level.admits(request.priority) {
            return Decision::Refuse(RefusalReason::BelowLevel);
        }
        if request.deadline <= now + self.expected_latency(&request, now) {
            self.level.record_refusal();
            return Decision::Refuse(RefusalReason::Deadline);
        }
        if self.running < self.limit.get(now) && self.queue.len() == 0 {
            self.running += 1;
            return Decision::Run;
        }
        self.enqueue(request, now, outcomes)
    }

    /// Records a finished request: its service time, and `self_time`, the part not spent waiting for calls of its own.
    pub fn finish(
        &mut self,
        service_time: Duration,
        self_time: Duration,
        now: Instant,
        outcomes: &mut Vec<Outcome<K>>,
    ) {
        let saturated = self.running >= self.limit.get(now);
        self.observe_load(now);
        self.limit.record(self_time, saturated, now);
        let weight = if self.service_secs == 0.0 { 1.0 } else { SERVICE_TIME_WEIGHT };
        self.service_secs += (service_time.as_secs_f64() - self.service_secs) * weight;
        self.release(now, outcomes);
    }

    /// Releases the slot of a request whose duration is no sample of the service time, such as a cancelled one.
    pub fn abandon(&mut self, now: Instant, outcomes: &mut Vec<Outcome<K>>) {
        self.observe_load(now);
        self.release(now, outcomes);
    }

    /// Removes a queued request whose caller is gone; false when it is not queued.
    pub fn cancel(&mut self, key: K) -> bool {
        self.queue.remove(key)
    }

    /// Refuses requests that reached their maximum wait and fills free slots; called every few milliseconds.
    pub fn tick(&mut self, now: Instant, outcomes: &mut Vec<Outcome<K>>) {
        self.observe_load(now);
        self.expire(now, outcomes);
        self.start_queued(now, outcomes);
    }

    /// Applies the upstream's own load report, which can lower the limit but never raise it.
    pub fn report_load(&mut self, busy: u32, waiting: u32, now: Instant) {
        self.limit.report_load(busy, waiting, now);
    }

    /// Refuses new requests from a point in time; those queued by then still run.
    pub fn drain(&mut self, from: Instant) {
        self.drain_from = Some(self.drain_from.map_or(from, |current| current.min(from)));
    }

    /// Accepts new requests again.
    pub fn undrain(&mut self) {
        self.drain_from = None;
    }

    /// Whether draining was requested.
    pub fn is_draining(&self) -> bool {
        self.drain_from.is_some()
    }

    /// Whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.queue.len() == 0
    }

    /// The admission level.
    pub fn level(&self) -> Priority {
        self.level.get()
    }

    /// The measured load.
    pub fn load(&self, now: Instant) -> Load {
        Load { running: self.running, waiting: self.queue.len() as u32, limit: self.limit.get(now) }
    }

    /// Estimated time until a refused request may get a slot.
    pub fn retry_after(&self) -> Duration {
        self.config.max_wait.max(Duration::from_secs_f64(self.service_secs))
    }

    fn enqueue(
        &mut self,
        request: AdmissionRequest<K>,
        now: Instant,
        outcomes: &mut Vec<Outcome<K>>,
    ) -> Decision {
        let rank = Rank::of(&request);
        if self.queue.len() >= self.queue_capacity(now) {
            let Some(shed) = self.queue.shed_below(rank) else {
                self.level.record_refusal();
                return Decision::Refuse(RefusalReason::QueueFull);
            };
            self.level.record_refusal();
            outcomes.push(Outcome::Refuse(shed.key, RefusalReason::QueueFull));
        }
        let max_wait = self.max_wait(&request);
        let expires_at = request.deadline.min(now + max_wait);
        self.queue.push(WaitingRequest { key: request.key, rank, expires_at });
        Decision::Wait
    }

    /// Maximum wait of a request. It is longer for calls within a running tree, whose refusal would waste work, and
    /// for the highest class, which waits only in bursts of its own class.
    fn max_wait(&self, request: &AdmissionRequest<K>) -> Duration {
        let waits_long =
            !request.is_root || request.priority.class_rank() == Priority::CLASS_RANKS - 1;
        if waits_long { self.config.max_wait * LONG_WAIT_FACTOR } else { self.config.max_wait }
    }

    /// Number of queued requests that can get a slot within the configured wait.
    fn queue_capacity(&self, now: Instant) -> usize {
        let limit = f64::from(self.limit.get(now));
        if self.service_secs == 0.0 {
            return (limit * INITIAL_QUEUE_PER_SLOT) as usize;
        }
        (limit * self.config.max_wait.as_secs_f64() / self.service_secs)
            .ceil()
            .clamp(1.0, limit * 10.0) as usize
    }

    /// Expected time until a request offered now would finish.
    fn expected_latency(&self, request: &AdmissionRequest<K>, now: Instant) -> Duration {
        let free = self.running < self.limit.get(now);
        let ahead = if free { 0 } else { self.queue.ahead(Rank::of(request)) + 1 };
        let turns = ahead as f64 / f64::from(self.limit.get(now));
        Duration::from_secs_f64(self.service_secs * (0.5 + turns))
    }

    fn release(&mut self, now: Instant, outcomes: &mut Vec<Outcome<K>>) {
        self.running = self.running.saturating_sub(1);
        self.expire(now, outcomes);
        self.start_queued(now, outcomes);
    }

    fn start_queued(&mut self, now: Instant, outcomes: &mut Vec<Outcome<K>>) {
        while self.running < self.limit.get(now) {
            let Some(next) = self.queue.pop() else { return };
            self.running += 1;
            outcomes.push(Outcome::Run(next.key));
        }
    }

    fn expire(&mut self, now: Instant, outcomes: &mut Vec<Outcome<K>>) {
        for key in self.queue.expire(now) {
            self.level.record_refusal();
            outcomes.push(Outcome::Refuse(key, RefusalReason::QueueTimeout));
        }
    }

    fn observe_load(&mut self, now: Instant) {
        let limit = self.limit.get(now);
        let waiting = self.queue.len() as u32;
        let limit_outside_trial = f64::from(self.limit.outside_trial(now));
        let capacity = if self.service_secs > 0.0 {
            limit_outside_trial / self.service_secs
        } else {
            f64::INFINITY
        };
        self.level.observe(self.running, waiting, limit, capacity, now);
    }
}
