//! Running an experiment.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::client::{Client, Tried};
use crate::experiment::{Experiment, Mix};
use crate::outcome::{Outcome, Summary};

/// Runs an experiment to its end.
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
            outcome: Mutex::new(Outcome::new(&mix.name)),
        };
        let seed = experiment.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        mixes.spawn(async move { (index, arrivals(Arc::new(runner), seed).await) });
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
    outcome: Mutex<Outcome>,
}

/// Starts each request at its time, whatever became of the ones before (open loop).
async fn arrivals(runner: Arc<Runner>, seed: u64) -> Summary {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = JoinSet::new();
    let mut at = Duration::ZERO;
    let mut number = 0_usize;
    for phase in runner.mix.phases.clone() {
        if phase.rate == 0.0 {
            at = phase.until;
            continue;
        }
        loop {
            let gap = -(1.0 - random.random::<f64>()).ln() / phase.rate;
            if at + Duration::from_secs_f64(gap) >= phase.until {
                at = phase.until;
                break;
            }
            at += Duration::from_secs_f64(gap);
            tokio::time::sleep_until(runner.start + at).await;
            requests.spawn(request(runner.clone(), number, at));
            number += 1;
            while requests.try_join_next().is_some() {}
        }
    }
    while requests.join_next().await.is_some() {}
    let outcome = runner.outcome.lock().unwrap_or_else(PoisonError::into_inner).clone();
    outcome.summary()
}

/// One request, sent again by its caller as often as the mix says.
async fn request(runner: Arc<Runner>, number: usize, arrived: Duration) {
    let entries = runner.mix.entries.as_deref().unwrap_or_default();
    let id = format!("{}-{number}", runner.mix.name.replace(' ', "-"));
    let since = runner.start + arrived;
    let mut tries = Vec::new();
    loop {
        let to = entries[(number + tries.len()) % entries.len()];
        let tried = runner.client.send(to, &runner.mix, &id, runner.timeout).await;
        let whole = tried == Tried::Whole;
        tries.push(tried);
        if whole || tries.len() > runner.mix.resend as usize {
            break;
        }
    }
    let took = since.elapsed();
    runner.outcome.lock().unwrap_or_else(PoisonError::into_inner).add(&id, arrived, took, &tries);
}
