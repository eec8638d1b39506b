//! Connections of clients: their number is bounded, and a request head has to be complete soon after its first byte.
//!
//! hyper's own timeout for heads covers the idle time before them, too, so that the stream of a connection watches this.

use std::collections::HashMap;
use std::io;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Sleep;
use units::Clock;

use super::shared::lock;
use crate::decide::clients::{self, Phase};

/// Bytes that are read from a connection at once.
const READ_BYTES: usize = 8 << 10;

/// What a connection is doing, and since when.
#[derive(Debug)]
struct Activity {
    phase: Phase,
    since: Instant,
}

/// A connection of a client.
pub struct Connection {
    activity: Mutex<Activity>,
    /// Closes the connection.
    close: Notify,
}

impl Connection {
    /// Notes that a request begins or ends.
    pub fn set_phase(&self, phase: Phase, now: Instant) {
        *lock(&self.activity) = Activity { phase, since: now };
    }

    /// Completes when the connection has to be closed for another.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

/// The connections that clients have.
#[derive(Default)]
pub struct Connections {
    open: Mutex<HashMap<u64, Arc<Connection>>>,
    /// Connections that have a descriptor: those that are open, and those that are about to close.
    alive: AtomicUsize,
    /// Notified when a descriptor is closed.
    closed: Notify,
}

/// A connection among those that are open, until dropped.
pub struct Registered {
    connections: Arc<Connections>,
    id: u64,
    /// The connection.
    pub connection: Arc<Connection>,
}

impl Connections {
    /// Adds a connection; closes another one for it if there are `limit` of them, and refuses it if all are busy.
    pub fn register(
        self: &Arc<Self>,
        id: u64,
        limit: Option<usize>,
        now: Instant,
    ) -> Option<Registered> {
        let mut open = lock(&self.open);
        if limit.is_some_and(|limit| open.len() >= limit) {
            let states = open.iter().map(|(id, connection)| {
                let activity = lock(&connection.activity);
                (*id, activity.phase, activity.since)
            });
            let victim = clients::longest_unused(states)?;
            if let Some(connection) = open.remove(&victim) {
                connection.close.notify_one();
            }
        }
        let activity = Mutex::new(Activity { phase: Phase::Idle, since: now });
        let connection = Arc::new(Connection { activity, close: Notify::new() });
        open.insert(id, connection.clone());
        self.alive.fetch_add(1, Ordering::Relaxed);
        Some(Registered { connections: self.clone(), id, connection })
    }

    /// Waits until connections that were closed for others have released their descriptors.
    pub async fn settle(&self, limit: Option<usize>) {
        loop {
            let mut closed = pin!(self.closed.notified());
            // One that closes between the check and the wait counts, too.
            closed.as_mut().enable();
            if limit.is_none_or(|limit| self.alive.load(Ordering::Relaxed) <= limit) {
                return;
            }
            closed.await;
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        lock(&self.connections.open).remove(&self.id);
        self.connections.alive.fetch_sub(1, Ordering::Relaxed);
        self.connections.closed.notify_waiters();
    }
}

/// Stream of a client's connection; a read fails when a head isn't complete in time.
pub struct ClientStream<C: Clock> {
    stream: TokioIo<TcpStream>,
    connection: Arc<Connection>,
    head_timeout: Duration,
    /// When the head that has begun has to be complete.
    timer: Option<Pin<Box<Sleep>>>,
    clock: C,
}

impl<C: Clock> ClientStream<C> {
    /// Watches a stream.
    pub fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        head_timeout: Duration,
        clock: C,
    ) -> Self {
        Self { stream: TokioIo::new(stream), connection, head_timeout, timer: None, clock }
    }

    /// Fails if the head that has begun is late.
    fn check_head(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if lock(&self.connection.activity).phase != Phase::Head {
            self.timer = None;
            return Ok(());
        }
        let until = (self.clock.now() + self.head_timeout).into();
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }
}

// Nothing in it is pinned in place.
impl<C: Clock> Unpin for ClientStream<C> {}

impl<C: Clock> Read for ClientStream<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.check_head(cx)?;
        let mut bytes = [0; READ_BYTES];
        let room = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(&mut bytes[..room]);
        ready!(Pin::new(&mut this.stream).poll_read(cx, part.unfilled()))?;
        buffer.put_slice(part.filled());
        if !part.filled().is_empty() {
            let now = this.clock.now();
            let mut activity = lock(&this.connection.activity);
            if activity.phase == Phase::Idle {
                *activity = Activity { phase: Phase::Head, since: now };
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<C: Clock> Write for ClientStream<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.note_written();
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, buffers))?;
        self.note_written();
        Poll::Ready(Ok(written))
    }
}

impl<C: Clock> ClientStream<C> {
    /// A connection to which an answer is being written is in use, though its request has been handled.
    fn note_written(&self) {
        lock(&self.connection.activity).since = self.clock.now();
    }
}
