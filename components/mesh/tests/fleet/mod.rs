//! A fleet of nodes in one process that exchange by function calls, with a clock that is advanced by hand.

#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "each test crate uses only some of the helpers; a panic fails the test"
)]

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderName, Method};
use mesh::NodeSettings;
use mesh::configuration::Configuration;
use mesh::decide::members::{MemberUpdate, Record, UpstreamState};
use mesh::decide::queue::SlotRequest;
use mesh::platform::{
    Announcement, Answer, ConfigurationRead, HeaderFlag, Headers, KeyedRecords, Platform,
    StoreError,
};
use mesh::process::events::Sink;
use mesh::process::exchange::{self, Exchanged, Exchanger};
use mesh::process::limiter::Acquire;
use mesh::process::settings::{Listen, QuotaBounds, Revocation};
use mesh::process::shared::{Shared, lock};
use units::{Clock, ManualClock};

/// Time between two rounds of exchanges.
pub const ROUND: Duration = Duration::from_millis(500);
/// Slots of each upstream.
pub const SLOTS: u32 = 30;
/// Routes that clients use, and the service of each.
pub const ROUTES: [(&str, &str); 4] =
    [("list", "catalog"), ("order", "orders"), ("confirm", "deliveries"), ("check", "stock")];
/// Exchanges of a node in one round, of which there is an end.
const MAX_EXCHANGES: u32 = 20;
/// Time that a request holds a slot.
const HELD: Duration = Duration::from_millis(100);

/// A platform whose store is never reached.
pub struct Unreached {
    clock: ManualClock,
    headers: Headers,
}

impl Unreached {
    fn new(clock: ManualClock) -> Self {
        let name = HeaderName::from_static;
        let headers = Headers {
            id: name("id"),
            deadline: name("deadline"),
            incarnation: name("incarnation"),
            caller: name("caller"),
            not_run: name("not-run"),
            rate_limit: name("rate-limit"),
            key: name("key"),
            tenant: name("tenant"),
            load: name("load"),
            leaving: HeaderFlag { name: name("leaving"), value: "1" },
            upstream: name("upstream"),
        };
        Self { clock, headers }
    }
}

fn unreached<T>() -> Answer<T> {
    StoreError::NoResponse("the test has no store".to_owned()).into()
}

impl Platform for Unreached {
    type Clock = ManualClock;
    fn clock(&self) -> &ManualClock {
        &self.clock
    }
    fn headers(&self) -> &Headers {
        &self.headers
    }
    fn decode_announcement(&self, _: &Method, _: &str, _: &[u8]) -> Result<Announcement, String> {
        Err("the test has no announcements".to_owned())
    }
    fn decode_configuration(&self, _: &[u8]) -> Result<Configuration, String> {
        Err("the test has no configuration".to_owned())
    }
    async fn latest_configuration(&self) -> Answer<ConfigurationRead> {
        unreached()
    }
    async fn follow_configuration(&self, _: u64, _: Duration) -> Answer<ConfigurationRead> {
        unreached()
    }
    async fn check_configuration(&self, _: u64, _: Duration) -> Answer<ConfigurationRead> {
        unreached()
    }
    async fn node_records(&self) -> Answer<KeyedRecords> {
        unreached()
    }
    async fn put_record(&self, _: &str, _: Vec<u8>) -> Answer<()> {
        unreached()
    }
}

/// A node of the fleet.
pub struct Member {
    pub shared: Arc<Shared<Unreached>>,
    exchanger: Exchanger<Unreached>,
    /// Bytes and messages that it has sent or received.
    pub bytes: usize,
    pub messages: usize,
}

impl Member {
    fn start(index: usize, zones: usize, clock: &ManualClock) -> Self {
        let settings = settings(index, zones);
        let sink = Sink::new(settings.node.clone(), std::io::sink());
        let platform = Unreached::new(clock.clone());
        let shared = Arc::new(Shared::new(platform, settings, sink).unwrap());
        shared.limiter.set_slots(SLOTS, clock.now());
        shared.limiter.restore_unlimited(clock.now());
        lock(&shared.members).update_own(|own| {
            own.state = UpstreamState::Ready;
            own.slots = SLOTS;
        });
        Self { exchanger: Exchanger::new(shared.clone()), shared, bytes: 0, messages: 0 }
    }

    pub fn name(&self) -> Arc<str> {
        self.shared.settings.node.clone()
    }

    /// Requests per second that the node believes to arrive at all nodes, by route.
    pub fn offered(&self, route: &str) -> f64 {
        let demand = exchange::demand(&self.shared);
        demand.offered().get(route).copied().unwrap_or_default()
    }

    /// Whether this node takes another one for silent.
    pub fn takes_for_silent(&self, node: &str) -> bool {
        let table = lock(&self.shared.members);
        let now = self.shared.now();
        let silent = table.all(now).find(|(member, _)| *member.record.node == *node);
        silent.is_none_or(|(_, silent)| silent)
    }
}

/// Nodes that exchange with each other.
pub struct Fleet {
    pub clock: ManualClock,
    pub members: Vec<Member>,
    zones: usize,
    /// Nodes that don't run.
    pub stopped: HashSet<usize>,
    /// Pairs of sender and receiver between which nothing arrives.
    pub cut: HashSet<(usize, usize)>,
    /// Requests per second at each entry and route, and the share of slots in use.
    pub rate: f64,
    pub load: f64,
    rounds: u32,
}

impl Fleet {
    /// Nodes in `zones` failure domains of two regions, which know each other's records.
    pub fn start(size: usize, zones: usize) -> Self {
        let clock = ManualClock::new();
        clock.advance(Duration::from_secs(1_000));
        let members = (0..size).map(|index| Member::start(index, zones, &clock)).collect();
        let (stopped, cut) = (HashSet::new(), HashSet::new());
        let fleet = Self { clock, members, zones, stopped, cut, rate: 8.0, load: 0.4, rounds: 0 };
        let records: Vec<Record> = fleet.members.iter().map(own_record).collect();
        for member in &fleet.members {
            learn(member, &records);
        }
        fleet
    }

    /// Replaces a node by a new process that knows only the records.
    pub fn restart(&mut self, index: usize) {
        let records: Vec<Record> = self.members.iter().map(own_record).collect();
        self.restart_empty(index);
        learn(&self.members[index], &records);
    }

    /// Replaces a node by a new process that knows nothing.
    pub fn restart_empty(&mut self, index: usize) {
        self.members[index] = Member::start(index, self.zones, &self.clock);
        self.stopped.remove(&index);
    }

    /// Index of the first node of a failure domain, which is its delegate.
    pub fn delegate(&self, zone: usize) -> usize {
        (0..self.members.len()).filter(|index| index % self.zones == zone).min().unwrap()
    }

    /// Runs rounds of exchanges at all nodes, spread over the time between two rounds.
    pub fn run(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.rounds += 1;
            let size = self.members.len();
            for index in 0..size {
                self.clock.advance(ROUND / size as u32);
                if !self.stopped.contains(&index) {
                    self.exchange(index);
                }
            }
        }
    }

    /// The next request of a node to another one that it has exchanged with before.
    pub fn request(&mut self, from: usize, to: usize) -> Vec<u8> {
        let target = own_record(&self.members[to]);
        let exchanger = &mut self.members[from].exchanger;
        exchanger.begin_round();
        exchanger.request(&target).unwrap()
    }

    /// Sets all counts to zero.
    pub fn clear_counts(&mut self) {
        for member in &mut self.members {
            (member.bytes, member.messages) = (0, 0);
        }
    }

    /// Bytes and messages a second of the middle and of the busiest node, since the counts were set to zero `rounds`
    /// rounds ago.
    pub fn traffic(&self, rounds: u32) -> Traffic {
        let seconds = f64::from(rounds) * ROUND.as_secs_f64();
        let rates = |count: fn(&Member) -> usize| {
            let mut counts: Vec<usize> = self.members.iter().map(count).collect();
            counts.sort_unstable();
            let rate = |count: usize| count as f64 / seconds;
            (rate(counts[counts.len() / 2]), rate(counts[counts.len() - 1]))
        };
        let (middle, busiest) = rates(|member| member.bytes);
        let (_, messages) = rates(|member| member.messages);
        Traffic { middle, busiest, messages }
    }

    fn exchange(&mut self, index: usize) {
        let used = self.serve(index);
        let mut targets = self.members[index].exchanger.begin_round();
        let mut left = MAX_EXCHANGES;
        while let Some(target) = targets.pop() {
            left -= 1;
            assert!(left > 0, "a round that doesn't end at {}", self.members[index].name());
            let request = self.members[index].exchanger.request(&target).unwrap();
            let answer = self.deliver(index, &target, &request);
            let answer = answer.as_deref().ok_or("no answer in time");
            if self.members[index].exchanger.complete(&target, answer) == Exchanged::Again {
                targets.push(target);
            }
        }
        self.members[index].exchanger.end_round();
        for _ in 0..used {
            self.members[index].shared.limiter.release_unused(self.clock.now());
        }
    }

    /// Sends a request and returns the answer.
    fn deliver(&mut self, from: usize, target: &Record, request: &[u8]) -> Option<Vec<u8>> {
        let to = self.members.iter().position(|member| member.name() == target.node)?;
        self.count(from, request.len());
        if self.cut.contains(&(from, to)) || self.stopped.contains(&to) {
            return None;
        }
        self.count(to, request.len());
        let answer = exchange::answer(&self.members[to].shared, request)?;
        self.count(to, answer.len());
        if self.cut.contains(&(to, from)) {
            return None;
        }
        self.count(from, answer.len());
        Some(answer)
    }

    fn count(&mut self, index: usize, bytes: usize) {
        self.members[index].bytes += bytes;
        self.members[index].messages += 1;
    }

    /// Counts the requests of a round at a node, and takes slots for those that run. Returns the number of slots.
    fn serve(&self, index: usize) -> u32 {
        let now = self.clock.now();
        let shared = &self.members[index].shared;
        let mut traffic = lock(&shared.traffic);
        for (number, (route, service)) in ROUTES.iter().enumerate() {
            let route: Arc<str> = (*route).into();
            let requests = self.rate * ROUND.as_secs_f64();
            for number in (0..requests as u32).rev() {
                let at = now - ROUND.mul_f64((f64::from(number) + 0.5) / requests);
                traffic.record_arrival(&route, at);
                traffic.try_admit(&route, None, Duration::from_secs(1), at);
            }
            if **service == *shared.settings.service {
                for _ in 0..requests as usize * ROUTES.len() {
                    traffic.record_use(&route, HELD + Duration::from_millis(number as u64), now);
                }
            }
        }
        drop(traffic);
        // The slots in use vary as they do with requests that arrive at random.
        let noise = f64::from((self.rounds * 7 + index as u32 * 13) % 11) / 10.0 - 0.5;
        let wanted = (f64::from(SLOTS) * self.load * (1.0 + noise * 0.4)) as u32;
        (0..wanted).filter(|_| acquire(shared, &self.clock)).count() as u32
    }
}

/// Bytes and messages a second.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    pub middle: f64,
    pub busiest: f64,
    pub messages: f64,
}

fn acquire(shared: &Shared<Unreached>, clock: &ManualClock) -> bool {
    let now = clock.now();
    let request = SlotRequest {
        priority: 0,
        target_time: now + HELD,
        deadline: now + HELD,
        max_wait: Duration::ZERO,
    };
    matches!(shared.limiter.acquire(request, now), Acquire::Run)
}

fn own_record(member: &Member) -> Record {
    lock(&member.shared.members).own().unwrap().record.clone()
}

fn learn(member: &Member, records: &[Record]) {
    for record in records {
        let update = MemberUpdate {
            node: record.node.clone(),
            incarnation: record.incarnation,
            record: Some(record.clone()),
            measurements: None,
        };
        lock(&member.shared.members).merge(update, None, member.shared.now());
    }
}

fn settings(index: usize, zones: usize) -> NodeSettings {
    let zone = index % zones;
    let address = format!("10.0.{}.{}:8300", index / 250, index % 250 + 1).parse().unwrap();
    let (_, service) = ROUTES[index / zones % ROUTES.len()];
    NodeSettings {
        node: format!("sidecar-{zone}-{index:04}").as_str().into(),
        zone: format!("zone-{zone}").as_str().into(),
        region: format!("region-{}", zone % 2).as_str().into(),
        service: service.into(),
        upstream: address,
        listen: Listen {
            callers: address,
            peers: address,
            advertised: address,
            readiness: address,
            announcements: address,
            metrics: None,
        },
        heartbeat_interval: Duration::from_millis(1_500),
        drain_time: Duration::from_millis(1_500),
        stop_timeout: Duration::from_secs(6),
        cores: 1,
        memory_bytes: None,
        descriptors: None,
        quota: QuotaBounds::default(),
        retries: None,
        revocation: Revocation::default(),
    }
}
