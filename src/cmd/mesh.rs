//! `almondknot mesh`: the sidecar daemon of an upstream on a platform with a metadata store.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use mesh::Node;
use mesh::process::events::Sink;
use platform::{Adapter, Settings};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{self, SignalKind};
use units::SystemClock;

use super::error::Error;
use crate::cli::MeshArgs;

/// Runs a node until it receives SIGTERM or SIGINT. On SIGHUP, checks the settings file again.
pub fn run(args: &MeshArgs) -> Result<ExitCode, Error> {
    let path = match &args.settings {
        Some(path) => path.clone(),
        None => platform::settings::path()?,
    };
    let settings = platform::settings::read(&path)?;
    runtime(settings.node_settings().cores)?.block_on(serve(path, settings))
}

fn runtime(cores: usize) -> Result<Runtime, Error> {
    let runtime = match cores {
        0 | 1 => Builder::new_current_thread().enable_all().build(),
        cores => Builder::new_multi_thread().worker_threads(cores).enable_all().build(),
    };
    runtime.map_err(Error::Runtime)
}

async fn serve(path: PathBuf, settings: Settings) -> Result<ExitCode, Error> {
    let node_settings = settings.node_settings();
    let sink = Sink::stdout(Arc::clone(&node_settings.node));
    let mut term = unix::signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let mut int = unix::signal(SignalKind::interrupt()).map_err(Error::Runtime)?;
    let mut hup = unix::signal(SignalKind::hangup()).map_err(Error::Runtime)?;
    let adapter = Adapter::new(SystemClock, settings.store());
    let node = Node::start(adapter, node_settings, sink).await?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => reload(&node, &path),
        }
    }
    let interrupted = node.stop().await;
    Ok(if interrupted == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Rereads the settings file and logs whether it changed; changes take effect at a restart.
fn reload(node: &Node<Adapter<SystemClock>>, path: &Path) {
    match platform::settings::read(path) {
        Ok(settings) => node.log_reload(&settings.node_settings()),
        Err(err) => eprintln!("almondknot: settings not reloaded: {err}"),
    }
}
