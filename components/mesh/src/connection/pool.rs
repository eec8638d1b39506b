//! HTTP/1.1 connections to upstreams and other nodes, each for one request at a time.
//!
//! Nothing here sends a request a second time, but for one that was never written because its connection had been
//! closed. Whether a failed one was written is told apart, as only then it may have run.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;

use super::socket;

/// Largest head of an answer.
const HEAD_LARGEST: usize = 64 << 10;

quick_error! {
    /// Why a request has no answer.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of it was written.
        Unsent(why: String) {
            display("not sent: {}", why)
        }
        /// The connection was lost after it was written.
        Lost(why: String) {
            display("lost: {}", why)
        }
    }
}

type Sender = http1::SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    since: Instant,
}

/// Connections that wait for a request, by address.
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    from: Option<IpAddr>,
    connect: Duration,
}

/// A connection that serves a request.
pub struct Lane {
    pool: Arc<Pool>,
    address: SocketAddr,
    sender: Sender,
}

impl Lane {
    /// The answer was read whole: the connection may serve another request.
    pub fn give_back(self, now: Instant) {
        if self.sender.is_closed() {
            return;
        }
        let mut idle = self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(self.address).or_default().push(Idle { sender: self.sender, since: now });
    }
}

impl Pool {
    /// No connections; they will be made from the address `from`, each within `connect`.
    pub fn new(from: Option<IpAddr>, connect: Duration) -> Self {
        Self { idle: Mutex::default(), from, connect }
    }

    /// Sends one request, on a connection that has been idle for less than `fresh` or on a new one.
    pub async fn send(
        self: &Arc<Self>,
        to: SocketAddr,
        mut request: Request<Full<Bytes>>,
        fresh: Duration,
        now: Instant,
    ) -> Result<(Response<Incoming>, Lane), SendError> {
        loop {
            let (mut sender, reused) = match self.take(to, fresh, now) {
                Some(sender) => (sender, true),
                None => (self.open(to).await?, false),
            };
            if let Err(err) = sender.ready().await {
                if reused {
                    continue;
                }
                return Err(SendError::Unsent(err.to_string()));
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok((response, Lane { pool: self.clone(), address: to, sender }));
                }
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(SendError::Unsent(describe(&failed.into_error()))),
                    None => return Err(SendError::Lost(describe(&failed.into_error()))),
                },
            }
        }
    }

    /// Closes the connections to an address.
    pub fn close(&self, to: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&to);
    }

    /// Closes connections that have been idle for longer than `longest`.
    pub fn sweep(&self, longest: Duration, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for lanes in idle.values_mut() {
            lanes.retain(|lane| {
                !lane.sender.is_closed() && now.saturating_duration_since(lane.since) < longest
            });
        }
        idle.retain(|_, lanes| !lanes.is_empty());
    }

    /// The connection that was used last; the others grow old and are closed.
    fn take(&self, to: SocketAddr, fresh: Duration, now: Instant) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let lanes = idle.get_mut(&to)?;
        while let Some(lane) = lanes.pop() {
            if now.saturating_duration_since(lane.since) >= fresh {
                lanes.clear();
                return None;
            }
            if !lane.sender.is_closed() {
                return Some(lane.sender);
            }
        }
        None
    }

    async fn open(&self, to: SocketAddr) -> Result<Sender, SendError> {
        let unsent = |why: String| SendError::Unsent(why);
        let stream = socket::connect(self.from, to, self.connect)
            .await
            .map_err(|err| unsent(err.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_LARGEST)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| unsent(err.to_string()))?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

fn describe(err: &hyper::Error) -> String {
    let source = std::error::Error::source(err);
    source.map_or(err.to_string(), |source| format!("{err}: {source}"))
}
