//! `almondknot publish`: appends rules to the log and waits until they are in force.

use std::process::ExitCode;
use std::time::{Duration, Instant, UNIX_EPOCH};

use journal::{AppendError, ConfigurationState, HttpLog, Log, Outcome, PublishId, Record};
use serde_json::Value;
use units::{Clock, SystemClock, Version};

use super::error::Error;
use super::{admin, check, runtime, watch};
use crate::cli::PublishArgs;

/// Time to find the outcome of a publish in the log.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Publishes rules.
pub fn run(args: &PublishArgs) -> Result<ExitCode, Error> {
    let (text, _) = check::read_rules(&args.rules)?;
    runtime()?.block_on(publish(args, text))
}

async fn publish(args: &PublishArgs, text: String) -> Result<ExitCode, Error> {
    let log = HttpLog::new(args.log.log);
    let mut state = ConfigurationState::new();
    watch::read_all(&log, &args.log.stream, &mut state, |_, _| {}).await?;
    let id = PublishId(args.id.clone().unwrap_or_else(|| new_id(args)));
    if state.outcome(&id).is_none() {
        let base = args.base.unwrap_or(state.version());
        let record = Record::Publish {
            id: id.clone(),
            base,
            author: args.author.clone(),
            text: text.into(),
        };
        let record =
            serde_json::to_string(&record).map_err(|err| Error::Refused(err.to_string()))?;
        match log.append(&args.log.stream, record).await {
            Ok(_) | Err(AppendError::Unknown(_)) => {}
            Err(AppendError::Refused(reason)) => return Err(Error::Refused(reason)),
        }
    }
    let version = find_outcome(&log, &args.log.stream, &mut state, &id).await?;
    println!("accepted at {version}");
    match args.node {
        Some(_) => wait_in_force(args, version).await,
        None => Ok(ExitCode::SUCCESS),
    }
}

fn new_id(args: &PublishArgs) -> String {
    let wall = SystemClock.wall_time().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{}-{}", args.author, wall.as_millis(), std::process::id())
}

/// Reads the log until it holds the outcome of the publish. A lost response doesn't cause a second append, as the
/// record may be in the log.
async fn find_outcome(
    log: &HttpLog,
    stream: &str,
    state: &mut ConfigurationState,
    id: &PublishId,
) -> Result<Version, Error> {
    let deadline = SystemClock.now() + OUTCOME_TIMEOUT;
    let mut successful_reads = 0;
    loop {
        let read = watch::read_all(log, stream, state, |_, _| {}).await;
        match state.outcome(id) {
            Some(Outcome::Accepted(version)) => return Ok(*version),
            Some(Outcome::Conflict(current)) => return Err(Error::Conflict(current.0)),
            None => {}
        }
        successful_reads += u32::from(read.is_ok());
        if SystemClock.now() >= deadline {
            let missing = successful_reads > 0 && read.is_ok();
            return Err(if missing {
                not_in_log(id)
            } else {
                Error::OutcomeUnknown(id.to_string())
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn not_in_log(id: &PublishId) -> Error {
    Error::Refused(format!("the log has no record of it (retry with `--id {id}`)"))
}

/// Waits until every failure domain reports the version, for at most `--wait`.
async fn wait_in_force(args: &PublishArgs, version: Version) -> Result<ExitCode, Error> {
    let Some(node) = args.node else { return Ok(ExitCode::SUCCESS) };
    let started: Instant = SystemClock.now();
    loop {
        let status = admin::json(node, "/status", args.token.as_deref()).await?;
        let lagging = lagging_domains(&status, version);
        if lagging.is_empty() {
            println!("in force everywhere after {:.1} s", started.elapsed().as_secs_f64());
            return Ok(ExitCode::SUCCESS);
        }
        if started.elapsed() >= args.wait {
            return Err(Error::Lagging(version.0, lagging.join(", ")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Failure domains that have not reported the version, with some of their lagging nodes.
fn lagging_domains(status: &Value, version: Version) -> Vec<String> {
    let domains = status["domains"].as_array();
    if domains.is_none_or(Vec::is_empty) {
        return vec!["no failure domain has reported yet".to_owned()];
    }
    let lagging =
        domains.into_iter().flatten().filter(|domain| domain["lowest"].as_u64() < Some(version.0));
    lagging
        .map(|domain| {
            let nodes: Vec<&str> = domain["lagging"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(Value::as_str)
                .collect();
            format!("{} ({})", domain["domain"].as_str().unwrap_or_default(), nodes.join(" "))
        })
        .collect()
}
