//! Claims to plain idempotency keys: the first claim in the log wins.
//!
//! Keys are distributed over several log streams by hash. A node appends its claims in batches and reads the stream up
//! to its own batch; only then is the first claim to each key known. An append whose answer was lost is looked for in
//! the same way and never repeated.

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
use crate::process::control_channel::{ClaimOutcome, ClaimRequest};

const STREAM_COUNT: u64 = 8;
/// Time in which claims are collected into one batch.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Time limit for reading back the node's own batch.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);
const READ_WAIT: Duration = Duration::from_secs(1);
const READ_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Distributes claims over the streams, with a task for each.
pub async fn run<C: Clock, L: Log>(
    control: Rc<Control<C, L>>,
    mut requests: mpsc::UnboundedReceiver<ClaimRequest>,
) {
    let mut streams: HashMap<u64, mpsc::UnboundedSender<ClaimRequest>> = HashMap::new();
    while let Some(request) = requests.recv().await {
        let number = xxh3::xxh3_64(request.key.as_bytes()) % STREAM_COUNT;
        let stream = streams.entry(number).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            tokio::task::spawn_local(run_stream(control.clone(), number, receiver));
            sender
        });
        // The stream's task ends only with the process.
        let _ = stream.send(request);
    }
}

/// State of one stream.
struct Stream {
    name: String,
    claims: Claims,
    next: Offset,
    /// Keys that were granted to this node.
    granted: HashSet<String>,
}

async fn run_stream<C: Clock, L: Log>(
    control: Rc<Control<C, L>>,
    number: u64,
    mut requests: mpsc::UnboundedReceiver<ClaimRequest>,
) {
    let Some(source) = control.shared.settings.log.clone() else {
        while let Some(request) = requests.recv().await {
            answer(request, ClaimOutcome::LogUnavailable);
        }
        return;
    };
    let name = format!("{}-{number}", source.claims);
    let mut stream =
        Stream { name, claims: Claims::new(), next: Offset(0), granted: HashSet::new() };
    let mut batch = 0;
    while let Some(first) = requests.recv().await {
        tokio::time::sleep(BATCH_DELAY).await;
        let mut requested = vec![first];
        while let Ok(request) = requests.try_recv() {
            requested.push(request);
        }
        batch += 1;
        let holder = control.shared.holder();
        let read_back = stream.append_and_read(&control, &holder, batch, &requested).await;
        for request in requested {
            let outcome = if read_back {
                stream.outcome(&request.key, &holder)
            } else {
                ClaimOutcome::LogUnavailable
            };
            if outcome == ClaimOutcome::Granted {
                // Stored before the answer is sent, so that the next request with the key finds it held.
                let now = control.shared.clock.now();
                control.shared.keys.hold(&Key::Plain(request.key.clone()), now);
            }
            answer(request, outcome);
        }
    }
}

/// Answers a request, whose caller may have disconnected.
fn answer(request: ClaimRequest, outcome: ClaimOutcome) {
    let _ = request.answer.send(outcome);
}

impl Stream {
    /// Appends a batch of claims and reads the stream up to it; false if it doesn't appear in time.
    async fn append_and_read<C: Clock, L: Log>(
        &mut self,
        control: &Control<C, L>,
        holder: &Holder,
        batch: u64,
        requests: &[ClaimRequest],
    ) -> bool {
        let unknown: Vec<String> = requests
            .iter()
            .map(|request| &request.key)
            .filter(|key| self.claims.holder(key).is_none())
            .cloned()
            .collect();
        if unknown.is_empty() {
            return true;
        }
        let claim = Claim { holder: holder.clone(), batch, keys: unknown };
        let Ok(text) = serde_json::to_string(&claim) else { return false };
        match control.log.append(&self.name, text).await {
            Ok(_) | Err(AppendError::Unknown(_)) => self.read_up_to(control, &claim).await,
            Err(AppendError::Refused(_)) => false,
        }
    }

    async fn read_up_to<C: Clock, L: Log>(&mut self, control: &Control<C, L>, own: &Claim) -> bool {
        let deadline = Instant::now() + READ_BACK_TIMEOUT;
        while Instant::now() < deadline {
            let Ok(batch) = control.log.read(&self.name, self.next, READ_WAIT).await else {
                tokio::time::sleep(READ_RETRY_PAUSE).await;
                continue;
            };
            if self.next != Offset(0) && batch.first > self.next {
                // Unread claims were deleted from the log: the first one can't be known.
                return false;
            }
            let mut found = false;
            for entry in &batch.entries {
                self.next = Offset(entry.offset.0 + 1);
                if let Ok(claim) = serde_json::from_str::<Claim>(&entry.text) {
                    self.claims.apply(&claim);
                    found |= claim.batch == own.batch && claim.holder == own.holder;
                }
            }
            if found {
                return true;
            }
        }
        false
    }

    fn outcome(&mut self, key: &str, holder: &Holder) -> ClaimOutcome {
        match self.claims.holder(key) {
            Some(winner) if winner == holder && self.granted.insert(key.to_owned()) => {
                ClaimOutcome::Granted
            }
            Some(winner) if winner == holder => ClaimOutcome::Forgotten,
            Some(winner) => ClaimOutcome::HeldBy(winner.clone()),
            None => ClaimOutcome::LogUnavailable,
        }
    }
}
