//! Distribution of updates on suspects: requests suspected of crashing upstreams.

use std::rc::Rc;

use journal::Log;
use quarantine::SuspectUpdate;
use tokio::sync::mpsc;
use units::Clock;

use super::{Control, gossip};
use crate::process::control_channel::SuspectReport;
use crate::process::shards::lock;

/// Gossip messages that repeat an update after its immediate push.
const GOSSIP_REPEATS: u32 = 12;
/// Updates in one message.
const MAX_PER_MESSAGE: usize = 8;

/// Updates to be sent in gossip messages.
#[derive(Default)]
pub struct GossipQueue {
    queue: Vec<(SuspectUpdate, u32)>,
}

impl GossipQueue {
    /// Queues an update.
    pub fn add(&mut self, update: SuspectUpdate) {
        self.queue.push((update, GOSSIP_REPEATS));
    }

    /// Takes the latest updates for one message.
    pub fn take(&mut self) -> Vec<SuspectUpdate> {
        let taken: Vec<SuspectUpdate> = self
            .queue
            .iter()
            .rev()
            .take(MAX_PER_MESSAGE)
            .map(|(update, _)| update.clone())
            .collect();
        for (_, left) in self.queue.iter_mut().rev().take(MAX_PER_MESSAGE) {
            *left -= 1;
        }
        self.queue.retain(|(_, left)| *left > 0);
        taken
    }
}

/// Sends this node's own updates to other nodes.
pub async fn run<C: Clock, L: Log>(
    control: Rc<Control<C, L>>,
    mut updates: mpsc::UnboundedReceiver<SuspectReport>,
) {
    while let Some(SuspectReport { update, delivered }) = updates.recv().await {
        let control = control.clone();
        control.suspect_queue.borrow_mut().add(update.clone());
        tokio::task::spawn_local(async move {
            gossip::push(&control, Vec::new(), vec![update]).await;
            if let Some(delivered) = delivered {
                // The receiver may have timed out.
                let _ = delivered.send(());
            }
        });
    }
}

/// Merges updates, and forwards those that are new to this node.
pub fn merge<C: Clock, L: Log>(control: &Rc<Control<C, L>>, updates: Vec<SuspectUpdate>) {
    let now = control.shared.clock.now();
    let fresh: Vec<SuspectUpdate> = {
        let mut table = lock(&control.shared.quarantine);
        updates.into_iter().filter(|update| table.merge(update, now)).collect()
    };
    if fresh.is_empty() {
        return;
    }
    for update in &fresh {
        control.suspect_queue.borrow_mut().add(update.clone());
    }
    let control = control.clone();
    tokio::task::spawn_local(async move { gossip::push(&control, Vec::new(), fresh).await });
}
