//! Errors of the subcommands and their exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use quick_error::quick_error;

const EXIT_NOT_DONE: u8 = 1;
const EXIT_BAD_FILE: u8 = 3;
const EXIT_BAD_ADDRESS: u8 = 4;
const EXIT_UNKNOWN_OUTCOME: u8 = 5;

quick_error! {
    /// Why a subcommand failed.
    #[derive(Debug)]
    pub enum Error {
        /// A settings file is invalid.
        Settings(err: settings::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// A file can't be read or written.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// A rules file is invalid.
        Rules(path: PathBuf, errors: rules::Errors) {
            display("{}", errors.0.iter().map(|err| format!("{}:{err}", path.display())).collect::<Vec<_>>().join("\n"))
            source(errors)
        }
        /// An experiment file is invalid.
        Experiment(err: ::load::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// A node can't start.
        Start(err: ::node::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// A node on a platform with a metadata store can't start.
        StartMesh(err: ::mesh::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The settings that the platform wrote are invalid.
        Platform(err: ::platform::SettingsError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The logger can't start.
        Logger(err: flexi_logger::FlexiLoggerError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The runtime can't start.
        Runtime(err: std::io::Error) {
            display("the runtime can't be started: {}", err)
            source(err)
        }
        /// An address did not answer.
        Unreachable(address: SocketAddr, reason: String) {
            display("{}: no answer: {}", address, reason)
        }
        /// The log can't be read.
        Log(err: journal::ReadError) {
            display("{}", err)
            source(err)
            from()
        }
        /// Another publish was accepted first.
        Conflict(current: u64) {
            display("conflict: version {} is in force, but the rules are based on another version; merge the changes \
                     and publish with `--base {}`", current, current)
        }
        /// The request was refused.
        Refused(reason: String) {
            display("refused: {}", reason.trim_end())
        }
        /// It is unknown whether the record is in the log.
        OutcomeUnknown(id: String) {
            display("unknown: the log's response was lost and the log can't be read; retry with `--id {}`", id)
        }
        /// Some failure domains don't have the version yet.
        Lagging(version: u64, domains: String) {
            display("accepted at {}, but not in force everywhere: {}", version, domains)
        }
    }
}

impl Error {
    /// The exit code as documented in the help of the command line.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Settings(_)
            | Self::Platform(_)
            | Self::File(..)
            | Self::Rules(..)
            | Self::Experiment(_) => EXIT_BAD_FILE,
            Self::Start(::node::Error::Listen(..))
            | Self::StartMesh(_)
            | Self::Unreachable(..)
            | Self::Log(_) => EXIT_BAD_ADDRESS,
            Self::Start(_) => EXIT_BAD_FILE,
            Self::OutcomeUnknown(_) => EXIT_UNKNOWN_OUTCOME,
            Self::Logger(_)
            | Self::Runtime(_)
            | Self::Conflict(..)
            | Self::Refused(_)
            | Self::Lagging(..) => EXIT_NOT_DONE,
        })
    }
}
