//! `almondknot explain`: the outcome of a request and its causes, from the logs of the nodes.

use std::io::{self, BufRead};
use std::process::ExitCode;

use super::error::Error;
use crate::cli::ExplainArgs;

/// Reads the logs and prints the timeline and the causes of a request.
pub fn run(args: &ExplainArgs) -> Result<ExitCode, Error> {
    let mut lines = Vec::new();
    if args.logs.is_empty() {
        read_lines(io::stdin().lock(), &mut lines).map_err(|err| Error::File("-".into(), err))?;
    }
    for path in &args.logs {
        let file = std::fs::File::open(path).map_err(|err| Error::File(path.clone(), err))?;
        read_lines(io::BufReader::new(file), &mut lines)
            .map_err(|err| Error::File(path.clone(), err))?;
    }
    let Some(explanation) = explain::explain(&lines, &args.id) else {
        println!(
            "none of {} log lines mentions request {}: it was answered as its upstream responded,",
            lines.len(),
            args.id
        );
        println!("or its lines were dropped to limit the log volume (`left_out`)");
        return Ok(ExitCode::FAILURE);
    };
    for line in &explanation.timeline {
        println!("{line}");
    }
    println!();
    for cause in &explanation.causes {
        println!("cause: {cause}");
    }
    Ok(ExitCode::SUCCESS)
}

fn read_lines(input: impl BufRead, lines: &mut Vec<explain::Line>) -> io::Result<()> {
    for text in input.lines() {
        lines.extend(explain::parse(&text?));
    }
    Ok(())
}
