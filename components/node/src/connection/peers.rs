//! HTTP/2 connections to other nodes: one for each node, with a stream for each call.
//!
//! A request is never sent twice here. Errors say whether it may have been sent: only one that was not sent counts as
//! `NotRun`.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use quick_error::quick_error;
use units::Clock;

use crate::connection;
use crate::process::shards::lock;
use crate::request::body::Payload;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PING_INTERVAL: Duration = Duration::from_millis(500);
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time until an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

quick_error! {
    /// Why a request has no answer.
    #[derive(Debug)]
    pub enum SendError {
        /// The other side processed nothing of it.
        NotSent(reason: String) {
            display("not sent: {}", reason)
        }
        /// The connection was lost after the request was sent.
        ConnectionLost(reason: String) {
            display("connection lost: {}", reason)
        }
    }
}

type Sender<C> = http2::SendRequest<Payload<C>>;

struct Connection<C: Clock> {
    sender: tokio::sync::Mutex<Option<Sender<C>>>,
    last_used: Mutex<Instant>,
}

/// Connections to other nodes.
pub struct PeerPool<C: Clock> {
    connections: Mutex<HashMap<SocketAddr, Arc<Connection<C>>>>,
    from: IpAddr,
    clock: C,
}

impl<C: Clock> PeerPool<C> {
    /// Creates an empty pool; connections are made from the address `from`.
    pub fn new(from: IpAddr, clock: C) -> Self {
        Self { connections: Mutex::default(), from, clock }
    }

    /// Sends a request.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Payload<C>>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut sender = self.sender(to).await?;
        if let Err(err) = sender.ready().await {
            return Err(SendError::NotSent(err.to_string()));
        }
        sender.try_send_request(request).await.map_err(|mut failed| {
            let not_sent = failed.take_message().is_some() || is_unprocessed(failed.error());
            let reason = failed.into_error().to_string();
            if not_sent { SendError::NotSent(reason) } else { SendError::ConnectionLost(reason) }
        })
    }

    /// Closes connections that have been unused for `IDLE_TIMEOUT`.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        lock(&self.connections).retain(|_, connection| {
            now.saturating_duration_since(*lock(&connection.last_used)) < IDLE_TIMEOUT
        });
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        lock(&self.connections).len()
    }

    async fn sender(&self, to: SocketAddr) -> Result<Sender<C>, SendError> {
        let connection = self.connection(to);
        let mut sender = connection.sender.lock().await;
        if let Some(open) = sender.as_ref().filter(|open| !open.is_closed()) {
            return Ok(open.clone());
        }
        let fresh =
            connect(self.from, to).await.map_err(|err| SendError::NotSent(err.to_string()))?;
        *sender = Some(fresh.clone());
        Ok(fresh)
    }

    fn connection(&self, to: SocketAddr) -> Arc<Connection<C>> {
        let now = self.clock.now();
        let fresh = || {
            Arc::new(Connection {
                sender: tokio::sync::Mutex::new(None),
                last_used: Mutex::new(now),
            })
        };
        let connection = lock(&self.connections).entry(to).or_insert_with(fresh).clone();
        *lock(&connection.last_used) = now;
        connection
    }
}

async fn connect<C: Clock>(
    from: IpAddr,
    to: SocketAddr,
) -> Result<Sender<C>, Box<dyn std::error::Error + Send + Sync>> {
    let stream = connection::connect(from, to, CONNECT_TIMEOUT).await?;
    let (sender, driver) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(STREAM_WINDOW_BYTES * 4)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(driver);
    Ok(sender)
}

/// Whether the other side declares that it didn't process the stream (RFC 9113, sections 6.8 and 8.7).
fn is_unprocessed(err: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(err);
    while let Some(inner) = source {
        if let Some(err) = inner.downcast_ref::<h2::Error>() {
            let refused = err.is_reset() && err.reason() == Some(h2::Reason::REFUSED_STREAM);
            let shutting_down =
                err.is_go_away() && err.is_remote() && err.reason() == Some(h2::Reason::NO_ERROR);
            return refused || shutting_down;
        }
        source = inner.source();
    }
    false
}
