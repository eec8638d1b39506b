//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use units::{Author, Version};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  the thing asked for did not happen (a conflict, a node that lags, requests cut off by a stop)
  2  the command line is wrong
  3  a file (settings, rules, experiment) is wrong
  4  a network address could not be used or reached
  5  unknown: the answer was lost; the message says how to ask again";

/// Overload control for service call graphs.
#[derive(Debug, Parser)]
#[command(version, about, after_help = EXIT_CODES)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the node beside an upstream.
    #[command(
        after_help = "Example:\n  almondknot node --settings examples/dala/almaty-a-catalog.json"
    )]
    Node(NodeArgs),
    /// Run the node beside an upstream on a platform with a metadata store.
    #[command(after_help = "Example:\n  almondknot mesh --settings boot.json")]
    Mesh(MeshArgs),
    /// Check rules and settings without running anything.
    #[command(
        after_help = "Example:\n  almondknot check --rules rules.txt --settings a.json b.json"
    )]
    Check(CheckArgs),
    /// Publish rules and wait until they are in force everywhere.
    #[command(
        after_help = "Example:\n  almondknot publish --rules rules.txt --log 127.0.0.1:7000 \\
      --author aigerim --node 127.0.0.1:7105"
    )]
    Publish(PublishArgs),
    /// Follow the published versions.
    Watch(LogArgs),
    /// List accepted, rejected and applied changes.
    Audit(LogArgs),
    /// Show the state of a node and of the failure domains it knows of.
    #[command(after_help = "Example:\n  almondknot status --node 127.0.0.1:7105")]
    Status(StatusArgs),
    /// Show what the nodes did in the last hour, and why, in 40 columns.
    #[command(
        after_help = "Example:\n  almondknot report --node 127.0.0.1:7105 --node 127.0.0.1:7205"
    )]
    Report(NodesArgs),
    /// Take the upstream of a node out of service.
    Drain(NodesArgs),
    /// Take the upstream of a node back into service.
    Undrain(NodesArgs),
    /// Tell what became of a request and why, from the logs of nodes on a platform with a metadata store.
    #[command(after_help = "Example:\n  cat logs/* | almondknot explain 9c41d07be2a35f68")]
    Explain(ExplainArgs),
    /// Put load on a system as an experiment file says.
    #[command(after_help = "Example:\n  almondknot load --experiment examples/dala/overload.json")]
    Load(LoadArgs),
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Arguments of `mesh`.
#[derive(Debug, Args)]
pub struct MeshArgs {
    /// Settings file; the one that the platform names in the environment where it is not given.
    #[arg(long)]
    pub settings: Option<PathBuf>,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Id of the request, as its caller sent it.
    pub id: String,
    /// Logs of the nodes; standard input where none is given.
    pub logs: Vec<PathBuf>,
}

/// Arguments of `node`.
#[derive(Debug, Args)]
pub struct NodeArgs {
    /// Settings file.
    #[arg(long)]
    pub settings: PathBuf,
    /// Form of log lines.
    #[arg(long, default_value = "text")]
    pub logs: LogForm,
    /// Least level of log lines (`error`, `warn`, `info`, `debug`).
    #[arg(long, default_value = "info")]
    pub level: log::LevelFilter,
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum LogForm {
    /// For people.
    Text,
    /// For machines.
    Json,
}

/// Arguments of `check`.
#[derive(Debug, Args)]
#[group(required = true, multiple = true)]
pub struct CheckArgs {
    /// Rules file.
    #[arg(long)]
    pub rules: Option<PathBuf>,
    /// Settings files; several are checked against each other.
    #[arg(long, num_args = 1..)]
    pub settings: Vec<PathBuf>,
}

/// Where the log is.
#[derive(Debug, Args)]
pub struct LogArgs {
    /// Address of the log.
    #[arg(long)]
    pub log: SocketAddr,
    /// Stream that holds the configuration.
    #[arg(long, default_value = "rules")]
    pub stream: String,
}

/// Arguments of `publish`.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// Rules file.
    #[arg(long)]
    pub rules: PathBuf,
    /// Where the log is.
    #[command(flatten)]
    pub log: LogArgs,
    /// Who publishes.
    #[arg(long)]
    pub author: Author,
    /// Version that the rules were made from; the version now where it is not given.
    #[arg(long)]
    pub base: Option<Version>,
    /// Id of an earlier publish whose answer was lost; nothing is appended if it is in the log.
    #[arg(long)]
    pub id: Option<String>,
    /// Administration address of any node, to wait until the rules are in force.
    #[arg(long)]
    pub node: Option<SocketAddr>,
    /// Bearer token of the administration API.
    #[arg(long)]
    pub token: Option<String>,
    /// Longest time to wait until the rules are in force.
    #[arg(long, default_value = "12s", value_parser = units::span::parse)]
    pub wait: Duration,
}

/// Nodes to ask.
#[derive(Debug, Args)]
pub struct NodesArgs {
    /// Administration address of a node; may be repeated.
    #[arg(long, required = true)]
    pub node: Vec<SocketAddr>,
    /// Bearer token of the administration API.
    #[arg(long)]
    pub token: Option<String>,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Administration address of a node.
    #[arg(long)]
    pub node: SocketAddr,
    /// Bearer token of the administration API.
    #[arg(long)]
    pub token: Option<String>,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Experiment file.
    #[arg(long)]
    pub experiment: PathBuf,
    /// File for the whole result in JSON.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Seed to use instead of the experiment's.
    #[arg(long)]
    pub seed: Option<u64>,
}
