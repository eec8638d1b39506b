//! A service whose upstreams start, recover and fail, its guards' queues, and its entries; in steps of a millisecond.

use std::time::{Duration, Instant};

use mesh::decide::choose::{Peer, Tier};
use mesh::decide::queue::{Decision, Queue, SlotRequest};
use mesh::decide::rate_limit::{Announced, Answer};
use mesh::decide::select::{self, Candidate};
use mesh::decide::slow_start::{Cause, Failure, Transition};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MEAN_WORK_MS: f64 = 100.0;
const MAX_TRIES: usize = 4;
const SHORT_WAIT: Duration = Duration::from_millis(30);
const RELAY_INTERVAL_MS: u32 = 1_000;
/// Target latency and deadline of requests.
pub const TARGET_MS: u32 = 500;
const DEADLINE_MS: u32 = 2_000;

/// What an upstream does from a point in time on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Runs work at the usual speed.
    Usual,
    /// A new incarnation, for which work takes `factor` times as long, and longer still beyond `knee` requests.
    Cold { factor: f64, knee: u32 },
    /// Loses each request after a millisecond.
    Losing,
    /// Answers each request with an error after a millisecond.
    Erring,
}

/// What varies between runs.
#[derive(Debug, Clone)]
pub struct Setup {
    pub slow_start: bool,
    pub entries: usize,
    pub upstreams: usize,
    pub slots: u32,
    /// Share of the slots that the requests need.
    pub load: f64,
    /// The phases of the first `affected` upstreams, by their start in milliseconds.
    pub affected: usize,
    pub phases: Vec<(u32, Phase)>,
    pub end_ms: u32,
    /// Extra arrivals for the first upstream alone: their time and number.
    pub burst: Option<(u32, u32)>,
    /// Whether a restarting upstream ends its requests first.
    pub graceful: bool,
    pub seed: u64,
}

/// What callers and upstreams saw.
#[derive(Debug, Default)]
pub struct Outcome {
    pub answered: u32,
    /// Requests that were answered after their target, refused, and lost or failed.
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    /// When all slots of all upstreams were open again, in milliseconds.
    pub open_ms: u32,
    /// First time after the first phase at which the first upstream ran as many requests as the others on average.
    pub full_ms: Option<u32>,
    /// Most slots that were open at the first upstream while it failed requests, after half a second of it.
    pub failing_window: u32,
    /// Average time that a slot of the first upstream is held at the end of its first phase, in milliseconds.
    pub held_ms: u32,
}

struct Request {
    arrived: u32,
    entry: usize,
    work_ms: f64,
    started: u32,
}

struct Upstream {
    queue: Queue<usize>,
    running: Vec<usize>,
    phase: Phase,
}

pub struct World {
    setup: Setup,
    start: Instant,
    random: ChaCha8Rng,
    choices: ChaCha8Rng,
    upstreams: Vec<Upstream>,
    peers: Vec<Vec<Peer>>,
    requests: Vec<Request>,
    outcome: Outcome,
}

/// Runs the service.
pub fn run(setup: Setup) -> Outcome {
    let end_ms = setup.end_ms;
    let mut world = World::new(setup);
    for ms in 0..end_ms {
        world.step(ms);
    }
    world.outcome
}

impl World {
    fn new(setup: Setup) -> Self {
        let start = Instant::now();
        let upstreams = (0..setup.upstreams).map(|_| {
            let mut queue = Queue::new();
            queue.set_slots(setup.slots);
            let answer = Answer { announced: Announced::Unlimited, sent_at: start, ran: true };
            queue.record_answer(answer, start);
            queue.release(Duration::from_millis(MEAN_WORK_MS as u64), true, start);
            Upstream { queue, running: Vec::new(), phase: Phase::Usual }
        });
        Self {
            upstreams: upstreams.collect(),
            peers: vec![vec![Peer::new(start); setup.upstreams]; setup.entries],
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            choices: ChaCha8Rng::seed_from_u64(setup.seed),
            start,
            requests: Vec::new(),
            outcome: Outcome::default(),
            setup,
        }
    }

    fn at(&self, ms: u32) -> Instant {
        self.start + Duration::from_millis(ms.into())
    }

    fn step(&mut self, ms: u32) {
        for (from, phase) in self.setup.phases.clone() {
            if from == ms {
                for upstream in 0..self.setup.affected {
                    self.change_phase(upstream, phase, ms);
                }
            }
        }
        for upstream in 0..self.upstreams.len() {
            self.work(upstream, ms);
        }
        let slots = f64::from(self.setup.slots) * self.upstreams.len() as f64;
        let mean = slots * self.setup.load / MEAN_WORK_MS;
        let mut due = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / mean;
        while due < 1.0 {
            let candidates: Vec<usize> = (0..self.upstreams.len()).collect();
            self.arrive(&candidates, ms);
            due -= self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / mean;
        }
        if let Some((_, number)) = self.setup.burst.filter(|(at, _)| *at == ms) {
            (0..number).for_each(|_| self.arrive(&[0], ms));
        }
        if ms.is_multiple_of(RELAY_INTERVAL_MS) {
            self.relay(ms);
        }
        self.observe(ms);
    }

    fn change_phase(&mut self, index: usize, phase: Phase, ms: u32) {
        let now = self.at(ms);
        let upstream = &mut self.upstreams[index];
        let restarted = matches!(phase, Phase::Cold { .. }) && upstream.phase == Phase::Usual;
        upstream.phase = phase;
        if !restarted {
            return;
        }
        let running = std::mem::take(&mut upstream.running);
        if self.setup.slow_start {
            upstream.queue.begin_slow_start(Cause::Start, now);
        }
        let failure = (!self.setup.graceful).then_some(Failure::Lost);
        for request in running {
            self.finish(index, request, failure, ms);
        }
    }

    fn work(&mut self, index: usize, ms: u32) {
        let upstream = &self.upstreams[index];
        let failure = match upstream.phase {
            Phase::Losing => Some(Failure::Lost),
            Phase::Erring => Some(Failure::Failed),
            Phase::Usual | Phase::Cold { .. } => None,
        };
        let factor = match upstream.phase {
            Phase::Cold { factor, knee } => {
                factor * (upstream.running.len() as f64 / f64::from(knee)).max(1.0)
            }
            _ => 1.0,
        };
        let mut ended = Vec::new();
        for request in &upstream.running {
            let left = &mut self.requests[*request].work_ms;
            *left -= 1.0 / factor;
            if *left <= 0.0 || failure.is_some() {
                ended.push(*request);
            }
        }
        self.upstreams[index].running.retain(|request| !ended.contains(request));
        for request in ended {
            self.finish(index, request, failure, ms);
        }
    }

    fn finish(&mut self, index: usize, number: usize, failure: Option<Failure>, ms: u32) {
        let now = self.at(ms);
        let Request { arrived, entry, started, .. } = self.requests[number];
        let sent_at = self.at(started);
        let queue = &mut self.upstreams[index].queue;
        if let Some(failure) = failure.filter(|_| self.setup.slow_start) {
            queue.record_failure(failure, sent_at, now);
        }
        let held = Duration::from_millis((ms - started).into());
        queue.release(held, failure.is_none(), now);
        let load = queue.load(now);
        let peer = &mut self.peers[entry][index];
        peer.record_ended();
        peer.record_report(load, now);
        match failure {
            None => {
                peer.record_answer(now);
                peer.record_outcome(true, now);
                self.outcome.answered += 1;
                self.outcome.late += u32::from(ms - arrived > TARGET_MS);
            }
            Some(failure) => {
                self.outcome.failed += 1;
                if failure == Failure::Lost {
                    peer.record_failure(now);
                }
            }
        }
        while let Some(next) = self.upstreams[index].queue.grant_next(now) {
            self.begin(index, next, ms);
        }
    }

    fn begin(&mut self, index: usize, number: usize, ms: u32) {
        self.requests[number].started = ms;
        self.upstreams[index].running.push(number);
    }

    fn arrive(&mut self, nodes: &[usize], ms: u32) {
        let now = self.at(ms);
        let work_ms = MEAN_WORK_MS * self.random.random_range(0.5..1.5);
        let entry = self.random.random_range(0..self.setup.entries);
        let number = self.requests.len();
        self.requests.push(Request { arrived: ms, entry, work_ms, started: ms });
        let mut left = nodes.to_vec();
        for attempt in 1..=MAX_TRIES {
            let peers = &self.peers[entry];
            let candidates = left.iter().map(|index| Candidate {
                value: *index,
                peer: Some(&peers[*index]),
                tier: Tier::Zone,
                silent: false,
                leaving: false,
                detour: false,
            });
            let chosen = select::select(candidates, now, &mut self.choices);
            let Some((index, has_more)) = chosen else { break };
            left.retain(|other| *other != index);
            let last = attempt == MAX_TRIES || !has_more;
            let target = Duration::from_millis(TARGET_MS.into());
            let request = SlotRequest {
                priority: 0,
                target_time: now + target,
                deadline: now + Duration::from_millis(DEADLINE_MS.into()),
                max_wait: if last { target / 2 } else { SHORT_WAIT },
            };
            let queue = &mut self.upstreams[index].queue;
            let decision = queue.acquire(request, now, || number);
            let load = queue.load(now);
            let peer = &mut self.peers[entry][index];
            match decision {
                Decision::Refuse { .. } => {
                    peer.record_report(load, now);
                    continue;
                }
                Decision::Wait(_) => peer.record_sent(now),
                Decision::Run => {
                    peer.record_sent(now);
                    self.begin(index, number, ms);
                }
            }
            return;
        }
        self.outcome.refused += 1;
    }

    fn relay(&mut self, ms: u32) {
        let now = self.at(ms);
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let load = upstream.queue.load(now);
            for peers in &mut self.peers {
                peers[index].record_relayed_report(load, now);
            }
        }
    }

    fn observe(&mut self, ms: u32) {
        let now = self.at(ms);
        for upstream in &mut self.upstreams {
            if let Some(Transition::Opened(_)) = upstream.queue.take_transition() {
                self.outcome.open_ms = ms;
            }
        }
        let Some(&(first_ms, first)) = self.setup.phases.first() else { return };
        if ms <= first_ms {
            return;
        }
        let end_ms = self.setup.phases.get(1).map_or(u32::MAX, |(end, _)| *end);
        let load = self.upstreams[0].queue.load(now);
        let others: u32 =
            self.upstreams.iter().skip(1).map(|other| other.queue.load(now).running).sum();
        let mean = f64::from(others) / (self.upstreams.len() - 1).max(1) as f64;
        let failing = matches!(first, Phase::Losing | Phase::Erring);
        let from_ms = if failing { end_ms } else { first_ms };
        if ms > from_ms && self.outcome.full_ms.is_none() && f64::from(load.running) >= mean {
            self.outcome.full_ms = Some(ms);
        }
        if failing && ms >= first_ms + 500 && ms < end_ms {
            let open = load.open_slots();
            self.outcome.failing_window = self.outcome.failing_window.max(open);
        }
        if ms + 1 == end_ms {
            self.outcome.held_ms = load.held_us / 1_000;
        }
    }
}
