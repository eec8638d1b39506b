//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use units::{Author, Version};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  the request was not carried out (version conflict, lagging node, requests interrupted by a stop)
  2  invalid command line
  3  invalid file (settings, rules, experiment)
  4  a network address is not available or not reachable
  5  unknown outcome: the response was lost; the message says how to retry";

/// Overload control for service call graphs.
#[derive(Debug, Parser)]
#[command(version, about, after_help = EXIT_CODES)]
pub struct Cli {
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a node as the sidecar of an upstream.
    #[command(
        after_help = "Example:\n  almondknot node --settings examples/dala/almaty-a-catalog.json"
    )]
    Node(NodeArgs),
    /// Run a node as the sidecar of an upstream on a platform with a metadata store.
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
    /// Show the state of a node and of the failure domains it knows.
    #[command(after_help = "Example:\n  almondknot status --node 127.0.0.1:7105")]
    Status(StatusArgs),
    /// Show the decisions of nodes in the last hour and their reasons, 40 columns wide.
    #[command(
        after_help = "Example:\n  almondknot report --node 127.0.0.1:7105 --node 127.0.0.1:7205"
    )]
    Report(NodesArgs),
    /// Take the upstream of a node out of service.
    Drain(NodesArgs),
    /// Take the upstream of a node back into service.
    Undrain(NodesArgs),
    /// Explain the outcome of a request from the logs of nodes on a platform with a metadata store.
    #[command(after_help = "Example:\n  cat logs/* | almondknot explain 9c41d07be2a35f68")]
    Explain(ExplainArgs),
    /// Run the load of an experiment file against a system.
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
    /// Settings file [default: the file that the platform names in the environment].
    #[arg(long)]
    pub settings: Option<PathBuf>,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Id of the request as sent by its caller.
    pub id: String,
    /// Log files of the nodes [default: standard input].
    pub logs: Vec<PathBuf>,
}

/// Arguments of `node`.
#[derive(Debug, Args)]
pub struct NodeArgs {
    /// Settings file.
    #[arg(long)]
    pub settings: PathBuf,
    /// Format of log lines.
    #[arg(long, default_value = "text")]
    pub logs: LogFormat,
    /// Minimum level of log lines (`error`, `warn`, `info`, `debug`).
    #[arg(long, default_value = "info")]
    pub level: log::LevelFilter,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
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

/// Location of the log.
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
    /// Location of the log.
    #[command(flatten)]
    pub log: LogArgs,
    /// Author of the change.
    #[arg(long)]
    pub author: Author,
    /// Version that the rules are based on [default: the current version].
    #[arg(long)]
    pub base: Option<Version>,
    /// Id of an earlier publish whose response was lost; nothing is appended if the log has it.
    #[arg(long)]
    pub id: Option<String>,
    /// Administration address of any node; if given, waits until the rules are in force.
    #[arg(long)]
    pub node: Option<SocketAddr>,
    /// Bearer token of the administration API.
    #[arg(long)]
    pub token: Option<String>,
    /// Maximum time to wait until the rules are in force.
    #[arg(long, default_value = "12s", value_parser = units::span::parse)]
    pub wait: Duration,
}

/// Nodes to contact.
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
    /// File to write the complete result to, in JSON.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Seed that overrides the experiment's.
    #[arg(long)]
    pub seed: Option<u64>,
}
