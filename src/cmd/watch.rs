//! `almondknot watch`: the published versions as they come.

use std::process::ExitCode;
use std::time::Duration;

use journal::{Event, Fold, HttpLog, Log, ReadError, Step};
use units::Offset;

use super::error::Error;
use super::runtime;
use crate::cli::LogArgs;

const WAIT: Duration = Duration::from_secs(20);

/// Prints each accepted version, until interrupted.
pub fn run(args: &LogArgs) -> Result<ExitCode, Error> {
    runtime()?.block_on(async {
        let log = HttpLog::new(args.log);
        let mut fold = Fold::new();
        loop {
            let wait = if fold.snapshot().is_none() { Duration::ZERO } else { WAIT };
            read(&log, &args.stream, &mut fold, wait, &mut |_, event| print(event)).await?;
        }
    })
}

fn print(event: &Event) {
    if let Event::Accepted(published) = event {
        println!("version {} by {} ({})", published.version, published.author, published.id);
    }
}

/// Reads what the log holds now.
pub async fn read_all(
    log: &HttpLog,
    stream: &str,
    fold: &mut Fold,
    mut each: impl FnMut(Offset, &Event),
) -> Result<(), ReadError> {
    while read(log, stream, fold, Duration::ZERO, &mut each).await? {}
    Ok(())
}

/// Reads once; true when there may be more.
async fn read(
    log: &HttpLog,
    stream: &str,
    fold: &mut Fold,
    wait: Duration,
    each: &mut impl FnMut(Offset, &Event),
) -> Result<bool, ReadError> {
    let batch = log.read(stream, fold.next(), wait).await?;
    fold.begin(batch.first);
    for entry in &batch.entries {
        match fold.apply(entry) {
            Step::Nothing => {}
            Step::Event(event) => each(entry.offset, &event),
            Step::Rewind(_) => return Ok(true),
        }
    }
    Ok(fold.next() < batch.next)
}
