//! Gossip between nodes: node records, loads, sums of measurements, crash suspects, and the configuration for nodes that
//! lack it.
//!
//! Each node reports what it measured to the delegate of its failure domain, which sums the reports and exchanges with
//! the delegate of the region; delegates of regions exchange with each other in every second round. What travels further
//! than a failure domain are changed records, loads that have changed enough, and sums, so that a node's traffic hardly
//! depends on the number of nodes. Each failure domain reads the configuration from the store by itself, so that it is
//! sent to another one only if that one is late. Each node derives the delegates from its own view, so differing views
//! cost only a few additional messages.

mod message;
pub mod restarted;
pub mod targets;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bounds::RequestBody;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Limited};

use super::events::Event;
use super::locality;
use super::quotas;
use super::settings::NodeSettings;
use super::shared::{Shared, lock};
use super::suspects;
use super::traffic;
use super::upstream::Moment;
use crate::decide::aggregate::{self, Delegate, Reporter};
use crate::decide::demand::Demand;
use crate::decide::members::Record;
use crate::platform::Platform;
use crate::request::peer::PEER_MAX_IDLE;
pub use message::answer;
use message::{Cursor, Message};
use targets::View;

/// Path of an exchange between nodes.
pub const PATH: &str = "/almondknot/exchange";

/// Time between two regular exchanges.
const INTERVAL: Duration = Duration::from_millis(500);
/// Delay of an exchange that an urgent change triggers, so that changes in quick succession are sent together.
const URGENT_DELAY: Duration = Duration::from_millis(40);
/// Age of a sum from which its delegate computes it anew for an answer.
const SUM_AGE: Duration = Duration::from_millis(100);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay beyond the exchange interval that shows that the process was suspended.
const MIN_SUSPENSION: Duration = Duration::from_millis(1_500);
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Idle time after which a connection to the upstream is closed.
const UPSTREAM_MAX_IDLE: Duration = Duration::from_secs(6);

/// Runs exchanges until the task is aborted.
pub async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut exchanger = Exchanger::new(shared.clone());
    loop {
        tokio::select! {
            () = tokio::time::sleep(INTERVAL) => {}
            () = shared.exchange_now.notified() => tokio::time::sleep(URGENT_DELAY).await,
        }
        let mut targets = exchanger.begin_round();
        while !targets.is_empty() {
            let requests = targets.iter().map(|target| exchanger.request(target));
            let requests: Vec<_> = requests.collect();
            let sends = targets.iter().zip(requests).map(async |(target, request)| {
                let sent = send(&shared, target, request?);
                let sent = tokio::time::timeout(EXCHANGE_TIMEOUT, sent).await;
                sent.unwrap_or_else(|_| Err("no answer in time".to_owned()))
            });
            let answers = futures_util::future::join_all(sends).await;
            // A partner that lacks records, as after a restart, is sent them at once.
            targets = targets
                .into_iter()
                .zip(answers)
                .filter(|(target, answer)| {
                    let answer = answer.as_ref().map(|answer| &answer[..]);
                    exchanger.complete(target, answer.map_err(String::as_str)) == Exchanged::Again
                })
                .map(|(target, _)| target)
                .collect();
        }
        exchanger.end_round();
    }
}

/// Exchanges started by this node, without their transport.
pub struct Exchanger<P: Platform> {
    shared: Arc<Shared<P>>,
    cursors: HashMap<Arc<str>, Cursor>,
    /// What was sent to each partner that has not answered yet.
    sent: HashMap<Arc<str>, Sent>,
    /// Partners that were asked again in this round.
    repeated: HashSet<Arc<str>>,
    round: u64,
    /// End of the last round.
    last: Instant,
    reader: Option<Record>,
}

/// What a request offered.
#[derive(Debug, Clone, Copy)]
struct Sent {
    table_revision: u64,
    configuration: bool,
    at: Moment,
}

impl<P: Platform> Exchanger<P> {
    /// No exchanges so far.
    pub fn new(shared: Arc<Shared<P>>) -> Self {
        let last = shared.now();
        Self {
            shared,
            cursors: HashMap::new(),
            sent: HashMap::new(),
            repeated: HashSet::new(),
            round: 0,
            last,
            reader: None,
        }
    }

    /// Updates this node's measurements, and returns the nodes to exchange with.
    pub fn begin_round(&mut self) -> Vec<Record> {
        let shared = &self.shared;
        let now = shared.now();
        detect_suspension(shared, now.saturating_duration_since(self.last));
        self.round += 1;
        refresh(shared, now);
        self.sent.clear();
        self.repeated.clear();
        let Some(view) = View::new(shared, now) else { return Vec::new() };
        lock(&shared.aggregates).duties = view.duties();
        quotas::update(shared, view.quota_leaders(), now);
        sum_domain(shared, now);
        sum_region(shared, now);
        self.reader = targets::reader(shared, now);
        targets::choose(shared, &view, self.round, now)
    }

    /// The request to a partner.
    pub fn request(&mut self, target: &Record) -> Result<Vec<u8>, String> {
        let cursor = self.cursors.entry(target.node.clone()).or_default();
        // A restart that the partner itself has told of is later than what `target` says.
        if cursor.incarnation < target.incarnation {
            *cursor = Cursor { incarnation: target.incarnation, ..Cursor::default() };
        }
        let message = message::build(&self.shared, target.into(), cursor);
        let configuration = message.configuration.is_some();
        let at = self.shared.moment();
        let sent = Sent { table_revision: message.table_revision, configuration, at };
        self.sent.insert(target.node.clone(), sent);
        serde_json::to_vec(&message).map_err(|err| err.to_string())
    }

    /// Takes note of a partner's answer, or of why there is none.
    pub fn complete(&mut self, target: &Record, answer: Result<&[u8], &str>) -> Exchanged {
        let exchanged = self.apply_answer(target, answer);
        if self.reader.as_ref().is_some_and(|reader| reader.node == target.node) {
            self.shared.follow.exchanged_with_reader(exchanged != Exchanged::Failed);
        }
        exchanged
    }

    fn apply_answer(&mut self, target: &Record, answer: Result<&[u8], &str>) -> Exchanged {
        let shared = &self.shared;
        let now = shared.now();
        let decoded = answer.map_err(ToOwned::to_owned).and_then(|bytes| {
            serde_json::from_slice::<Message>(bytes).map_err(|err| err.to_string())
        });
        let answer = match decoded {
            Ok(answer) => answer,
            Err(reason) => {
                shared.metrics.failed_exchanges.inc();
                shared.with_peer(&target.node, |peer| peer.record_failure(now));
                shared.log(&Event::PeerLost { peer: &target.node, reason: &reason });
                return Exchanged::Failed;
            }
        };
        shared.with_peer(&target.node, |peer| peer.record_answer(now));
        let before = self.cursors.get(&target.node).cloned().unwrap_or_default();
        let sent = self.sent.remove(&target.node);
        let offered = sent.is_some_and(|sent| sent.configuration);
        let told = sent.map_or(0, |sent| sent.table_revision);
        shared.kept.record_told(told, target.zone == shared.settings.zone);
        let restarted = before.sent > 0 && before.incarnation != answer.incarnation;
        let (version, digests) = (answer.version, answer.digests.clone());
        let confirmed = answer.confirmed_ms;
        let mut cursor = Cursor {
            incarnation: answer.incarnation,
            seen: answer.table_revision,
            sent: told,
            version,
            revision: answer.revision,
            known: answer.known.clone(),
            buckets: None,
        };
        message::apply(shared, answer);
        shared.compared_version(version);
        if let (Some(age), Some(sent)) = (confirmed, sent) {
            apply_confirmation(shared, age, version, sent.at);
        }
        let unequal = digests.map(|digests| lock(&shared.members).unequal_buckets(&digests));
        cursor.buckets = unequal.filter(|buckets| !buckets.is_empty() && !restarted);
        let incomplete = restarted || cursor.buckets.is_some();
        if incomplete {
            cursor.sent = 0;
        }
        let late = message::is_late(shared, target.into(), &cursor);
        self.cursors.insert(target.node.clone(), cursor);
        // A node that was offered the newer configuration and still has an older one has rejected it.
        if !offered && late {
            shared.exchange_again(target);
        }
        let again = incomplete && self.repeated.insert(target.node.clone());
        if again { Exchanged::Again } else { Exchanged::Complete }
    }

    /// Plans with what the round has told.
    pub fn end_round(&mut self) {
        update_shares(&self.shared);
        self.shared.follow.exchanged();
        self.last = self.shared.now();
    }
}

/// Outcome of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exchanged {
    /// Both sides know all changes.
    Complete,
    /// The other node lacks what it was not sent; another exchange is needed.
    Again,
    /// No answer.
    Failed,
}

async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Record,
    body: Vec<u8>,
) -> Result<Bytes, String> {
    let request = Request::post(PATH)
        .header(http::header::HOST, target.address.to_string())
        .body(RequestBody::from(body))
        .map_err(|err| err.to_string())?;
    let now = shared.now();
    let sent = shared.peer_pool.send(target.address, request, PEER_MAX_IDLE, now).await;
    let (response, connection) = sent.map_err(|err| err.to_string())?;
    let collected = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let bytes = collected.map_err(|err| err.to_string())?.to_bytes();
    connection.release(shared.now());
    Ok(bytes)
}

/// Takes over the age of a confirmation that another node with this version told when it was asked at `asked`.
fn apply_confirmation<P: Platform>(shared: &Shared<P>, age_ms: u64, version: u64, asked: Moment) {
    if version <= shared.version() {
        let age = Duration::from_millis(age_ms);
        lock(&shared.confirmation).relayed(age, asked, shared.moment());
    }
}

/// Detects that the process was suspended, so that other nodes are not taken for silent because of it.
fn detect_suspension<P: Platform>(shared: &Shared<P>, elapsed: Duration) {
    let Some(suspended) = elapsed.checked_sub(INTERVAL + MIN_SUSPENSION) else { return };
    lock(&shared.members).refresh_all(shared.now());
    shared.log(&Event::Resumed { stalled_ms: suspended.as_millis() as u64 });
}

/// Updates this node's measurements, and drops members, suspects and connections that have expired.
fn refresh<P: Platform>(shared: &Shared<P>, now: Instant) {
    let mut measurements = lock(&shared.traffic).measurements(shared.limiter.load(now), now);
    measurements.store_lost = shared.follow.is_store_lost();
    let mut table = lock(&shared.members);
    table.set_measurements(&measurements, now);
    table.sweep(now);
    let incarnation = table.own().map_or(0, |own| own.record.incarnation);
    drop(table);
    let mut aggregates = lock(&shared.aggregates);
    aggregates.record_report(&shared.settings.node, incarnation, measurements, now);
    aggregates.sweep(now);
    drop(aggregates);
    lock(&shared.suspects).tick(now);
    suspects::save_changes(shared);
    shared.upstream_pool.close_expired(UPSTREAM_MAX_IDLE, now);
    shared.peer_pool.close_expired(PEER_MAX_IDLE, now);
}

/// Sums the reports of this failure domain, if this node is its delegate.
fn sum_domain<P: Platform>(shared: &Shared<P>, now: Instant) {
    let zone = &shared.settings.zone;
    let table = lock(&shared.members);
    let mut aggregates = lock(&shared.aggregates);
    let Some(own) = table.own().filter(|_| aggregates.duties.domain) else { return };
    let delegate = delegate(&own.record);
    let members = table.of_domain(zone, aggregate::REPORT_MAX_AGE, now);
    let members = members.map(|(member, silent)| Reporter { member, silent });
    aggregates.sum_domain(zone, &delegate, members, now);
}

/// Merges the sums of this region's failure domains, if this node is its delegate.
fn sum_region<P: Platform>(shared: &Shared<P>, now: Instant) {
    let region = &shared.settings.region;
    let table = lock(&shared.members);
    let mut aggregates = lock(&shared.aggregates);
    let Some(own) = table.own().filter(|_| aggregates.duties.region) else { return };
    let delegate = delegate(&own.record);
    // The own failure domain knows earlier which of its nodes are silent.
    let mut silent = aggregates.domains.silent(&shared.settings.zone);
    let mut present = BTreeSet::new();
    for (member, is_silent) in table.all(now) {
        let record = &member.record;
        if record.region != *region {
            continue;
        }
        if !is_silent {
            present.insert(record.zone.clone());
        } else if !silent.contains(&record.node) {
            silent.push(record.node.clone());
        }
    }
    aggregates.sum_region(region, &delegate, (present, silent), now);
}

fn delegate(own: &Record) -> Delegate {
    Delegate { node: own.node.clone(), incarnation: own.incarnation }
}

/// Computes the sums of this node anew for an answer, if they are not of just now.
fn refresh_sums<P: Platform>(shared: &Shared<P>, now: Instant) {
    let (domain_age, region_age) = {
        let aggregates = lock(&shared.aggregates);
        let NodeSettings { zone, region, .. } = &shared.settings;
        (aggregates.domains.age(zone, now), aggregates.regions.age(region, now))
    };
    let is_old = |age: Option<Duration>| age.is_some_and(|age| age >= SUM_AGE);
    if is_old(domain_age) {
        sum_domain(shared, now);
    }
    if is_old(region_age) {
        sum_region(shared, now);
    }
}

/// Demand of all regions.
pub fn demand<P: Platform>(shared: &Shared<P>) -> Demand {
    lock(&shared.aggregates).regions.demand(shared.now())
}

/// Recomputes the admission shares.
fn update_shares<P: Platform>(shared: &Shared<P>) {
    let demand = demand(shared);
    let nodes = lock(&shared.members).all(shared.now()).count();
    lock(&shared.budgets).set_nodes(nodes);
    let priorities = shared.priorities();
    let mut traffic = lock(&shared.traffic);
    let before = traffic::format_shares(&traffic.admission, &priorities);
    traffic.plan(&demand, &priorities, shared.now());
    let shares = traffic::format_shares(&traffic.admission, &priorities);
    drop(traffic);
    locality::update(shared, &demand);
    if before != shares {
        let loads = traffic::format_loads(&demand);
        shared.log(&Event::PlanChanged { shares, loads, version: shared.version() });
    }
}
