//! Calls with an idempotency key, which run at most once.
//!
//! A run continues when its caller disconnects. Its answer is stored, so that the caller gets it when it sends the
//! request again.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use reservation::{Action, Holder, Key, KeyRecords, Outcome};
use tokio::sync::watch;
use units::Clock;
use verdict::{Reason, Refusal, Verdict};

use super::attempt::{Answer, AttemptError, AttemptResult, Feedback, Head};
use super::body::Payload;
use super::context::Context;
use super::{local, prepare};
use crate::process::control_channel::ClaimOutcome;
use crate::process::shards::lock;
use crate::process::shared::Shared;

/// Largest answer that is stored.
const MAX_STORED_ANSWER_BYTES: usize = 64 << 10;

/// Stored answer of a run.
#[derive(Debug, Clone)]
pub struct StoredAnswer {
    head: Parts,
    body: Bytes,
}

type AnswerRecords = KeyRecords<Arc<StoredAnswer>>;

/// Keys that this incarnation of the node holds, and the runs in progress.
pub struct KeyStore {
    records: Mutex<AnswerRecords>,
    running: Mutex<HashMap<Key, watch::Receiver<bool>>>,
    window: Duration,
}

impl KeyStore {
    /// Creates an empty store that remembers each key for at least `window`.
    pub fn new(window: Duration) -> Self {
        Self { records: Mutex::new(KeyRecords::new(window)), running: Mutex::default(), window }
    }

    /// Makes this node the holder of a key.
    pub fn hold(&self, key: &Key, now: std::time::Instant) {
        lock(&self.records).hold(key, now);
    }

    fn holds(&self, key: &Key) -> bool {
        lock(&self.records).contains(key)
    }

    /// Removes keys whose window has passed.
    pub fn tick(&self, now: std::time::Instant) {
        lock(&self.records).tick(now);
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        lock(&self.records).len()
    }
}

/// Serves a call with a key: runs it, waits for its run, or returns the stored answer.
pub async fn serve<C: Clock>(
    shared: &Arc<Shared<C>>,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> AttemptResult<C> {
    let Some(key) = prepare::idempotency_key(head) else {
        return Err(refusal_error(shared, Verdict::NotRun, Reason::KeyMissing));
    };
    if key.is_expired(shared.keys.window, shared.unix_time()) {
        return Err(refusal_error(shared, Verdict::MayHaveRun, Reason::HolderGone));
    }
    let mut body = Some(body);
    loop {
        let state = lock(&shared.keys.records).admit(&key);
        match state {
            Action::Run => {
                // The body is always present: only this branch takes it, and the branch ends the loop.
                let Some(body) = body.take() else {
                    record_outcome(shared, &key, Outcome::NotRun);
                    return Err(refusal_error(shared, Verdict::MayHaveRun, Reason::ConnectionLost));
                };
                return run_detached(shared, &key, context, head, body).await;
            }
            Action::Wait => wait_for_run(shared, &key).await,
            Action::Replay(stored) => return Ok(replay(&stored, &context)),
            Action::Ran => return Err(refusal_error(shared, Verdict::Ran, Reason::AnswerGone)),
            Action::Unknown => {
                return Err(refusal_error(shared, Verdict::MayHaveRun, Reason::HolderGone));
            }
            Action::NotHeld => acquire(shared, &key).await?,
        }
    }
}

/// Acquires a key, or fails with its holder.
async fn acquire<C: Clock>(shared: &Arc<Shared<C>>, key: &Key) -> Result<(), AttemptError> {
    let claim = match key {
        Key::Ticket { holder, .. } if *holder == shared.holder() => {
            shared.keys.hold(key, shared.clock.now());
            ClaimOutcome::Granted
        }
        Key::Ticket { holder, .. } => ClaimOutcome::HeldBy(holder.clone()),
        Key::Plain(text) => shared.claim_key(text).await,
    };
    match claim {
        // The key was stored when the claim was granted.
        ClaimOutcome::Granted => Ok(()),
        // Another request acquired the key a moment ago, or the window has passed.
        ClaimOutcome::Forgotten if shared.keys.holds(key) => Ok(()),
        ClaimOutcome::Forgotten => {
            Err(refusal_error(shared, Verdict::MayHaveRun, Reason::HolderGone))
        }
        ClaimOutcome::HeldBy(holder) => Err(held_elsewhere(shared, holder)),
        ClaimOutcome::LogUnavailable => {
            let mut failed = refusal_error(shared, Verdict::NotRun, Reason::LogUnavailable);
            // A retry on another node would ask the same log.
            failed.refusal.no_retry = true;
            Err(failed)
        }
    }
}

fn held_elsewhere<C: Clock>(shared: &Shared<C>, holder: Holder) -> AttemptError {
    let failed = refusal_error(shared, Verdict::NotRun, Reason::HeldElsewhere);
    AttemptError { holder: Some(holder), ..failed }
}

fn refusal_error<C: Clock>(shared: &Shared<C>, verdict: Verdict, reason: Reason) -> AttemptError {
    AttemptError::new(Refusal::new(verdict, reason, &shared.settings.node))
}

/// Runs a call on a task of its own, which continues when the caller disconnects.
async fn run_detached<C: Clock>(
    shared: &Arc<Shared<C>>,
    key: &Key,
    context: Context,
    head: &Head,
    body: Payload<C>,
) -> AttemptResult<C> {
    let (ended_sender, ended) = watch::channel(false);
    lock(&shared.keys.running).insert(key.clone(), ended);
    let task = {
        let (shared, key, head) = (shared.clone(), key.clone(), head.clone());
        tokio::spawn(async move {
            let recorder =
                OutcomeRecorder { shared: &shared, key: &key, outcome: Some(Outcome::Unknown) };
            let result = local::run(&shared, context, &head, body).await;
            let result = store_answer(recorder, result).await;
            lock(&shared.keys.running).remove(&key);
            ended_sender.send_replace(true);
            result
        })
    };
    match task.await {
        Ok(result) => result,
        Err(_) => Err(refusal_error(shared, Verdict::MayHaveRun, Reason::ConnectionLost)),
    }
}

/// Records the outcome of a run when dropped, so also when the run's task panics.
struct OutcomeRecorder<'a, C: Clock> {
    shared: &'a Arc<Shared<C>>,
    key: &'a Key,
    outcome: Option<Outcome<Arc<StoredAnswer>>>,
}

impl<C: Clock> Drop for OutcomeRecorder<'_, C> {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            record_outcome(self.shared, self.key, outcome);
        }
    }
}

fn record_outcome<C: Clock>(shared: &Shared<C>, key: &Key, outcome: Outcome<Arc<StoredAnswer>>) {
    lock(&shared.keys.records).finish(key, outcome, shared.clock.now());
}

/// Records the outcome of a run and stores its answer.
async fn store_answer<C: Clock>(
    mut recorder: OutcomeRecorder<'_, C>,
    result: AttemptResult<C>,
) -> AttemptResult<C> {
    let answer = match result {
        Ok(answer) => answer,
        Err(mut failed) => {
            let not_run = failed.refusal.verdict == Verdict::NotRun;
            recorder.outcome = Some(if not_run { Outcome::NotRun } else { Outcome::Unknown });
            failed.never_ran = not_run;
            return Err(failed);
        }
    };
    let not_run = answer.is_not_run();
    let Answer { head, body, feedback } = answer;
    match Limited::new(body, MAX_STORED_ANSWER_BYTES).collect().await {
        Ok(body) => {
            let stored = Arc::new(StoredAnswer { head, body: body.to_bytes() });
            recorder.outcome =
                Some(if not_run { Outcome::NotRun } else { Outcome::Answered(stored.clone()) });
            Ok(stored_answer(&stored, feedback))
        }
        Err(err) if err.is::<LengthLimitError>() => {
            recorder.outcome = Some(Outcome::Ran);
            Err(refusal_error(recorder.shared, Verdict::Ran, Reason::AnswerGone))
        }
        Err(_) => Err(refusal_error(recorder.shared, Verdict::MayHaveRun, Reason::ConnectionLost)),
    }
}

async fn wait_for_run<C: Clock>(shared: &Arc<Shared<C>>, key: &Key) {
    let ended = lock(&shared.keys.running).get(key).cloned();
    match ended {
        // The run's task ends by its deadline at the latest.
        Some(mut ended) => {
            let _ = ended.wait_for(|ended| *ended).await;
        }
        // The run is about to be added, or has just been removed.
        None => tokio::task::yield_now().await,
    }
}

/// Answers with a stored answer, which spends no retries.
fn replay<C: Clock>(stored: &StoredAnswer, context: &Context) -> Answer<C> {
    stored_answer(stored, Feedback { returned: context.retries, ..Feedback::default() })
}

fn stored_answer<C: Clock>(stored: &StoredAnswer, feedback: Feedback) -> Answer<C> {
    Answer { head: stored.head.clone(), body: Payload::buffered(stored.body.clone()), feedback }
}
