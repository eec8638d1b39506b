//! A service of upstreams of uneven speed, its guards' queues, and its entries.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use mesh::decide::choose::{Peer, Tier};
use mesh::decide::queue::{Decision, Load, Queue, SlotRequest};
use mesh::decide::rate_limit::{Announced, Answer};
use mesh::decide::select::{self, Candidate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const UPSTREAMS: usize = 39;
const ENTRIES: usize = 71;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
const ARRIVALS_PER_SEC: f64 = 490.0;
const MEAN_WORK_SECS: f64 = 0.19;
/// Standard deviation of the logarithm of the work.
const WORK_SPREAD: f64 = 0.5;
const SPELL_SECS: f64 = 0.6;
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;
/// Time between two figures of an upstream.
const FIGURE_MICROS: u64 = 10_000;
/// Time before latencies count, in which averages settle, and the whole time.
const SETTLE_MICROS: u64 = 15_000_000;
const END_MICROS: u64 = 75_000_000;

/// How a node is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// The cheapest, without service times.
    Cheapest,
    /// The least expected time of all.
    Fastest,
    /// The least expected time of two drawn at random.
    Two,
    /// That of the node: the least expected time of a few drawn in proportion to their speed.
    Drawn,
}

/// What varies between runs.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Age of the figures that entries know.
    pub late: Duration,
    /// Slots of each upstream.
    pub slots: u32,
    /// Seed of arrivals, work and spells.
    pub seed: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self { late: Duration::ZERO, slots: 36, seed: 1 }
    }
}

/// What callers and upstreams saw.
pub struct Outcome {
    /// Latencies in milliseconds, ascending.
    latencies: Vec<f64>,
    /// Requests of the busiest upstream, as a multiple of the mean.
    pub busiest: f64,
    /// Requests that were refused.
    pub refused: u32,
}

impl Outcome {
    /// The latency that this share of the requests stays below, in milliseconds.
    pub fn percentile(&self, share: f64) -> f64 {
        self.latencies[((self.latencies.len() - 1) as f64 * share) as usize]
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived: u64,
    entry: usize,
    work_secs: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Figures,
    End { upstream: usize, request: usize, since: u64 },
}

struct Upstream {
    speed: f64,
    phase: f64,
    /// Whether each spell is a slow one.
    slow: Vec<bool>,
    queue: Queue<usize>,
    /// The latest figures, newest last.
    figures: VecDeque<Load>,
    served: u32,
}

impl Upstream {
    fn factor(&self, secs: f64) -> f64 {
        let slow = self.slow[((secs + self.phase) / SPELL_SECS) as usize];
        if slow { SLOW_FACTOR } else { 1.0 }
    }

    /// When work that starts at `secs` is done.
    fn done(&self, mut secs: f64, work_secs: f64) -> f64 {
        let mut left = work_secs / self.speed;
        loop {
            let spell = ((secs + self.phase) / SPELL_SECS).floor();
            let spell_end = (spell + 1.0) * SPELL_SECS - self.phase + 1e-9;
            let factor = self.factor(secs);
            let end = secs + left * factor;
            if end <= spell_end {
                return end;
            }
            left -= (spell_end - secs) / factor;
            secs = spell_end;
        }
    }
}

struct World {
    rule: Rule,
    late: u64,
    start: Instant,
    random: ChaCha8Rng,
    choices: ChaCha8Rng,
    upstreams: Vec<Upstream>,
    peers: Vec<Vec<Peer>>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    outcome: Outcome,
}

/// Runs the service.
pub fn run(rule: Rule, setup: Setup) -> Outcome {
    let mut world = World::new(rule, setup);
    while let Some(Reverse((micros, event))) = world.events.pop() {
        match event {
            Event::Figures => world.record_figures(micros),
            Event::Arrival if micros < END_MICROS => world.arrive(micros),
            Event::Arrival => {}
            Event::End { upstream, request, since } => world.end(upstream, request, since, micros),
        }
    }
    world.finish()
}

impl World {
    fn new(rule: Rule, setup: Setup) -> Self {
        let start = Instant::now();
        let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
        let spells = (END_MICROS as f64 / 1e6 / SPELL_SECS) as usize + 400;
        let upstreams = (0..UPSTREAMS).map(|index| {
            let mut queue = Queue::new();
            queue.set_slots(setup.slots);
            let answer = Answer { announced: Announced::Unlimited, sent_at: start, ran: true };
            queue.record_answer(answer, start);
            Upstream {
                speed: SPEEDS[index % SPEEDS.len()],
                phase: random.random_range(0.0..SPELL_SECS),
                slow: (0..spells).map(|_| random.random_bool(SLOW_SHARE)).collect(),
                queue,
                figures: VecDeque::new(),
                served: 0,
            }
        });
        Self {
            rule,
            late: setup.late.as_micros() as u64,
            start,
            upstreams: upstreams.collect(),
            random,
            choices: ChaCha8Rng::seed_from_u64(setup.seed),
            peers: vec![vec![Peer::new(start); UPSTREAMS]; ENTRIES],
            requests: Vec::new(),
            events: [Reverse((0, Event::Figures)), Reverse((1, Event::Arrival))].into(),
            outcome: Outcome { latencies: Vec::new(), busiest: 0.0, refused: 0 },
        }
    }

    fn at(&self, micros: u64) -> Instant {
        self.start + Duration::from_micros(micros)
    }

    fn record_figures(&mut self, micros: u64) {
        let now = self.at(micros);
        let kept = (self.late / FIGURE_MICROS) as usize + 1;
        for upstream in &mut self.upstreams {
            upstream.queue.record_factor(upstream.factor(micros as f64 / 1e6), now);
            upstream.figures.push_back(upstream.queue.load(now));
            if upstream.figures.len() > kept {
                upstream.figures.pop_front();
            }
        }
        if micros < END_MICROS {
            self.events.push(Reverse((micros + FIGURE_MICROS, Event::Figures)));
        }
    }

    fn arrive(&mut self, micros: u64) {
        let random = &mut self.random;
        let gap = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / ARRIVALS_PER_SEC;
        self.events.push(Reverse((micros + (gap * 1e6) as u64 + 1, Event::Arrival)));
        let (one, two): (f64, f64) =
            (random.random_range(f64::MIN_POSITIVE..1.0), random.random_range(0.0..1.0));
        let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
        let location = MEAN_WORK_SECS.ln() - WORK_SPREAD * WORK_SPREAD / 2.0;
        let work_secs = (location + WORK_SPREAD * normal).exp();
        let entry = random.random_range(0..ENTRIES);
        let number = self.requests.len();
        self.requests.push(Request { arrived: micros, entry, work_secs });
        let now = self.at(micros);
        let upstream = self.choose(entry, micros);
        self.peers[entry][upstream].record_sent(now);
        let request = SlotRequest {
            priority: 0,
            target_time: now,
            deadline: now + Duration::from_secs(5),
            max_wait: Duration::from_secs(2),
        };
        match self.upstreams[upstream].queue.acquire(request, now, || number) {
            Decision::Run => self.start_request(upstream, number, micros),
            Decision::Wait(_) => {}
            Decision::Refuse { .. } => {
                self.peers[entry][upstream].record_ended();
                self.outcome.refused += 1;
            }
        }
    }

    fn start_request(&mut self, upstream: usize, request: usize, micros: u64) {
        let work_secs = self.requests[request].work_secs;
        let end = self.upstreams[upstream].done(micros as f64 / 1e6, work_secs);
        let event = Event::End { upstream, request, since: micros };
        self.events.push(Reverse(((end * 1e6) as u64, event)));
    }

    fn end(&mut self, upstream: usize, request: usize, since: u64, micros: u64) {
        let now = self.at(micros);
        let Request { arrived, entry, .. } = self.requests[request];
        if arrived >= SETTLE_MICROS {
            self.outcome.latencies.push((micros - arrived) as f64 / 1e3);
            self.upstreams[upstream].served += 1;
        }
        self.peers[entry][upstream].record_answer(now);
        self.peers[entry][upstream].record_ended();
        let queue = &mut self.upstreams[upstream].queue;
        queue.release(Duration::from_micros(micros - since), true, now);
        if let Some(next) = queue.grant_next(now) {
            self.start_request(upstream, next, micros);
        }
    }

    /// Chooses by the figures that are known at the entry, which are all late by the same time.
    fn choose(&mut self, entry: usize, micros: u64) -> usize {
        let now = self.at(micros);
        let late_ms = (self.late / 1_000) as u32;
        let peers = &mut self.peers[entry];
        for (peer, upstream) in peers.iter_mut().zip(&self.upstreams) {
            let Some(load) = upstream.figures.front() else { continue };
            let service_time = load.service_time.filter(|_| self.rule != Rule::Cheapest);
            let service_time = service_time.map(|mut time| {
                time.age_ms += late_ms;
                time
            });
            peer.record_report(Load { service_time, ..*load }, now);
        }
        let candidates = peers.iter().enumerate().map(|(value, peer)| Candidate {
            value,
            peer: Some(peer),
            tier: Tier::Zone,
            silent: false,
            leaving: false,
            detour: false,
        });
        let expected = |index: &usize| {
            let run_time = peers[*index].run_time(now).unwrap_or_default();
            peers[*index].expected_time(run_time, Tier::Zone, false, now)
        };
        let random = &mut self.choices;
        match self.rule {
            Rule::Cheapest | Rule::Drawn => select::select(candidates, now, random).unwrap().0,
            Rule::Fastest => (0..UPSTREAMS).min_by_key(expected).unwrap(),
            Rule::Two => {
                let (one, two) =
                    (random.random_range(0..UPSTREAMS), random.random_range(0..UPSTREAMS));
                [one, two].into_iter().min_by_key(expected).unwrap()
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let most = self.upstreams.iter().map(|upstream| upstream.served).max().unwrap_or(0);
        let mean = self.outcome.latencies.len() as f64 / UPSTREAMS as f64;
        self.outcome.busiest = f64::from(most) / mean;
        self.outcome.latencies.sort_by(f64::total_cmp);
        self.outcome
    }
}
