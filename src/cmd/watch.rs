//! `almondknot watch`: follows the published versions.

use std::process::ExitCode;
use std::time::Duration;

use journal::{ConfigurationState, Event, HttpLog, Log, ReadError, Step};
use units::Offset;

use super::error::Error;
use super::runtime;
use crate::cli::LogArgs;

const LONG_POLL_WAIT: Duration = Duration::from_secs(20);

/// Prints each accepted version, until interrupted.
pub fn run(args: &LogArgs) -> Result<ExitCode, Error> {
    runtime()?.block_on(async {
        let log = HttpLog::new(args.log);
        let mut state = ConfigurationState::new();
        loop {
            let wait = if state.snapshot().is_none() { Duration::ZERO } else { LONG_POLL_WAIT };
            read(&log, &args.stream, &mut state, wait, &mut |_, event| print(event)).await?;
        }
    })
}

fn print(event: &Event) {
    if let Event::Accepted(published) = event {
        println!("version {} by {} ({})", published.version, published.author, published.id);
    }
}

/// Reads to the current end of the log.
pub async fn read_all(
    log: &HttpLog,
    stream: &str,
    state: &mut ConfigurationState,
    mut on_event: impl FnMut(Offset, &Event),
) -> Result<(), ReadError> {
    while read(log, stream, state, Duration::ZERO, &mut on_event).await? {}
    Ok(())
}

/// Reads one batch; true if there may be more.
async fn read(
    log: &HttpLog,
    stream: &str,
    state: &mut ConfigurationState,
    wait: Duration,
    on_event: &mut impl FnMut(Offset, &Event),
) -> Result<bool, ReadError> {
    let batch = log.read(stream, state.next_offset(), wait).await?;
    state.start_batch(batch.first);
    for entry in &batch.entries {
        match state.apply(entry) {
            Step::Unchanged => {}
            Step::Event(event) => on_event(entry.offset, &event),
            Step::Rewind(_) => return Ok(true),
        }
    }
    Ok(state.next_offset() < batch.next)
}
