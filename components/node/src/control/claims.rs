//! Settling who may run a plain key, by the order of claims in the log.
//!
//! Keys are spread over a few streams by hash. A node appends its claims in batches and reads the stream until it meets
//! its own batch; only then does it know the first claim of each key. An append whose answer was lost is found, or not,
//! in the same way, and never sent again.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use journal::{AppendError, Log};
use reservation::{Claim, Claims, Holder, Key};
use tokio::sync::mpsc;
use tokio::time::Instant;
use units::{Clock, Offset};
use xxhash_rust::xxh3;

use super::Control;
use crate::process::mailbox::{Ask, Settled};

const STREAMS: u64 = 8;
/// Time in which claims are gathered for one append.
const GATHER: Duration = Duration::from_millis(10);
/// Longest time to read one's own claim back.
const PATIENCE: Duration = Duration::from_secs(3);
const WAIT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(100);

/// Settles claims, each stream on a task of its own.
pub async fn keep_settling<C: Clock, L: Log>(
    control: Rc<Control<C, L>>,
    mut asks: mpsc::UnboundedReceiver<Ask>,
) {
    let mut streams: HashMap<u64, mpsc::UnboundedSender<Ask>> = HashMap::new();
    while let Some(ask) = asks.recv().await {
        let number = xxh3::xxh3_64(ask.key.as_bytes()) % STREAMS;
        let stream = streams.entry(number).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            tokio::task::spawn_local(settle_stream(control.clone(), number, receiver));
            sender
        });
        // The task ends only with the process.
        let _ = stream.send(ask);
    }
}

/// What is known of one stream.
struct Stream {
    name: String,
    claims: Claims,
    next: Offset,
    /// Keys that this node was told to hold.
    given: HashSet<String>,
}

async fn settle_stream<C: Clock, L: Log>(
    control: Rc<Control<C, L>>,
    number: u64,
    mut asks: mpsc::UnboundedReceiver<Ask>,
) {
    let Some(source) = control.shared.settings.log.clone() else {
        while let Some(ask) = asks.recv().await {
            answer(ask, Settled::Unavailable);
        }
        return;
    };
    let name = format!("{}-{number}", source.claims);
    let mut stream = Stream { name, claims: Claims::new(), next: Offset(0), given: HashSet::new() };
    let mut batch = 0;
    while let Some(first) = asks.recv().await {
        tokio::time::sleep(GATHER).await;
        let mut gathered = vec![first];
        while let Ok(ask) = asks.try_recv() {
            gathered.push(ask);
        }
        batch += 1;
        let holder = control.shared.holder();
        let settled = stream.settle(&control, &holder, batch, &gathered).await;
        for ask in gathered {
            let found =
                if settled { stream.found(&ask.key, &holder) } else { Settled::Unavailable };
            if found == Settled::Here {
                // Before anybody is told, so that the next request with the key finds it held.
                let now = control.shared.clock.now();
                control.shared.once.hold(&Key::Plain(ask.key.clone()), now);
            }
            answer(ask, found);
        }
    }
}

/// Whoever asked may have left.
fn answer(ask: Ask, settled: Settled) {
    let _ = ask.answer.send(settled);
}

impl Stream {
    /// Appends a batch of claims and reads until it is met; false when the log doesn't show it in time.
    async fn settle<C: Clock, L: Log>(
        &mut self,
        control: &Control<C, L>,
        holder: &Holder,
        batch: u64,
        asks: &[Ask],
    ) -> bool {
        let unknown: Vec<String> = asks
            .iter()
            .map(|ask| &ask.key)
            .filter(|key| self.claims.winner(key).is_none())
            .cloned()
            .collect();
        if unknown.is_empty() {
            return true;
        }
        let claim = Claim { holder: holder.clone(), batch, keys: unknown };
        let Ok(text) = serde_json::to_string(&claim) else { return false };
        match control.log.append(&self.name, text).await {
            Ok(_) | Err(AppendError::Unknown(_)) => self.read_to(control, &claim).await,
            Err(AppendError::Refused(_)) => false,
        }
    }

    async fn read_to<C: Clock, L: Log>(&mut self, control: &Control<C, L>, own: &Claim) -> bool {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            let Ok(batch) = control.log.read(&self.name, self.next, WAIT).await else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            if self.next != Offset(0) && batch.first > self.next {
                // Claims that this node did not read are gone: it can't tell who was first.
                return false;
            }
            let mut met = false;
            for entry in &batch.entries {
                self.next = Offset(entry.offset.0 + 1);
                if let Ok(claim) = serde_json::from_str::<Claim>(&entry.text) {
                    self.claims.apply(&claim);
                    met |= claim.batch == own.batch && claim.holder == own.holder;
                }
            }
            if met {
                return true;
            }
        }
        false
    }

    fn found(&mut self, key: &str, holder: &Holder) -> Settled {
        match self.claims.winner(key) {
            Some(winner) if winner == holder && self.given.insert(key.to_owned()) => Settled::Here,
            Some(winner) if winner == holder => Settled::Forgotten,
            Some(winner) => Settled::Elsewhere(winner.clone()),
            None => Settled::Unavailable,
        }
    }
}
