//! HTTP/2 connections to other nodes: one each, with a stream for each call.
//!
//! Nothing here sends a request a second time. Whether a failed one was sent is told apart, as `NotRun` may only be
//! claimed when it wasn't.

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
const PING_EVERY: Duration = Duration::from_millis(500);
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time until a connection that nobody uses is closed.
const IDLE: Duration = Duration::from_secs(60);
const STREAM_WINDOW: u32 = 1 << 20;

quick_error! {
    /// Why a call to another node has no answer.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of it was taken in.
        Unsent(why: String) {
            display("not sent: {}", why)
        }
        /// The connection was lost after it was sent.
        Lost(why: String) {
            display("lost: {}", why)
        }
    }
}

type Sender<C> = http2::SendRequest<Payload<C>>;

struct Link<C: Clock> {
    sender: tokio::sync::Mutex<Option<Sender<C>>>,
    used: Mutex<Instant>,
}

/// Connections to other nodes.
pub struct Links<C: Clock> {
    links: Mutex<HashMap<SocketAddr, Arc<Link<C>>>>,
    from: IpAddr,
    clock: C,
}

impl<C: Clock> Links<C> {
    /// No connections; they will be made from the address `from`.
    pub fn new(from: IpAddr, clock: C) -> Self {
        Self { links: Mutex::default(), from, clock }
    }

    /// Sends one call.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Payload<C>>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut sender = self.sender(to).await?;
        if let Err(err) = sender.ready().await {
            return Err(SendError::Unsent(err.to_string()));
        }
        sender.try_send_request(request).await.map_err(|mut failed| {
            let unsent = failed.take_message().is_some() || is_refused(failed.error());
            let why = failed.into_error().to_string();
            if unsent { SendError::Unsent(why) } else { SendError::Lost(why) }
        })
    }

    /// Closes connections that nobody has used for a while.
    pub fn sweep(&self) {
        let now = self.clock.now();
        lock(&self.links).retain(|_, link| now.saturating_duration_since(*lock(&link.used)) < IDLE);
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        lock(&self.links).len()
    }

    async fn sender(&self, to: SocketAddr) -> Result<Sender<C>, SendError> {
        let link = self.link(to);
        let mut sender = link.sender.lock().await;
        if let Some(open) = sender.as_ref().filter(|open| !open.is_closed()) {
            return Ok(open.clone());
        }
        let fresh =
            connect(self.from, to).await.map_err(|err| SendError::Unsent(err.to_string()))?;
        *sender = Some(fresh.clone());
        Ok(fresh)
    }

    fn link(&self, to: SocketAddr) -> Arc<Link<C>> {
        let now = self.clock.now();
        let fresh =
            || Arc::new(Link { sender: tokio::sync::Mutex::new(None), used: Mutex::new(now) });
        let link = lock(&self.links).entry(to).or_insert_with(fresh).clone();
        *lock(&link.used) = now;
        link
    }
}

async fn connect<C: Clock>(
    from: IpAddr,
    to: SocketAddr,
) -> Result<Sender<C>, Box<dyn std::error::Error + Send + Sync>> {
    let stream = connection::connect(from, to, CONNECT_TIMEOUT).await?;
    let (sender, driver) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(STREAM_WINDOW * 4)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(driver);
    Ok(sender)
}

/// Whether the other side says that it didn't process the stream (RFC 9113, sections 6.8 and 8.7).
fn is_refused(err: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(err);
    while let Some(inner) = source {
        if let Some(err) = inner.downcast_ref::<h2::Error>() {
            let refused = err.is_reset() && err.reason() == Some(h2::Reason::REFUSED_STREAM);
            let leaving =
                err.is_go_away() && err.is_remote() && err.reason() == Some(h2::Reason::NO_ERROR);
            return refused || leaving;
        }
        source = inner.source();
    }
    false
}
