//! What nodes tell each other: records, measurements, suspects, and the configuration to those that lack it.
//!
//! Each node exchanges what has changed with the delegate of its failure domain; delegates exchange with each other.
//! Everybody works out the delegate from what it knows, so two nodes that differ only send a few messages more.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use quarantine::{Death, Fingerprint, Told};
use serde::{Deserialize, Serialize};
use units::NodeId;

use super::events::Event;
use super::plan;
use super::shared::{Shared, lock};
use crate::decide::members::{Member, Record};
use crate::platform::Platform;
use crate::request::peer::LINK_FRESH;

/// Path of an exchange.
pub const PATH: &str = "/almondknot/exchange";

/// Time between two exchanges.
const EVERY: Duration = Duration::from_millis(500);
/// Least time between two exchanges after urgent news, so that news that comes in clumps goes together.
const GATHER: Duration = Duration::from_millis(40);
/// Exchanges after which one goes to a node picked at random, so that parts that lost each other meet again.
const STRAY: u64 = 10;
/// Longest time for one exchange.
const PATIENCE: Duration = Duration::from_millis(700);
/// Time over the planned pause that shows that the process stood still.
const STOOD: Duration = Duration::from_millis(1_500);
const ANSWER_LARGEST: usize = 32 << 20;
/// Time for which an unused connection to the upstream is kept at the most.
const LANES_KEPT: Duration = Duration::from_secs(6);
/// Suspects that one message carries.
const MOST_TOLD: usize = 256;

/// A suspect on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Suspect {
    print: u64,
    node: NodeId,
    epoch: u64,
}

/// One side's part of an exchange.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    from: Arc<str>,
    life: u64,
    /// Revision of the sender's table that this brings its reader to.
    revision: u64,
    /// Life of the reader, and revision of its table, that the sender has seen.
    seen: (u64, u64),
    version: u64,
    members: Vec<Member>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    suspects: Vec<Suspect>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    configuration: Option<String>,
}

/// What is known of another node's knowledge.
#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    life: u64,
    /// Revision of its table that this node has seen.
    seen: u64,
    /// Revision of this node's table that it has.
    sent: u64,
    version: u64,
}

type Cursors = HashMap<Arc<str>, Cursor>;

/// Exchanges with others for ever.
pub async fn keep<P: Platform>(shared: Arc<Shared<P>>) {
    let mut cursors = Cursors::new();
    let mut round = 0;
    let mut last = shared.now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(EVERY) => {}
            () = shared.urgent.notified() => tokio::time::sleep(GATHER).await,
        }
        let now = shared.now();
        woke(&shared, now.saturating_duration_since(last));
        last = now;
        round += 1;
        measure(&shared, now);
        for target in targets(&shared, round, now) {
            one(&shared, &mut cursors, &target).await;
        }
        last = last.max(shared.now().checked_sub(EVERY).unwrap_or(last));
        replan(&shared);
    }
}

/// Answers another node's part of an exchange; none if it can't be read.
pub fn answer<P: Platform>(shared: &Arc<Shared<P>>, body: &[u8]) -> Option<Vec<u8>> {
    let message: Message = serde_json::from_slice(body).ok()?;
    let (reader, seen) = (message.from.clone(), message.seen);
    let lacks = message.version;
    let cursor = {
        let table = lock(&shared.table);
        let life = table.own().map_or(0, |own| own.record.life);
        let sent = if seen.0 == life { seen.1 } else { 0 };
        Cursor { sent, version: lacks, seen: message.revision, life: message.life }
    };
    let before = shared.version();
    absorb(shared, message);
    shared.oriented.store(true, Ordering::Relaxed);
    if lacks < before {
        // The asker gets the configuration with this answer.
    } else if lacks > shared.version() {
        shared.urgent.notify_one();
    }
    serde_json::to_vec(&compose(shared, &reader, cursor)).ok()
}

async fn one<P: Platform>(shared: &Arc<Shared<P>>, cursors: &mut Cursors, target: &Record) {
    let cursor = cursors.entry(target.node.clone()).or_default();
    if cursor.life != target.life {
        *cursor = Cursor { life: target.life, ..Cursor::default() };
    }
    let message = compose(shared, &target.node, *cursor);
    let revision = message.revision;
    let Ok(body) = serde_json::to_vec(&message) else { return };
    let sent = tokio::time::timeout(PATIENCE, send(shared, target, body)).await;
    let now = shared.now();
    let answer = match sent.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
        Ok(answer) => answer,
        Err(why) => {
            shared.metrics.exchanges.inc();
            shared.peer(&target.node, |peer| peer.failed(now));
            shared.tell(&Event::PeerLost { peer: &target.node, why: &why });
            return;
        }
    };
    shared.peer(&target.node, |peer| peer.answered());
    shared.oriented.store(true, Ordering::Relaxed);
    let known = answer.version;
    *cursor =
        Cursor { life: answer.life, seen: answer.revision, sent: revision, version: known };
    absorb(shared, answer);
    if known < shared.version() {
        shared.urgent.notify_one();
    }
}

async fn send<P: Platform>(
    shared: &Arc<Shared<P>>,
    target: &Record,
    body: Vec<u8>,
) -> Result<Message, String> {
    let request = Request::post(PATH)
        .header(http::header::HOST, target.address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|err| err.to_string())?;
    let now = shared.now();
    let sent = shared.links.send(target.address, request, LINK_FRESH, now).await;
    let (response, lane) = sent.map_err(|err| err.to_string())?;
    let whole = Limited::new(response.into_body(), ANSWER_LARGEST).collect().await;
    let bytes = whole.map_err(|err| err.to_string())?.to_bytes();
    lane.give_back(shared.now());
    serde_json::from_slice(&bytes).map_err(|err| err.to_string())
}

fn compose<P: Platform>(shared: &Shared<P>, reader: &Arc<str>, cursor: Cursor) -> Message {
    let active = shared.active();
    let version = active.as_ref().map_or(0, |active| active.version);
    // A reader whose version was never heard gets it when it has said that it lacks it.
    let lacks = cursor.seen > 0 && cursor.version < version;
    let source = active.filter(|_| lacks).map(|active| active.source.clone());
    let table = lock(&shared.table);
    let told = lock(&shared.told);
    let recent = told.iter().rev().take(MOST_TOLD);
    Message {
        from: shared.place.node.clone(),
        life: table.own().map_or(0, |own| own.record.life),
        revision: table.revision(),
        seen: (cursor.life, cursor.seen),
        version,
        members: table.since(cursor.sent, reader),
        suspects: recent.filter_map(suspect).collect(),
        configuration: source.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok()),
    }
}

fn suspect(told: &Told) -> Option<Suspect> {
    let death = told.death.as_ref()?;
    Some(Suspect { print: told.fingerprint.0, node: death.node.clone(), epoch: death.epoch })
}

fn absorb<P: Platform>(shared: &Shared<P>, message: Message) {
    let now = shared.now();
    let source = message.from;
    for member in message.members {
        let record = member.record.clone();
        let load = (member.pulse.beat > 0).then(|| member.pulse.load());
        let news = lock(&shared.table).merge(member, Some(&source), now);
        if let Some(load) = load {
            shared.peer(&record.node, |peer| peer.heard(load, now));
        }
        shared.noted(news, &record, &source);
    }
    for suspect in message.suspects {
        learn(shared, suspect, now);
    }
    if let Some(configuration) = message.configuration {
        shared.take_configuration(configuration.as_bytes(), &source);
    }
}

fn learn<P: Platform>(shared: &Shared<P>, suspect: Suspect, now: Instant) {
    let death = Death { node: suspect.node, epoch: suspect.epoch };
    let told = Told {
        fingerprint: Fingerprint(suspect.print),
        death: Some(death),
        call: String::new(),
    };
    let mut all = lock(&shared.told);
    if !all.contains(&told) {
        lock(&shared.suspects).merge(&told, now);
        all.push(told);
        shared.urgent.notify_one();
    }
}

/// Notes a time in which the process did not run: what is known is older than it looks.
fn woke<P: Platform>(shared: &Shared<P>, passed: Duration) {
    let Some(stood) = passed.checked_sub(EVERY + STOOD) else { return };
    lock(&shared.table).woke(shared.now());
    shared.tell(&Event::Woke { stood_ms: stood.as_millis() as u64 });
}

fn measure<P: Platform>(shared: &Shared<P>, now: Instant) {
    let pulse = lock(&shared.plan).pulse(shared.gate.load(), now);
    let mut table = lock(&shared.table);
    table.pulse(pulse, now);
    table.sweep(now);
    drop(table);
    shared.lanes.sweep(LANES_KEPT, now);
    shared.links.sweep(LINK_FRESH, now);
}

/// Works the shares out anew.
fn replan<P: Platform>(shared: &Shared<P>) {
    let demand = plan::demand(lock(&shared.table).all(shared.now()));
    let ranks = shared.ranks();
    let mut own = lock(&shared.plan);
    let before = plan::describe(&own.admission, &ranks);
    own.admission.plan(&demand, &ranks);
    let shares = plan::describe(&own.admission, &ranks);
    drop(own);
    if before != shares {
        shared.tell(&Event::PlanChanged { shares, version: shared.version() });
    }
}

/// The nodes to exchange with in this round.
fn targets<P: Platform>(shared: &Shared<P>, round: u64, now: Instant) -> Vec<Record> {
    let table = lock(&shared.table);
    let mut delegates: HashMap<Arc<str>, Record> = HashMap::new();
    let mut others = Vec::new();
    {
        let peers = lock(&shared.peers);
        for (member, silent) in table.all(now) {
            let record = &member.record;
            let rests = peers.get(&record.node).is_some_and(|peer| peer.rests(now));
            if record.node != shared.place.node {
                others.push(record.clone());
            }
            if silent || rests {
                continue;
            }
            let least = delegates.get(&record.zone);
            if least.is_none_or(|known| record.node < known.node) {
                delegates.insert(record.zone.clone(), record.clone());
            }
        }
    }
    let own = &shared.place;
    let is_own = delegates.get(&own.zone).is_some_and(|delegate| delegate.node == own.node);
    let mut targets: Vec<Record> = if is_own {
        delegates.into_values().filter(|delegate| delegate.node != own.node).collect()
    } else {
        delegates.remove(&own.zone).into_iter().collect()
    };
    if (round.is_multiple_of(STRAY) || targets.is_empty()) && !others.is_empty() {
        targets.push(others.swap_remove(rand::random_range(0..others.len())));
    }
    targets
}
