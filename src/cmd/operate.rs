//! `almondknot report`, `drain` and `undrain`: nodes, one after the other.

use std::process::ExitCode;

use super::error::Error;
use super::get::{self, Method};
use super::runtime;
use crate::cli::NodesArgs;

/// Prints the reports of some nodes.
pub fn report(args: &NodesArgs) -> Result<ExitCode, Error> {
    each(args, Method::GET, "/report")
}

/// Takes upstreams out of service.
pub fn drain(args: &NodesArgs) -> Result<ExitCode, Error> {
    each(args, Method::POST, "/drain")
}

/// Takes upstreams back into service.
pub fn undrain(args: &NodesArgs) -> Result<ExitCode, Error> {
    each(args, Method::POST, "/undrain")
}

fn each(args: &NodesArgs, method: Method, path: &str) -> Result<ExitCode, Error> {
    let runtime = runtime()?;
    for node in &args.node {
        let asked = get::text(*node, method.clone(), path, args.token.as_deref());
        print!("{}", runtime.block_on(asked)?);
    }
    Ok(ExitCode::SUCCESS)
}
