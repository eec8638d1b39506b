//! Serving a poem endpoint until the process gets a stop signal.

use std::net::SocketAddr;
use std::time::Duration;

use poem::listener::TcpListener;
use tokio::signal::unix::{self, SignalKind};

/// Time for requests in flight to complete.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits for SIGTERM or SIGINT.
pub async fn stop_signal() {
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

/// Serves until `stop` is ready, then completes requests in flight.
pub async fn until(
    address: SocketAddr,
    endpoint: impl poem::IntoEndpoint + 'static,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    poem::Server::new(TcpListener::bind(address))
        .run_with_graceful_shutdown(endpoint, stop, Some(SHUTDOWN_TIMEOUT))
        .await
}
