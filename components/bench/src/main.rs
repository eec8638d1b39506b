//! Experiments that measure almondknot as separate processes on loopback, against baselines in the same run.
//!
//! Each prints a table in Markdown with the figure, its bound and the seed. A bound that is missed is printed as
//! missed; nothing here fails because of it.

mod added;
mod classes;
mod configuration;
mod control;
mod cross;
mod drain;
mod overload;
mod poison;
mod resend;
mod slopes;
mod slow;
mod system;
mod table;
mod tree;

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use system::Setup;

/// Experiments that measure almondknot.
#[derive(Debug, Parser)]
struct Cli {
    /// Folder of the programs.
    #[arg(long, default_value = "target/release", global = true)]
    programs: PathBuf,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1, global = true)]
    seed: u64,
    /// Name of the programs' commit in the table.
    #[arg(long, default_value = "this", global = true)]
    commit: String,
    /// Leave the baselines out.
    #[arg(long, global = true)]
    only: bool,
    /// What to measure.
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    /// Latency added to a call, calls a second per core, memory of an idle node.
    Added,
    /// Goodput, recovery and wasted work at several times the demand.
    Overload {
        /// Demand as a multiple of capacity.
        #[arg(long, default_value_t = 2.0)]
        times: f64,
        /// Which users' system.
        #[arg(long, default_value = "dala")]
        example: system::Example,
    },
    /// Success of callers outside while lookups inside are five times what they should be.
    Classes,
    /// Retries in trees of several depths.
    Tree,
    /// Upstream attempts while callers send again and again.
    Resend,
    /// A deep service that is ten times as slow.
    Slow {
        /// Seconds that it is slow.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
    },
    /// One request that kills upstreams, sent 20 times.
    Poison,
    /// Bytes between regions while each can serve itself.
    Cross,
    /// Time until a configuration is in force everywhere.
    Configuration {
        /// Publishes.
        #[arg(long, default_value_t = 200)]
        publishes: usize,
    },
    /// Time until an upstream that leaves gets no new work.
    Drain,
    /// Control traffic, processor time and memory of idle nodes.
    Control {
        /// Nodes to run.
        #[arg(long, value_delimiter = ',', default_value = "25,50,100,200")]
        sizes: Vec<usize>,
        /// Failure domains that they are spread over.
        #[arg(long, default_value_t = 4)]
        domains: usize,
    },
    /// Cost of the decisions alone, in process.
    Slopes,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let cli = Cli::parse();
    let setup =
        Setup { programs: cli.programs, seed: cli.seed, commit: cli.commit, only: cli.only };
    match cli.experiment {
        Experiment::Added => added::run(&setup).await,
        Experiment::Overload { times, example } => overload::run(&setup, example, times).await,
        Experiment::Classes => classes::run(&setup).await,
        Experiment::Tree => tree::run(&setup).await,
        Experiment::Resend => resend::run(&setup).await,
        Experiment::Slow { seconds } => slow::run(&setup, seconds).await,
        Experiment::Poison => poison::run(&setup).await,
        Experiment::Cross => cross::run(&setup).await,
        Experiment::Configuration { publishes } => configuration::run(&setup, publishes).await,
        Experiment::Drain => drain::run(&setup).await,
        Experiment::Control { sizes, domains } => control::run(&setup, &sizes, domains).await,
        Experiment::Slopes => slopes::run(&setup),
    }
}
