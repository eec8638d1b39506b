//! `almondknot completions`: shell completions.

use std::process::ExitCode;

use clap::CommandFactory;

use super::error::Error;
use crate::cli::Cli;

/// Prints the completions of a shell.
pub fn run(shell: clap_complete::Shell) -> Result<ExitCode, Error> {
    clap_complete::generate(shell, &mut Cli::command(), "almondknot", &mut std::io::stdout());
    Ok(ExitCode::SUCCESS)
}
