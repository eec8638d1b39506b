//! `almondknot load`: runs a load experiment.

use std::process::ExitCode;

use super::error::Error;
use crate::cli::LoadArgs;

/// Runs an experiment and prints its report.
pub fn run(args: &LoadArgs) -> Result<ExitCode, Error> {
    let mut experiment = load::read(&args.experiment)?;
    experiment.seed = args.seed.unwrap_or(experiment.seed);
    let runtime = tokio::runtime::Runtime::new().map_err(Error::Runtime)?;
    let summaries = runtime.block_on(load::run(&experiment));
    print!("{}", load::report(&summaries));
    if let Some(path) = &args.out {
        let json = serde_json::json!({ "seed": experiment.seed, "mixes": summaries }).to_string();
        std::fs::write(path, json).map_err(|err| Error::File(path.clone(), err))?;
    }
    Ok(ExitCode::SUCCESS)
}
