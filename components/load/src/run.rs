//! Running an experiment.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::client::{AttemptResult, Client};
use crate::experiment::{Experiment, Mix};
use crate::outcome::{Recorder, Summary};

/// Runs an experiment to its end and returns the results of each mix, in order.
pub async fn run(experiment: &Experiment) -> Vec<Summary> {
    let client = Client::new();
    let start = Instant::now();
    let mut mixes = JoinSet::new();
    for (index, mix) in experiment.mixes.iter().enumerate() {
        let runner = Runner {
            client: client.clone(),
            mix: Mix {
                entries: Some(mix.entries.clone().unwrap_or(experiment.entries.clone())),
                ..mix.clone()
            },
            timeout: experiment.timeout,
            start,
            recorder: Mutex::new(Recorder::new(&mix.name)),
        };
        let seed = experiment.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        mixes.spawn(async move { (index, run_mix(Arc::new(runner), seed).await) });
    }
    let mut summaries = mixes.join_all().await;
    summaries.sort_by_key(|(index, _)| *index);
    summaries.into_iter().map(|(_, summary)| summary).collect()
}

struct Runner {
    client: Client,
    mix: Mix,
    timeout: Duration,
    start: Instant,
    recorder: Mutex<Recorder>,
}

/// Starts each request at its time of arrival, whether or not the ones before have ended (open loop).
async fn run_mix(runner: Arc<Runner>, seed: u64) -> Summary {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = JoinSet::new();
    let mut at = Duration::ZERO;
    let mut number = 0_usize;
    for phase in runner.mix.phases.clone() {
        if phase.rate == 0.0 {
            at = phase.until;
            continue;
        }
        loop {
            let gap = -(1.0 - rng.random::<f64>()).ln() / phase.rate;
            if at + Duration::from_secs_f64(gap) >= phase.until {
                at = phase.until;
                break;
            }
            at += Duration::from_secs_f64(gap);
            tokio::time::sleep_until(runner.start + at).await;
            requests.spawn(run_request(runner.clone(), number, at));
            number += 1;
            while requests.try_join_next().is_some() {}
        }
    }
    while requests.join_next().await.is_some() {}
    let recorder = runner.recorder.lock().unwrap_or_else(PoisonError::into_inner).clone();
    recorder.into_summary()
}

/// Sends one request, and resends it after failures as often as the mix allows.
async fn run_request(runner: Arc<Runner>, number: usize, arrival: Duration) {
    let entries = runner.mix.entries.as_deref().unwrap_or_default();
    let id = format!("{}-{number}", runner.mix.name.replace(' ', "-"));
    let started = runner.start + arrival;
    let mut attempts = Vec::new();
    loop {
        let to = entries[(number + attempts.len()) % entries.len()];
        let result = runner.client.send(to, &runner.mix, &id, runner.timeout).await;
        let complete = result == AttemptResult::Complete;
        attempts.push(result);
        if complete || attempts.len() > runner.mix.resend as usize {
            break;
        }
    }
    let latency = started.elapsed();
    runner
        .recorder
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .record(&id, arrival, latency, &attempts);
}
