//! Nodes in one process with a network and clocks that are simulated, by seed.

#![allow(
    dead_code,
    missing_docs,
    clippy::unwrap_used,
    reason = "each test crate uses only some of the helpers; a panic fails the test"
)]

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use quota::message::{Notice, TokenRequest, TokenResponse};
use quota::{Decision, Limit, Member, Moment, Sighting, Tolerance, View};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const WINDOW: Duration = Duration::from_secs(5);
pub const TOLERANCE: Tolerance = Tolerance { window: WINDOW, overage: 0.1, slack: 20.0 };
/// Time in which a changed configuration reaches all nodes.
pub const APPLY: f64 = 3.0;
const ROUND: f64 = 0.5;
const TICK: f64 = 0.005;
const SILENT: f64 = 3.5;
const REMOVE: f64 = 30.0;
const AVOID: f64 = 2.0;
const EXCHANGE_TIMEOUT: f64 = 0.7;
const TOKEN_TIMEOUT: f64 = 0.1;
const MAX_WAIT: f64 = 0.15;

/// A tenant, and the demand for it.
pub struct Tenant {
    pub name: Arc<str>,
    pub rate: f64,
    pub burst: f64,
    /// Requests per second.
    pub demand: f64,
    /// Nodes at which they arrive, by name.
    pub at: Vec<usize>,
    runs: VecDeque<f64>,
    pub offered: u64,
    pub refused: u64,
    pub permitted: u64,
    /// Highest use of the bound.
    pub highest: f64,
    /// Earlier rates that may be in force until then.
    earlier: Vec<(f64, f64, f64)>,
}

impl Tenant {
    pub fn new(name: &str, rate: f64, demand: f64, at: Vec<usize>) -> Self {
        Self {
            name: name.into(),
            rate,
            burst: rate,
            demand,
            at,
            runs: VecDeque::new(),
            offered: 0,
            refused: 0,
            permitted: 0,
            highest: 0.0,
            earlier: Vec::new(),
        }
    }

    /// Counts a run, and checks the window that ends with it.
    fn record(&mut self, now: f64) {
        let window = WINDOW.as_secs_f64();
        self.permitted += 1;
        self.runs.push_back(now);
        while self.runs.front().is_some_and(|first| *first < now - window) {
            self.runs.pop_front();
        }
        let bound = |rate: f64, burst: f64| (rate * window + burst) * 1.1 + 20.0;
        self.earlier.retain(|(until, ..)| *until > now);
        let earlier = self.earlier.iter().map(|(_, rate, burst)| bound(*rate, *burst));
        let most = earlier.fold(bound(self.rate, self.burst), f64::max);
        self.highest = self.highest.max(self.runs.len() as f64 / most);
        assert!(
            self.runs.len() as f64 <= most,
            "{}: {} runs in the window to {now:.3}, {most} allowed",
            self.name,
            self.runs.len()
        );
    }
}

enum Body {
    Exchange(Box<Notice>),
    Answer(Box<Notice>, u64),
    Ask(TokenRequest),
    Tokens(Arc<str>, TokenResponse),
}

struct Letter {
    from: usize,
    to: usize,
    exchange: u64,
    body: Body,
}

enum Event {
    Round(usize),
    Deliver(Letter),
    ExchangeTimeout(usize, u64),
    TokenTimeout(usize, Arc<str>, Arc<str>, u64),
    Limits(usize),
}

/// A process.
pub struct Process {
    pub name: usize,
    pub member: Member,
    pub alive: bool,
    pub group: u32,
    /// Monotonic time that it has missed, and until when it is suspended.
    missed: f64,
    suspended: Option<(f64, f64)>,
    /// Offset of its wall clock.
    skew: f64,
    heard: HashMap<usize, f64>,
    leaving: HashSet<usize>,
    avoided: HashMap<usize, f64>,
    waiting: Vec<(usize, f64)>,
    exchanges: HashMap<u64, usize>,
    started: f64,
    joined: bool,
    pub stopping: bool,
}

pub struct Fleet {
    pub rng: ChaCha8Rng,
    pub now: f64,
    pub zones: usize,
    pub processes: Vec<Process>,
    pub tenants: Vec<Tenant>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    pub loss: f64,
    pub late: f64,
    /// Most seconds by which a message is late.
    pub lateness: f64,
    pub repeated: f64,
    pub messages: u64,
}

pub fn node_name(name: usize) -> Arc<str> {
    format!("n{name:03}").into()
}

impl Fleet {
    pub fn new(seed: u64, nodes: usize, zones: usize) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000.0,
            zones,
            processes: Vec::new(),
            tenants: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            loss: 0.0,
            late: 0.0,
            lateness: 4.0,
            repeated: 0.0,
            messages: 0,
        };
        for name in 0..nodes {
            fleet.start(name);
        }
        fleet
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.events.insert(((at * 1e6) as u64, self.sequence), event);
    }

    fn random(&mut self, low: f64, high: f64) -> f64 {
        self.rng.random_range(low..high)
    }

    pub fn moment(&self, process: usize) -> Moment {
        let process = &self.processes[process];
        let frozen = process.suspended.map_or(self.now, |(since, _)| since);
        let monotonic = frozen - process.missed;
        let wall_ms = ((self.now + process.skew) * 1e3) as u64;
        Moment { monotonic: Duration::from_secs_f64(monotonic), wall_ms }
    }

    /// Starts a process with that name, which may be another one's.
    pub fn start(&mut self, name: usize) -> usize {
        let place = self.processes.len();
        let missed = self.random(0.0, 500.0);
        let skew = self.random(-3.0, 3.0);
        let moment = Moment {
            monotonic: Duration::from_secs_f64(self.now - missed),
            wall_ms: ((self.now + skew) * 1e3) as u64,
        };
        let member = Member::new(node_name(name), self.rng.random(), moment);
        self.processes.push(Process {
            name,
            member,
            alive: true,
            group: 0,
            missed,
            suspended: None,
            skew,
            heard: HashMap::new(),
            leaving: HashSet::new(),
            avoided: HashMap::new(),
            waiting: Vec::new(),
            exchanges: HashMap::new(),
            started: self.now,
            joined: false,
            stopping: false,
        });
        self.schedule(self.now, Event::Limits(place));
        let first = self.now + self.random(0.0, ROUND);
        self.schedule(first, Event::Round(place));
        place
    }

    pub fn set_rate(&mut self, tenant: usize, rate: f64) {
        let until = self.now + APPLY + WINDOW.as_secs_f64();
        let entry = &mut self.tenants[tenant];
        entry.earlier.push((until, entry.rate, entry.burst));
        (entry.rate, entry.burst) = (rate, rate);
        for process in 0..self.processes.len() {
            let at = self.now + self.random(0.0, APPLY);
            self.schedule(at, Event::Limits(process));
        }
    }

    pub fn suspend(&mut self, process: usize, time: f64) {
        let state = &mut self.processes[process];
        if state.suspended.is_none() {
            state.suspended = Some((self.now, self.now + time));
        }
    }

    pub fn living(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|place| self.processes[*place].alive).collect()
    }

    pub fn shift_wall_clock(&mut self, process: usize, by: f64) {
        self.processes[process].skew += by;
    }

    fn zone(&self, name: usize) -> usize {
        name % self.zones
    }

    fn region(&self, name: usize) -> usize {
        self.zone(name) * 2 / self.zones.max(2)
    }

    /// Runs for some seconds.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += TICK;
            self.resume();
            let due = (self.now * 1e6) as u64;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > due {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            self.arrive();
            self.expire();
        }
    }

    fn resume(&mut self) {
        for process in &mut self.processes {
            if let Some((since, until)) = process.suspended
                && self.now >= until
            {
                process.missed += self.now - since;
                process.suspended = None;
            }
        }
    }

    /// The time until which a process can't handle an event.
    fn delayed(&self, process: usize) -> Option<f64> {
        self.processes[process].suspended.map(|(_, until)| until)
    }

    fn handle(&mut self, event: Event) {
        let place = match &event {
            Event::Round(place)
            | Event::ExchangeTimeout(place, _)
            | Event::TokenTimeout(place, ..)
            | Event::Limits(place) => *place,
            Event::Deliver(letter) => letter.to,
        };
        if !self.processes[place].alive {
            return;
        }
        if let Some(until) = self.delayed(place) {
            return self.schedule(until + TICK, event);
        }
        let moment = self.moment(place);
        match event {
            Event::Round(_) => self.round(place),
            Event::Deliver(letter) => self.deliver(letter),
            Event::ExchangeTimeout(_, exchange) => {
                let process = &mut self.processes[place];
                if let Some(name) = process.exchanges.remove(&exchange) {
                    process.avoided.insert(name, self.now + AVOID);
                }
            }
            Event::TokenTimeout(_, tenant, leader, number) => {
                let pause = Duration::from_millis(200);
                self.processes[place].member.give_up(&tenant, &leader, number, pause, moment);
                self.decide_waiting(place);
            }
            Event::Limits(_) => {
                let limits = self.tenants.iter().map(|tenant| {
                    let limit = Limit::new(tenant.rate, tenant.burst, TOLERANCE);
                    (tenant.name.clone(), limit)
                });
                self.processes[place].member.set_limits(limits, moment);
            }
        }
    }

    /// Which processes a process reaches: one of each name, those of the same group.
    fn reach(&mut self, place: usize, name: usize) -> Option<usize> {
        let group = self.processes[place].group;
        let same: Vec<usize> = self
            .living()
            .into_iter()
            .filter(|other| self.processes[*other].name == name && *other != place)
            .filter(|other| self.processes[*other].group == group)
            .collect();
        // Of several processes of a name, the address leads to one or the other.
        (!same.is_empty()).then(|| same[self.rng.random_range(0..same.len())])
    }

    fn round(&mut self, place: usize) {
        let (now, group) = (self.now, self.processes[place].group);
        let mut heard = Vec::new();
        for other in 0..self.processes.len() {
            let process = &self.processes[other];
            let reached = process.alive && process.group == group && process.suspended.is_none();
            // A new process is known to others after a time of its own for each.
            let pair = (place * 7_919 + other * 104_729) % 1_000;
            let known = now >= process.started + 2.0 * pair as f64 / 1e3;
            if reached && known {
                heard.push((process.name, process.stopping));
            }
        }
        let process = &mut self.processes[place];
        let own = process.name;
        for (name, stopping) in heard {
            process.heard.insert(name, now);
            process.joined |= name != own;
            if stopping {
                process.leaving.insert(name)
            } else {
                process.leaving.remove(&name)
            };
        }
        process.heard.insert(own, now);
        process.heard.retain(|_, at| now - *at < REMOVE);
        let view = self.view(place);
        let leader = view.leader.clone();
        let moment = self.moment(place);
        self.processes[place].member.update(view, moment);
        if let Some(leader) = leader
            && *leader != *node_name(own)
        {
            let name: usize = leader[1..].parse().unwrap();
            self.sequence += 1;
            let exchange = self.sequence;
            let notice = self.processes[place].member.notice(&leader, moment);
            self.processes[place].exchanges.insert(exchange, name);
            self.schedule(now + EXCHANGE_TIMEOUT, Event::ExchangeTimeout(place, exchange));
            self.send(place, name, exchange, || Body::Exchange(Box::new(notice.clone())));
        }
        let next = now + ROUND + self.random(0.0, 0.02);
        self.schedule(next, Event::Round(place));
    }

    fn view(&self, place: usize) -> View {
        let process = &self.processes[place];
        let now = self.now;
        let silent = |name: &usize| now - process.heard[name] > SILENT;
        let avoided = |name: &usize| process.avoided.get(name).is_some_and(|until| *until > now);
        let mut names: Vec<usize> = process.heard.keys().copied().collect();
        names.sort_unstable();
        let nodes = names.iter().map(|name| {
            let leaving = process.leaving.contains(name);
            (node_name(*name), Sighting { silent: silent(name), leaving })
        });
        let nodes = nodes.collect();
        let mut leaders: BTreeMap<usize, usize> = BTreeMap::new();
        for name in &names {
            if *name == process.name || !(silent(name) || avoided(name)) {
                leaders.entry(self.zone(*name)).or_insert(*name);
            }
        }
        let own = self.zone(process.name);
        let leader = leaders.remove(&own).map(node_name);
        let region = self.region(process.name);
        let mut others: Vec<usize> = leaders.into_values().collect();
        others.sort_by_key(|name| self.region(*name) != region);
        let others = others.into_iter().map(node_name).collect();
        View { nodes, joined: process.joined, leader, others }
    }

    fn send(&mut self, from: usize, name: usize, exchange: u64, body: impl Fn() -> Body) {
        self.messages += 1;
        let Some(to) = self.reach(from, name) else { return };
        let copies = if self.rng.random_bool(self.repeated) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let same = self.region(self.processes[from].name) == self.region(name);
            let mut delay =
                if same { self.random(0.0001, 0.001) } else { self.random(0.03, 0.032) };
            if self.rng.random_bool(self.late) {
                delay += self.random(0.0, self.lateness);
            }
            let letter = Letter { from, to, exchange, body: body() };
            self.schedule(self.now + delay, Event::Deliver(letter));
        }
    }

    fn reply(&mut self, letter: &Letter, body: impl Fn() -> Body) {
        let name = self.processes[letter.from].name;
        let copies = if self.rng.random_bool(self.repeated) { 2 } else { 1 };
        let apart = self.processes[letter.from].group != self.processes[letter.to].group;
        for _ in 0..copies {
            if apart || self.rng.random_bool(self.loss) {
                continue;
            }
            let same = self.region(self.processes[letter.to].name) == self.region(name);
            let mut delay =
                if same { self.random(0.0001, 0.001) } else { self.random(0.03, 0.032) };
            if self.rng.random_bool(self.late) {
                delay += self.random(0.0, self.lateness);
            }
            let Letter { from, to, exchange, .. } = *letter;
            let letter = Letter { from: to, to: from, exchange, body: body() };
            self.schedule(self.now + delay, Event::Deliver(letter));
        }
    }

    fn deliver(&mut self, letter: Letter) {
        let (place, moment) = (letter.to, self.moment(letter.to));
        let from = node_name(self.processes[letter.from].name);
        match &letter.body {
            Body::Exchange(notice) => {
                let member = &mut self.processes[place].member;
                member.receive(&from, notice, moment);
                let answer = member.notice(&from, moment);
                self.reply(&letter, || Body::Answer(Box::new(answer.clone()), 0));
            }
            Body::Answer(notice, _) => {
                let process = &mut self.processes[place];
                // An answer after the time-out reaches nobody, but a repeated one must do no harm.
                process.exchanges.remove(&letter.exchange);
                process.member.receive(&from, notice, moment);
            }
            Body::Ask(request) => {
                let response = self.processes[place].member.grant(request, moment);
                let tenant = request.tenant.clone();
                self.reply(&letter, || Body::Tokens(tenant.clone(), response.clone()));
            }
            Body::Tokens(tenant, response) => {
                let member = &mut self.processes[place].member;
                member.complete(tenant, &from, response, moment);
                self.decide_waiting(place);
            }
        }
    }

    /// Requests arrive.
    fn arrive(&mut self) {
        for tenant in 0..self.tenants.len() {
            let Tenant { demand, .. } = self.tenants[tenant];
            let mut expected = demand * TICK;
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    self.request(tenant);
                }
                expected -= 1.0;
            }
        }
    }

    fn request(&mut self, tenant: usize) {
        let at = &self.tenants[tenant].at;
        let name = at[self.rng.random_range(0..at.len())];
        let places = self.living().into_iter().filter(|place| {
            let process = &self.processes[*place];
            process.name == name && process.suspended.is_none()
        });
        let places: Vec<usize> = places.collect();
        if places.is_empty() {
            return;
        }
        let place = places[self.rng.random_range(0..places.len())];
        self.tenants[tenant].offered += 1;
        let moment = self.moment(place);
        let key = self.tenants[tenant].name.clone();
        let decision = self.processes[place].member.begin(&key, moment);
        if !self.apply(place, tenant, decision) {
            self.processes[place].waiting.push((tenant, self.now + MAX_WAIT));
        }
    }

    /// Applies a decision; false if the request waits.
    fn apply(&mut self, place: usize, tenant: usize, decision: Decision) -> bool {
        match decision {
            Decision::Permitted(permit) => {
                // Some requests are refused later on and surely don't run.
                if self.rng.random_bool(0.05) {
                    let moment = self.moment(place);
                    let key = self.tenants[tenant].name.clone();
                    self.processes[place].member.put_back(&key, &permit, moment);
                } else {
                    self.tenants[tenant].record(self.now);
                }
                true
            }
            Decision::Refused(_) => {
                self.tenants[tenant].refused += 1;
                true
            }
            Decision::Pending => false,
            Decision::Ask(leader, request) => {
                let name: usize = leader[1..].parse().unwrap();
                let timeout = Event::TokenTimeout(
                    place,
                    request.tenant.clone(),
                    leader.clone(),
                    request.number,
                );
                self.schedule(self.now + TOKEN_TIMEOUT, timeout);
                self.send(place, name, 0, || Body::Ask(request.clone()));
                false
            }
        }
    }

    fn decide_waiting(&mut self, place: usize) {
        let waiting = std::mem::take(&mut self.processes[place].waiting);
        for (tenant, until) in waiting {
            let moment = self.moment(place);
            let key = self.tenants[tenant].name.clone();
            let decision = self.processes[place].member.decide(&key, moment);
            if !self.apply(place, tenant, decision) {
                self.processes[place].waiting.push((tenant, until));
            }
        }
    }

    fn expire(&mut self) {
        for process in &mut self.processes {
            if process.suspended.is_some() {
                continue;
            }
            let (now, tenants) = (self.now, &mut self.tenants);
            process.waiting.retain(|(tenant, until)| {
                let expired = *until <= now;
                tenants[*tenant].refused += u64::from(expired && process.alive);
                !expired
            });
        }
    }
}
