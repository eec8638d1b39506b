//! Telling others of requests that kill upstreams.

use std::rc::Rc;

use journal::Log;
use quarantine::Told;
use tokio::sync::mpsc;
use units::Clock;

use super::{Control, gossip};
use crate::process::mailbox::News;
use crate::process::shards::lock;

/// Messages that carry a piece of news, besides the first push.
const REPEATS: u32 = 12;
/// Pieces of news on one message.
const MOST: usize = 8;

/// News that ride on gossip messages.
#[derive(Default)]
pub struct Outbox {
    waiting: Vec<(Told, u32)>,
}

impl Outbox {
    /// Tells a piece of news from now on.
    pub fn add(&mut self, told: Told) {
        self.waiting.push((told, REPEATS));
    }

    /// News for one message.
    pub fn take(&mut self) -> Vec<Told> {
        let taken: Vec<Told> =
            self.waiting.iter().rev().take(MOST).map(|(told, _)| told.clone()).collect();
        for (_, left) in self.waiting.iter_mut().rev().take(MOST) {
            *left -= 1;
        }
        self.waiting.retain(|(_, left)| *left > 0);
        taken
    }
}

/// Tells what this node's own guard found out.
pub async fn keep_telling<C: Clock, L: Log>(
    control: Rc<Control<C, L>>,
    mut news: mpsc::UnboundedReceiver<News>,
) {
    while let Some(News { told, done }) = news.recv().await {
        let control = control.clone();
        control.suspects.borrow_mut().add(told.clone());
        tokio::task::spawn_local(async move {
            gossip::push(&control, Vec::new(), vec![told]).await;
            if let Some(done) = done {
                // Whoever waited may have given up.
                let _ = done.send(());
            }
        });
    }
}

/// Takes in news, and passes on what is new here.
pub fn take<C: Clock, L: Log>(control: &Rc<Control<C, L>>, suspects: Vec<Told>) {
    let now = control.shared.clock.now();
    let fresh: Vec<Told> = {
        let mut table = lock(&control.shared.quarantine);
        suspects.into_iter().filter(|told| table.merge(told, now)).collect()
    };
    if fresh.is_empty() {
        return;
    }
    for told in &fresh {
        control.suspects.borrow_mut().add(told.clone());
    }
    let control = control.clone();
    tokio::task::spawn_local(async move { gossip::push(&control, Vec::new(), fresh).await });
}
