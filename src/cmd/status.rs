//! `almondknot status`: a node and the failure domains it knows of.

use std::process::ExitCode;

use serde_json::Value;

use super::error::Error;
use super::{get, runtime};
use crate::cli::StatusArgs;

/// Prints the status, 40 columns wide, or as JSON.
pub fn run(args: &StatusArgs) -> Result<ExitCode, Error> {
    let status = runtime()?.block_on(get::json(args.node, "/status", args.token.as_deref()))?;
    if args.json {
        println!("{status:#}");
        return Ok(ExitCode::SUCCESS);
    }
    println!("node     {} ({})", word(&status["node"]), word(&status["domain"]));
    println!("version  {}", word(&status["version"]));
    println!("service  {}", word(&status["service"]));
    println!("running  {} of {}, {} wait", status["running"], status["limit"], status["waiting"]);
    for domain in status["domains"].as_array().into_iter().flatten() {
        println!(
            "{:<14.14} {:>4} nodes, version {}",
            word(&domain["domain"]),
            domain["present"],
            domain["lowest"]
        );
        for node in domain["lagging"].as_array().into_iter().flatten() {
            println!("  lags: {}", word(node));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn word(value: &Value) -> String {
    value.as_str().map_or_else(
        || if value.is_null() { "none".to_owned() } else { value.to_string() },
        str::to_owned,
    )
}
