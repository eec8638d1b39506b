//! Pool of HTTP/1.1 connections to upstreams and other nodes; each connection carries one request at a time.
//!
//! A request is retried here only if it was not written because a reused connection had been closed. Errors tell
//! whether the request was written: only then may it have run.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bounds::RequestBody;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::sync::Notify;

use super::socket;

const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// Bytes of responses and requests that the kernel keeps for a connection; it takes about twice as much.
const RECEIVE_BUFFER_BYTES: usize = 128 << 10;
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Most interim responses (1xx) to one request; a server that sends them without end would keep the node's core busy.
const MAX_INTERIM_RESPONSES: u32 = 16;

quick_error! {
    /// Why a request got no response.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of the request was written.
        NotSent(reason: String) {
            display("request not sent: {}", reason)
        }
        /// The connection was lost after the request was written.
        ConnectionLost(reason: String) {
            display("connection lost after the request was sent: {}", reason)
        }
        /// No byte of the request was written, as there are too many connections.
        Exhausted {
            display("request not sent: too many connections")
        }
    }
}

type Sender = http1::SendRequest<RequestBody>;

struct Idle {
    sender: Sender,
    since: Instant,
    /// Longest idle time that the server announced.
    keep_alive: Duration,
}

impl Idle {
    fn is_usable(&self, max_idle: Duration, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.since);
        idle < max_idle.min(self.keep_alive) && !self.sender.is_closed()
    }
}

/// Idle connections by address.
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    local_address: Option<IpAddr>,
    connect_timeout: Duration,
    /// Connections that are open, and how many may be.
    open: Arc<AtomicUsize>,
    limit: Option<usize>,
}

/// Counts a connection as open until dropped.
struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection that is carrying a request.
pub struct PooledConnection {
    pool: Arc<Pool>,
    address: SocketAddr,
    sender: Sender,
    reused: bool,
}

impl PooledConnection {
    /// Whether it carried other requests before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to the pool, once the response has been read completely.
    pub fn release(self, now: Instant) {
        self.release_for(Duration::MAX, now);
    }

    /// Returns the connection to the pool, which keeps it for less than `keep_alive`.
    pub fn release_for(self, keep_alive: Duration, now: Instant) {
        if self.sender.is_closed() {
            return;
        }
        let mut idle = self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(self.address).or_default().push(Idle {
            sender: self.sender,
            since: now,
            keep_alive,
        });
    }
}

impl Pool {
    /// An empty pool that connects from `local_address`, within `connect_timeout`.
    pub fn new(local_address: Option<IpAddr>, connect_timeout: Duration) -> Self {
        let (idle, open) = (Mutex::default(), Arc::default());
        Self { idle, local_address, connect_timeout, open, limit: None }
    }

    /// The same with at most `limit` connections.
    pub fn with_limit(self, limit: Option<usize>) -> Self {
        Self { limit, ..self }
    }

    /// Sends a request on a connection that has been idle for less than `max_idle`, or on a new one.
    pub async fn send(
        self: &Arc<Self>,
        to: SocketAddr,
        mut request: Request<RequestBody>,
        max_idle: Duration,
        now: Instant,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let excess = limit_interim_responses(&mut request);
        loop {
            let (mut sender, reused) = match self.take_idle(to, max_idle, now) {
                Some(sender) => (sender, true),
                None => (self.connect(to).await?, false),
            };
            if let Err(err) = sender.ready().await {
                if reused {
                    continue;
                }
                return Err(SendError::NotSent(err.to_string()));
            }
            let sent = tokio::select! {
                sent = sender.try_send_request(request) => sent,
                () = excess.notified() => {
                    let reason = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
                    return Err(SendError::ConnectionLost(reason));
                }
            };
            match sent {
                Ok(response) => {
                    let pool = self.clone();
                    return Ok((response, PooledConnection { pool, address: to, sender, reused }));
                }
                Err(mut err) => match err.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(SendError::NotSent(error_text(&err.into_error()))),
                    None => return Err(SendError::ConnectionLost(error_text(&err.into_error()))),
                },
            }
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, to: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&to);
    }

    /// Closes connections that have been idle for `max_idle` or longer.
    pub fn close_expired(&self, max_idle: Duration, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_usable(max_idle, now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Takes the most recently used idle connection, so that surplus ones expire.
    fn take_idle(&self, to: SocketAddr, max_idle: Duration, now: Instant) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&to)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(max_idle, now) {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Counts a new connection, for which an idle one is closed at the limit.
    fn count(&self) -> Result<Open, SendError> {
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        let open = Open(self.open.clone());
        let exhausted = self.limit.is_some_and(|limit| before >= limit);
        if exhausted && !self.close_oldest_idle() { Err(SendError::Exhausted) } else { Ok(open) }
    }

    /// Closes the connection that has been idle for longest; false if there is none.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        // The first of each address is the oldest one.
        let first = |(to, connections): (&SocketAddr, &Vec<Idle>)| {
            connections.first().map(|connection| (connection.since, *to))
        };
        let oldest = idle.iter().filter_map(first).min();
        let Some(connections) = oldest.and_then(|(_, to)| idle.get_mut(&to)) else { return false };
        connections.remove(0);
        true
    }

    async fn connect(&self, to: SocketAddr) -> Result<Sender, SendError> {
        let open = self.count()?;
        let not_sent = |reason: String| SendError::NotSent(reason);
        let stream = socket::connect(self.local_address, to, self.connect_timeout)
            .await
            .map_err(|err| not_sent(err.to_string()))?;
        // Without the bound, the kernel would keep more than the memory of the machine for callers that don't read.
        let _ = bounds::socket::limit_receive_buffer(&stream, RECEIVE_BUFFER_BYTES);
        let _ = bounds::socket::limit_send_buffer(&stream, SEND_BUFFER_BYTES);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| not_sent(err.to_string()))?;
        tokio::spawn(async move {
            // The sender reports a failed connection.
            let _ = connection.await;
            drop(open);
        });
        Ok(sender)
    }
}

/// Counts the interim responses to a request; notifies when there are too many.
fn limit_interim_responses(request: &mut Request<RequestBody>) -> Arc<Notify> {
    let excess = Arc::new(Notify::new());
    let (notify, count) = (excess.clone(), AtomicU32::new(0));
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            notify.notify_one();
        }
    });
    excess
}

fn error_text(err: &hyper::Error) -> String {
    let source = std::error::Error::source(err);
    source.map_or(err.to_string(), |source| format!("{err}: {source}"))
}
