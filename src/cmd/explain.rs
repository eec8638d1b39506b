//! `almondknot explain`: what became of a request and why, from the logs of the nodes.

use std::io::{self, BufRead};
use std::process::ExitCode;

use super::error::Error;
use crate::cli::ExplainArgs;

/// Reads the logs and tells the story of a request.
pub fn run(args: &ExplainArgs) -> Result<ExitCode, Error> {
    let mut lines = Vec::new();
    if args.logs.is_empty() {
        read(io::stdin().lock(), &mut lines).map_err(|err| Error::File("-".into(), err))?;
    }
    for path in &args.logs {
        let file = std::fs::File::open(path).map_err(|err| Error::File(path.clone(), err))?;
        read(io::BufReader::new(file), &mut lines).map_err(|err| Error::File(path.clone(), err))?;
    }
    let Some(story) = explain::story(&lines, &args.id) else {
        println!(
            "no line of {} speaks of {}: it was answered as its upstream said,",
            lines.len(),
            args.id
        );
        println!("or its lines were left out for their volume (`left_out`)");
        return Ok(ExitCode::FAILURE);
    };
    for step in &story.steps {
        println!("{step}");
    }
    println!();
    for cause in &story.causes {
        println!("because {cause}");
    }
    Ok(ExitCode::SUCCESS)
}

fn read(input: impl BufRead, lines: &mut Vec<explain::Line>) -> io::Result<()> {
    for text in input.lines() {
        lines.extend(explain::parse(&text?));
    }
    Ok(())
}
