//! `almondknot node`: the sidecar daemon of an upstream.

use std::process::ExitCode;

use flexi_logger::{Logger, LoggerHandle};
use journal::{HttpLog, Log, UnconfiguredLog};
use node::Node;
use settings::Settings;
use tokio::signal::unix::{self, SignalKind};
use units::SystemClock;

use super::error::Error;
use crate::cli::{LogFormat, NodeArgs};

const WORKER_THREADS: usize = 2;

/// Runs a node until it receives SIGTERM or SIGINT.
pub fn run(args: &NodeArgs) -> Result<ExitCode, Error> {
    let settings = settings::read(&args.settings)?;
    let _logger = logger(args)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(async {
        match settings.log.clone() {
            Some(source) => serve(settings, HttpLog::new(source.address)).await,
            None => serve(settings, UnconfiguredLog).await,
        }
    })
}

async fn serve(settings: Settings, log: impl Log) -> Result<ExitCode, Error> {
    let id = settings.node.clone();
    let node = Node::start(settings, SystemClock, log).await?;
    log::info!(node = id.as_str(); "started");
    wait_for_stop_signal().await;
    log::info!(node = id.as_str(); "stopping");
    let stopped = node.stop().await;
    log::info!(node = id.as_str(), left = stopped.unfinished; "stopped");
    Ok(if stopped.unfinished == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn logger(args: &NodeArgs) -> Result<LoggerHandle, Error> {
    let logger = Logger::with(args.level).log_to_stderr();
    let logger = match args.logs {
        LogFormat::Text => logger.format(flexi_logger::detailed_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    };
    Ok(logger.start()?)
}

async fn wait_for_stop_signal() {
    let term = unix::signal(SignalKind::terminate());
    let int = unix::signal(SignalKind::interrupt());
    let (Ok(mut term), Ok(mut int)) = (term, int) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
