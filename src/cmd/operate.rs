//! `almondknot report`, `drain` and `undrain`: call the administration API of each node in turn.

use std::process::ExitCode;

use super::admin::{self, Method};
use super::error::Error;
use super::runtime;
use crate::cli::NodesArgs;

/// Prints the reports of the nodes.
pub fn report(args: &NodesArgs) -> Result<ExitCode, Error> {
    call_each(args, Method::GET, "/report")
}

/// Takes upstreams out of service.
pub fn drain(args: &NodesArgs) -> Result<ExitCode, Error> {
    call_each(args, Method::POST, "/drain")
}

/// Takes upstreams back into service.
pub fn undrain(args: &NodesArgs) -> Result<ExitCode, Error> {
    call_each(args, Method::POST, "/undrain")
}

fn call_each(args: &NodesArgs, method: Method, path: &str) -> Result<ExitCode, Error> {
    let runtime = runtime()?;
    for node in &args.node {
        let response = admin::text(*node, method.clone(), path, args.token.as_deref());
        print!("{}", runtime.block_on(response)?);
    }
    Ok(ExitCode::SUCCESS)
}
