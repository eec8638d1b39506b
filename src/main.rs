//! The `almondknot` command: overload control for service call graphs.

mod cli;
mod cmd;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    match cmd::run(cli.command) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("almondknot: {err}");
            err.code()
        }
    }
}
