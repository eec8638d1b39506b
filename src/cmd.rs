//! The subcommands, one file each.

mod admin;
mod audit;
mod check;
mod completions;
mod error;
mod explain;
mod load;
mod mesh;
mod node;
mod operate;
mod publish;
mod status;
mod watch;

use std::process::ExitCode;

use crate::cli::Command;
use error::Error;

/// Runs a subcommand.
pub fn run(command: Command) -> Result<ExitCode, Error> {
    match command {
        Command::Node(args) => node::run(&args),
        Command::Mesh(args) => mesh::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Publish(args) => publish::run(&args),
        Command::Watch(args) => watch::run(&args),
        Command::Audit(args) => audit::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Report(args) => operate::report(&args),
        Command::Drain(args) => operate::drain(&args),
        Command::Undrain(args) => operate::undrain(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Completions { shell } => completions::run(shell),
    }
}

/// A single-threaded runtime for commands that only query something.
fn runtime() -> Result<tokio::runtime::Runtime, Error> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(Error::Runtime)
}
