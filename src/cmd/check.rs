//! `almondknot check`: validates rules and settings without running anything.

use std::path::Path;
use std::process::ExitCode;

use rules::RuleSet;

use super::error::Error;
use crate::cli::CheckArgs;

/// Checks the files and prints a summary of each.
pub fn run(args: &CheckArgs) -> Result<ExitCode, Error> {
    let mut all = Vec::new();
    for path in &args.settings {
        all.push((path.clone(), settings::read(path)?));
    }
    settings::check_all(&all)?;
    for (path, settings) in &all {
        println!("{}: node {} in {}: ok", path.display(), settings.node, settings.domain);
    }
    if let Some(path) = &args.rules {
        let rules = read_rules(path)?.1;
        println!(
            "{}: {} calls, {} services: ok",
            path.display(),
            rules.calls().len(),
            rules.services().count()
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads and checks a rules file.
pub fn read_rules(path: &Path) -> Result<(String, RuleSet), Error> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::File(path.to_owned(), err))?;
    let rules = rules::parse(&text).map_err(|errors| Error::Rules(path.to_owned(), errors))?;
    Ok((text, rules))
}
