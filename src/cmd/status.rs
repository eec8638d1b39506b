//! `almondknot status`: the state of a node and of the failure domains it knows.

use std::process::ExitCode;

use serde_json::Value;

use super::error::Error;
use super::{admin, runtime};
use crate::cli::StatusArgs;

/// Prints the status as text, 40 columns wide, or as JSON.
pub fn run(args: &StatusArgs) -> Result<ExitCode, Error> {
    let status = runtime()?.block_on(admin::json(args.node, "/status", args.token.as_deref()))?;
    if args.json {
        println!("{status:#}");
        return Ok(ExitCode::SUCCESS);
    }
    println!("node     {} ({})", text(&status["node"]), text(&status["domain"]));
    println!("version  {}", text(&status["version"]));
    println!("service  {}", text(&status["service"]));
    println!(
        "running  {} of {}, {} waiting",
        status["running"], status["limit"], status["waiting"]
    );
    for domain in status["domains"].as_array().into_iter().flatten() {
        println!(
            "{:<14.14} {:>4} nodes, version {}",
            text(&domain["domain"]),
            domain["present"],
            domain["lowest"]
        );
        for node in domain["lagging"].as_array().into_iter().flatten() {
            println!("  lagging: {}", text(node));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(
        || if value.is_null() { "none".to_owned() } else { value.to_string() },
        str::to_owned,
    )
}
