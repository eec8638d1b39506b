//! Experiments that measure almondknot as separate processes on loopback, against baselines in the same run.
//!
//! Each prints a Markdown table with the results, their bounds and the seed. A missed bound is printed as missed; the
//! program does not fail because of it.

mod added_latency;
mod classes;
mod configuration;
mod control;
mod cross_region;
mod decisions;
mod drain;
mod overload;
mod poison;
mod resend;
mod slow_service;
mod system;
mod table;
mod tree;

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use system::Setup;

/// Experiments that measure almondknot.
#[derive(Debug, Parser)]
struct Cli {
    /// Folder of the binaries.
    #[arg(long, default_value = "target/release", global = true)]
    programs: PathBuf,
    /// Seed of the arrival times.
    #[arg(long, default_value_t = 1, global = true)]
    seed: u64,
    /// Name of the measured commit in the tables.
    #[arg(long, default_value = "this", global = true)]
    commit: String,
    /// Skip the baselines.
    #[arg(long, global = true)]
    only: bool,
    /// What to measure.
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    /// Latency and CPU time added to a call, memory of an idle node.
    Added,
    /// Goodput, recovery and wasted work under overload.
    Overload {
        /// Demand as a multiple of capacity.
        #[arg(long, default_value_t = 2.0)]
        times: f64,
        /// Example system to run.
        #[arg(long, default_value = "dala")]
        example: system::Example,
    },
    /// Success of external callers while internal lookups are five times the capacity.
    Classes,
    /// Retries in call trees of several depths.
    Tree,
    /// Upstream attempts while callers resend failed requests.
    Resend,
    /// Success of other calls while a service at the end of a call chain is ten times as slow.
    Slow {
        /// Time that the service is slow, in seconds.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
    },
    /// A request that crashes upstreams, sent 20 times.
    Poison,
    /// Traffic between regions that can each serve their own requests.
    #[command(name = "cross")]
    CrossRegion,
    /// Time until a published configuration is in force on all nodes.
    Configuration {
        /// Number of publishes.
        #[arg(long, default_value_t = 200)]
        publishes: usize,
    },
    /// Time until a draining upstream gets no new requests.
    Drain,
    /// Control traffic, CPU time and memory of idle nodes.
    Control {
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_value = "25,50,100,200")]
        sizes: Vec<usize>,
        /// Number of failure domains.
        #[arg(long, default_value_t = 4)]
        domains: usize,
    },
    /// Cost of single decisions, in process.
    #[command(name = "slopes")]
    Decisions,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let cli = Cli::parse();
    let setup = Setup {
        programs: cli.programs,
        seed: cli.seed,
        commit: cli.commit,
        no_baselines: cli.only,
    };
    match cli.experiment {
        Experiment::Added => added_latency::run(&setup).await,
        Experiment::Overload { times, example } => overload::run(&setup, example, times).await,
        Experiment::Classes => classes::run(&setup).await,
        Experiment::Tree => tree::run(&setup).await,
        Experiment::Resend => resend::run(&setup).await,
        Experiment::Slow { seconds } => slow_service::run(&setup, seconds).await,
        Experiment::Poison => poison::run(&setup).await,
        Experiment::CrossRegion => cross_region::run(&setup).await,
        Experiment::Configuration { publishes } => configuration::run(&setup, publishes).await,
        Experiment::Drain => drain::run(&setup).await,
        Experiment::Control { sizes, domains } => control::run(&setup, &sizes, domains).await,
        Experiment::Decisions => decisions::run(&setup),
    }
}
