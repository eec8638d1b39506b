//! Calls with a key, which run at most once.
//!
//! The run goes on when its caller leaves, and its answer is kept, so that the caller gets it when it sends the request
//! again.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use reservation::{Book, Entry, Holder, Key, Outcome};
use tokio::sync::watch;
use units::Clock;
use verdict::{Reason, Refusal, Verdict};

use super::attempt::{Answer, Failed, Head, Trailer, Tried};
use super::body::Payload;
use super::context::Context;
use super::{guard, plan};
use crate::process::mailbox::Settled;
use crate::process::shards::lock;
use crate::process::shared::Shared;

/// Largest answer that is kept.
const LARGEST_KEPT: usize = 64 << 10;

/// An answer that is kept.
#[derive(Debug, Clone)]
pub struct Kept {
    head: Parts,
    body: Bytes,
}

type Shelf = Book<Arc<Kept>>;

/// Keys that this life of the node holds, and those who wait for a run to end.
pub struct Once {
    book: Mutex<Shelf>,
    running: Mutex<HashMap<Key, watch::Receiver<bool>>>,
    window: Duration,
}

impl Once {
    /// No keys; each is remembered for at least `window`.
    pub fn new(window: Duration) -> Self {
        Self { book: Mutex::new(Book::new(window)), running: Mutex::default(), window }
    }

    /// This node holds a key from now on.
    pub fn hold(&self, key: &Key, now: std::time::Instant) {
        lock(&self.book).hold(key, now);
    }

    fn holds(&self, key: &Key) -> bool {
        lock(&self.book).holds(key)
    }

    /// Forgets keys whose window has passed.
    pub fn tick(&self, now: std::time::Instant) {
        lock(&self.book).tick(now);
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        lock(&self.book).len()
    }
}

/// Serves a call with a key: runs it, waits for its run, or gives the answer of its run.
pub async fn serve<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> Tried<C> {
    let Some(key) = plan::key(head) else {
        return Err(refusal(shared, Verdict::NotRun, Reason::KeyMissing));
    };
    if key.is_older(shared.once.window, shared.wall()) {
        return Err(refusal(shared, Verdict::MayHaveRun, Reason::HolderGone));
    }
    let mut body = Some(body);
    loop {
        let known = lock(&shared.once.book).enter(&key);
        match known {
            Entry::Run => {
                // The body is there: it is taken only here, and the loop ends with it.
                let Some(body) = body.take() else {
                    end(shared, &key, Outcome::Unrun);
                    return Err(refusal(shared, Verdict::MayHaveRun, Reason::ConnectionLost));
                };
                return first(shared, &key, context, head, body).await;
            }
            Entry::Wait => wait(shared, &key).await,
            Entry::Replay(kept) => return Ok(replay(&kept, &context)),
            Entry::Ran => return Err(refusal(shared, Verdict::Ran, Reason::AnswerGone)),
            Entry::Lost => return Err(refusal(shared, Verdict::MayHaveRun, Reason::HolderGone)),
            Entry::Unheld => hold(shared, &key).await?,
        }
    }
}

/// Gets hold of a key, or says who has it.
async fn hold<C: Clock>(shared: &Arc<Shared<C>>, key: &Key) -> Result<(), Failed> {
    let settled = match key {
        Key::Ticket { holder, .. } if *holder == shared.holder() => {
            shared.once.hold(key, shared.clock.now());
            Settled::Here
        }
        Key::Ticket { holder, .. } => Settled::Elsewhere(holder.clone()),
        Key::Plain(text) => shared.claim(text).await,
    };
    match settled {
        // Whoever settled it has written it down.
        Settled::Here => Ok(()),
        // Another request with the key was told so a moment ago, or the window has passed.
        Settled::Forgotten if shared.once.holds(key) => Ok(()),
        Settled::Forgotten => Err(refusal(shared, Verdict::MayHaveRun, Reason::HolderGone)),
        Settled::Elsewhere(holder) => Err(elsewhere(shared, holder)),
        Settled::Unavailable => {
            let mut failed = refusal(shared, Verdict::NotRun, Reason::LogUnavailable);
            // Another node would ask the same log.
            failed.refusal.exhausted = true;
            Err(failed)
        }
    }
}

fn elsewhere<C: Clock>(shared: &Shared<C>, holder: Holder) -> Failed {
    let failed = refusal(shared, Verdict::NotRun, Reason::HeldElsewhere);
    Failed { holder: Some(holder), ..failed }
}

fn refusal<C: Clock>(shared: &Shared<C>, verdict: Verdict, reason: Reason) -> Failed {
    Failed::new(Refusal::new(verdict, reason, &shared.settings.node))
}

/// The run itself, on a task of its own.
async fn first<C: Clock>(
    shared: &Arc<Shared<C>>,
    key: &Key,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> Tried<C> {
    let (done, ended) = watch::channel(false);
    lock(&shared.once.running).insert(key.clone(), ended);
    let task = {
        let (shared, key, head) = (shared.clone(), key.clone(), head.clone());
        tokio::spawn(async move {
            let guarded = Running { shared: &shared, key: &key, outcome: Some(Outcome::Lost) };
            let tried = guard::run(&shared, context, &head, body).await;
            let tried = keep(guarded, tried).await;
            lock(&shared.once.running).remove(&key);
            done.send_replace(true);
            tried
        })
    };
    match task.await {
        Ok(tried) => tried,
        Err(_) => Err(refusal(shared, Verdict::MayHaveRun, Reason::ConnectionLost)),
    }
}

/// A run whose end is written down also when its task fails.
struct Running<'a, C: Clock> {
    shared: &'a Arc<Shared<C>>,
    key: &'a Key,
    outcome: Option<Outcome<Arc<Kept>>>,
}

impl<C: Clock> Drop for Running<'_, C> {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            end(self.shared, self.key, outcome);
        }
    }
}

fn end<C: Clock>(shared: &Shared<C>, key: &Key, outcome: Outcome<Arc<Kept>>) {
    lock(&shared.once.book).end(key, outcome, shared.clock.now());
}

/// Writes down what became of the run, and keeps its answer.
async fn keep<C: Clock>(mut running: Running<'_, C>, tried: Tried<C>) -> Tried<C> {
    let answer = match tried {
        Ok(answer) => answer,
        Err(mut failed) => {
            let unrun = failed.refusal.verdict == Verdict::NotRun;
            running.outcome = Some(if unrun { Outcome::Unrun } else { Outcome::Lost });
            failed.settled = unrun;
            return Err(failed);
        }
    };
    let unrun = answer.is_unrun();
    let Answer { head, body, trailer } = answer;
    match Limited::new(body, LARGEST_KEPT).collect().await {
        Ok(whole) => {
            let kept = Arc::new(Kept { head, body: whole.to_bytes() });
            running.outcome =
                Some(if unrun { Outcome::Unrun } else { Outcome::Answered(kept.clone()) });
            Ok(whole_answer(&kept, trailer))
        }
        Err(err) if err.is::<LengthLimitError>() => {
            running.outcome = Some(Outcome::Ran);
            Err(refusal(running.shared, Verdict::Ran, Reason::AnswerGone))
        }
        Err(_) => Err(refusal(running.shared, Verdict::MayHaveRun, Reason::ConnectionLost)),
    }
}

async fn wait<C: Clock>(shared: &Arc<Shared<C>>, key: &Key) {
    let ended = lock(&shared.once.running).get(key).cloned();
    match ended {
        // The task that runs it ends by its deadline at the latest.
        Some(mut ended) => {
            let _ = ended.wait_for(|ended| *ended).await;
        }
        // It is about to be entered, or has just been taken out.
        None => tokio::task::yield_now().await,
    }
}

/// A replay spends nothing.
fn replay<C: Clock>(kept: &Kept, context: &Context) -> Answer<C> {
    whole_answer(kept, Trailer { returned: context.retries, ..Trailer::default() })
}

fn whole_answer<C: Clock>(kept: &Kept, trailer: Trailer) -> Answer<C> {
    Answer { head: kept.head.clone(), body: Payload::whole(kept.body.clone()), trailer }
}
