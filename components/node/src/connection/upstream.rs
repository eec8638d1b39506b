//! HTTP/1.1 connections to the local upstream, each for one request at a time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use units::Clock;

use super::peers::SendError;
use crate::process::shards::lock;
use crate::request::body::Payload;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection attempts that distinguish a crashed upstream from a broken connection.
const CRASH_CHECKS: u32 = 3;
const CRASH_CHECK_PAUSE: Duration = Duration::from_millis(10);

type Sender<C> = http1::SendRequest<Payload<C>>;

struct IdleConnections<C: Clock> {
    address: Option<SocketAddr>,
    senders: Vec<Sender<C>>,
}

/// Connections to the upstream; the concurrency limit bounds their number.
pub struct UpstreamPool<C: Clock> {
    idle: Mutex<IdleConnections<C>>,
}

/// A connection in use by a request.
pub struct PooledConnection<C: Clock> {
    pool: Arc<UpstreamPool<C>>,
    address: SocketAddr,
    sender: Sender<C>,
}

impl<C: Clock> UpstreamPool<C> {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self { idle: Mutex::new(IdleConnections { address: None, senders: Vec::new() }) }
    }

    /// Sends one request to the upstream at `to`. A connection that the upstream closed while it was idle is
    /// replaced by a new one, as nothing was sent on it.
    pub async fn send(
        self: &Arc<Self>,
        to: SocketAddr,
        mut request: Request<Payload<C>>,
    ) -> Result<(Response<Incoming>, PooledConnection<C>), SendError> {
        loop {
            let (mut sender, reused) = match self.take(to) {
                Some(sender) => (sender, true),
                None => (connect(to).await?, false),
            };
            if let Err(err) = sender.ready().await {
                if reused {
                    continue;
                }
                return Err(SendError::NotSent(err.to_string()));
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok((
                        response,
                        PooledConnection { pool: self.clone(), address: to, sender },
                    ));
                }
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(SendError::NotSent(failed.into_error().to_string())),
                    None => return Err(SendError::ConnectionLost(failed.into_error().to_string())),
                },
            }
        }
    }

    /// Whether nothing listens on the upstream's address any more.
    pub async fn has_crashed(address: SocketAddr) -> bool {
        for _ in 0..CRASH_CHECKS {
            let connected =
                tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            if !matches!(connected, Ok(Ok(_))) {
                return true;
            }
            // An exiting process closes its sockets one after the other.
            tokio::time::sleep(CRASH_CHECK_PAUSE).await;
        }
        false
    }

    fn take(&self, to: SocketAddr) -> Option<Sender<C>> {
        let mut idle = lock(&self.idle);
        if idle.address != Some(to) {
            idle.senders.clear();
            idle.address = Some(to);
        }
        while let Some(sender) = idle.senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put(&self, to: SocketAddr, sender: Sender<C>) {
        let mut idle = lock(&self.idle);
        if idle.address == Some(to) && !sender.is_closed() {
            idle.senders.push(sender);
        }
    }
}

impl<C: Clock> PooledConnection<C> {
    /// Returns the connection to the pool after the whole answer was forwarded.
    pub fn release(self) {
        self.pool.put(self.address, self.sender);
    }
}

async fn connect<C: Clock>(to: SocketAddr) -> Result<Sender<C>, SendError> {
    let not_sent = |reason: String| SendError::NotSent(reason);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
        Ok(stream) => stream.map_err(|err| not_sent(err.to_string()))?,
        Err(_) => return Err(not_sent("connection attempt timed out".to_owned())),
    };
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|err| not_sent(err.to_string()))?;
    tokio::spawn(connection);
    Ok(sender)
}
