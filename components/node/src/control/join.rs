//! Discovery of other nodes: by seed addresses, and by the records that nodes append to the log.

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

/// Nodes contacted at the start.
const MAX_CONTACTS: usize = 5;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const SEED_INTERVAL: Duration = Duration::from_secs(10);

/// Record that a node appends to the log when it starts and when it leaves.
#[derive(Debug, Serialize, Deserialize)]
struct NodeRecord {
    node: NodeId,
    incarnation: Incarnation,
    control: SocketAddr,
    left: bool,
}

/// Pulls the membership from a few nodes, and appends a record of this one to the log.
pub async fn join<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let mut contacts = control.shared.settings.seeds.clone();
    contacts.extend(logged_addresses(control).await);
    let own = lock(&control.shared.members).own().control_address;
    contacts.retain(|address| *address != own);
    contacts.dedup();
    contact(control, &contacts).await;
    let control = control.clone();
    tokio::task::spawn_local(async move { append_record(&control).await });
}

/// Contacts a seed periodically, so that partitions whose members removed each other merge again; more often while no
/// other node is known.
pub async fn contact_seeds<C: Clock, L: Log>(control: Rc<Control<C, L>>) {
    let own = lock(&control.shared.members).own().control_address;
    loop {
        let alone =
            lock(&control.shared.members).all().filter(|member| member.is_present()).count() < 2;
        tokio::time::sleep(if alone { SEED_INTERVAL / 20 } else { SEED_INTERVAL }).await;
        let seeds: Vec<SocketAddr> =
            control.shared.settings.seeds.iter().copied().filter(|seed| *seed != own).collect();
        let seed = seeds.choose(&mut *control.random.borrow_mut()).copied();
        if let Some(seed) = seed {
            let message = gossip::next_message(&control, None);
            if let Ok(answer) = gossip::send(&control, seed, &message, CALL_TIMEOUT).await {
                gossip::handle_answer(&control, seed, answer).await;
            }
        }
    }
}

async fn contact<C: Clock, L: Log>(control: &Rc<Control<C, L>>, contacts: &[SocketAddr]) {
    let mut contacted = 0;
    for address in contacts {
        let Ok(members) = exchange::pull(control, *address, None).await else { continue };
        gossip::merge_all(control, members);
        let message = gossip::next_message(control, None);
        if let Ok(answer) = gossip::send(control, *address, &message, CALL_TIMEOUT).await {
            gossip::handle_answer(control, *address, answer).await;
        }
        contacted += 1;
        if contacted == MAX_CONTACTS {
            return;
        }
    }
}

/// Control addresses of nodes with a record in the log that have not left.
async fn logged_addresses<C: Clock, L: Log>(control: &Rc<Control<C, L>>) -> Vec<SocketAddr> {
    let Some(source) = &control.shared.settings.log else { return Vec::new() };
    let mut records: HashMap<NodeId, NodeRecord> = HashMap::new();
    let mut from = Offset(0);
    loop {
        let read = control.log.read(&source.members, from, Duration::ZERO);
        let Ok(Ok(batch)) = tokio::time::timeout(CALL_TIMEOUT, read).await else { break };
        let Some(last) = batch.entries.last() else { break };
        from = Offset(last.offset.0 + 1);
        for record in batch
            .entries
            .iter()
            .filter_map(|entry| serde_json::from_str::<NodeRecord>(&entry.text).ok())
        {
            records.insert(record.node.clone(), record);
        }
    }
    records.into_values().filter(|record| !record.left).map(|record| record.control).collect()
}

/// Appends a record of this node to the log.
pub async fn append_record<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let Some(source) = &control.shared.settings.log else { return };
    let record = {
        let table = lock(&control.shared.members);
        let own = table.own();
        let left = own.status == Status::Left;
        NodeRecord {
            node: own.node.clone(),
            incarnation: own.incarnation,
            control: own.control_address,
            left,
        }
    };
    if let Ok(text) = serde_json::to_string(&record) {
        // Without the record the node can still be found through the seeds.
        let _ = control.log.append(&source.members, text).await;
    }
}
