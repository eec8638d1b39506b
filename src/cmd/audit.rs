//! `almondknot audit`: the outcome of each change.

use std::process::ExitCode;

use journal::{ConfigurationState, Event, HttpLog};
use units::Offset;

use super::error::Error;
use super::{runtime, watch};
use crate::cli::LogArgs;

/// Prints every change that the log still holds.
pub fn run(args: &LogArgs) -> Result<ExitCode, Error> {
    let log = HttpLog::new(args.log);
    let mut state = ConfigurationState::new();
    runtime()?.block_on(watch::read_all(&log, &args.stream, &mut state, print))?;
    Ok(ExitCode::SUCCESS)
}

fn print(offset: Offset, event: &Event) {
    match event {
        Event::Accepted(published) => {
            println!(
                "{offset} accepted version {} by {} ({})",
                published.version, published.author, published.id
            );
        }
        Event::Conflict { id, author, base, current } => {
            println!(
                "{offset} rejected ({id}) by {author}: based on {base}, but {current} was in force"
            );
        }
        Event::Applied { version, domain, at } => {
            println!("{offset} applied version {version} in {domain} at {at} ms");
        }
        Event::Unreadable(reason) => println!("{offset} unreadable: {reason}"),
    }
}
