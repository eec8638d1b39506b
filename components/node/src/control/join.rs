//! Finding the other nodes: through seed addresses, and through the records that nodes leave in the log.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use journal::Log;
use membership::Status;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use units::{Clock, Incarnation, NodeId, Offset};

use super::{Control, exchange, gossip};
use crate::process::shards::lock;

/// Nodes asked at the start.
const CONTACTS: usize = 5;
const LOG_TIMEOUT: Duration = Duration::from_secs(1);
const KEEP_IN_TOUCH: Duration = Duration::from_secs(10);

/// What a node leaves in the log when it starts and when it stops.
#[derive(Debug, Serialize, Deserialize)]
struct Sign {
    node: NodeId,
    incarnation: Incarnation,
    control: SocketAddr,
    left: bool,
}

/// Asks a few nodes for their records, and leaves a record of this one.
pub async fn once<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let mut contacts = control.shared.settings.seeds.clone();
    contacts.extend(from_log(control).await);
    let own = lock(&control.shared.table).own().control;
    contacts.retain(|address| *address != own);
    contacts.dedup();
    meet(control, &contacts).await;
    let control = control.clone();
    tokio::task::spawn_local(async move { record(&control).await });
}

/// Asks a seed now and then, so that parts that have forgotten each other meet again.
pub async fn keep_in_touch<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    let own = lock(&control.shared.table).own().control;
    loop {
        let alone =
            lock(&control.shared.table).all().filter(|member| member.is_present()).count() < 2;
        tokio::time::sleep(if alone { KEEP_IN_TOUCH / 20 } else { KEEP_IN_TOUCH }).await;
        let seeds: Vec<SocketAddr> =
            control.shared.settings.seeds.iter().copied().filter(|seed| *seed != own).collect();
        let seed = seeds.choose(&mut *control.random.borrow_mut()).copied();
        if let Some(seed) = seed {
            let told = gossip::telling(&control, None);
            if let Ok(answer) = gossip::tell(&control, seed, &told, LOG_TIMEOUT).await {
                gossip::heard(&control, seed, answer).await;
            }
        }
    }
}

async fn meet<C: Clock, L: Log>(control: &Rc<Control<C, L>>, contacts: &[SocketAddr]) {
    let mut met = 0;
    for address in contacts {
        let Ok(members) = exchange::pull(control, *address, None).await else { continue };
        gossip::absorb(control, members);
        let told = gossip::telling(control, None);
        if let Ok(answer) = gossip::tell(control, *address, &told, LOG_TIMEOUT).await {
            gossip::heard(control, *address, answer).await;
        }
        met += 1;
        if met == CONTACTS {
            return;
        }
    }
}

/// Control addresses of nodes that left a record and did not say that they leave.
async fn from_log<C: Clock, L: Log>(control: &Rc<Control<C, L>>) -> Vec<SocketAddr> {
    let Some(source) = &control.shared.settings.log else { return Vec::new() };
    let mut signs: HashMap<NodeId, Sign> = HashMap::new();
    let mut from = Offset(0);
    loop {
        let read = control.log.read(&source.members, from, Duration::ZERO);
        let Ok(Ok(batch)) = tokio::time::timeout(LOG_TIMEOUT, read).await else { break };
        let Some(last) = batch.entries.last() else { break };
        from = Offset(last.offset.0 + 1);
        for sign in
            batch.entries.iter().filter_map(|entry| serde_json::from_str::<Sign>(&entry.text).ok())
        {
            signs.insert(sign.node.clone(), sign);
        }
    }
    signs.into_values().filter(|sign| !sign.left).map(|sign| sign.control).collect()
}

/// Leaves a record of this node.
pub async fn record<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let Some(source) = &control.shared.settings.log else { return };
    let sign = {
        let table = lock(&control.shared.table);
        let own = table.own();
        let left = own.status == Status::Left;
        Sign { node: own.node.clone(), incarnation: own.incarnation, control: own.control, left }
    };
    if let Ok(text) = serde_json::to_string(&sign) {
        // Without the record the node is still found by its seeds.
        let _ = control.log.append(&source.members, text).await;
    }
}
