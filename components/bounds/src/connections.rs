//! Connections of clients: their number and the sum of what they hold are bounded, a request head has to be complete soon
//! after its first byte, and a response has to be read.
//!
//! hyper's own timeout for heads covers the idle time before them, too, so that the stream of a connection watches this.

use std::collections::HashMap;
use std::io;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Sleep;
use units::Clock;

use crate::budget::{Budget, Holding};
use crate::choice::{
    self, Activity, CONNECTION_BYTES, HEAD_BYTES, PROGRESS_BYTES, Phase, QUEUE_BYTES,
    SHORT_HEAD_BYTES,
};
use crate::ledger::Use;
use crate::{lock, socket};

/// Bytes that are read from a connection at once.
const READ_BYTES: usize = 8 << 10;

/// Receive buffer of a connection if there is memory for it. Smaller ones make loopback slow, whose segments are of this
/// size.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Send buffer of such a connection once its client doesn't take a response at once.
const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Bytes that are written at once: the kernel takes them whole, however small the queue is.
const WRITE_BYTES: usize = 16 << 10;
/// Time without any progress after which a connection is closed whose client doesn't read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval in which a bound that is met again and again is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Why a connection is refused or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Bound {
    /// Number of connections.
    Connections,
    /// Memory of what clients make the node hold.
    Memory,
    /// Number of connections of other nodes.
    PeerConnections,
    /// Number of connections to other nodes.
    Outgoing,
    /// Time for a request head.
    HeadTime,
    /// Size of a request head.
    HeadSize,
    /// Time without progress in reading a response.
    Unread,
}

impl Bound {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::PeerConnections => "peer-connections",
            Self::Outgoing => "outgoing-connections",
            Self::HeadTime => "head-time",
            Self::HeadSize => "head-size",
            Self::Unread => "unread-response",
        }
    }
}

/// When the bounds were logged.
#[derive(Default)]
pub struct LoggedBounds(Mutex<HashMap<Bound, (Instant, u64)>>);

impl LoggedBounds {
    /// Notes that a bound was met; the number of times since the last line if one is due.
    pub fn record(&self, bound: Bound, now: Instant) -> Option<u64> {
        let mut logged = lock(&self.0);
        let Some((at, count)) = logged.get_mut(&bound) else {
            logged.insert(bound, (now, 0));
            return Some(1);
        };
        *count += 1;
        if now.saturating_duration_since(*at) < LOG_INTERVAL {
            return None;
        }
        *at = now;
        Some(std::mem::take(count))
    }
}

/// A connection of a client.
pub struct Connection {
    activity: Mutex<Activity>,
    /// What it may hold.
    memory: Holding,
    /// Closes the connection for others, at this bound.
    close: Notify,
    close_reason: Mutex<Option<Bound>>,
    /// Whether what was written and not read is discarded when it is closed.
    reset: AtomicBool,
    /// The bound at which it ended by itself.
    ended: Mutex<Option<Bound>>,
    requests: Mutex<Requests>,
}

impl Connection {
    /// Notes that a request, or a part of it, begins or ends.
    pub fn set_phase(&self, phase: Phase, now: Instant) {
        let mut activity = lock(&self.activity);
        // A response has been handed over.
        activity.used |= activity.phase == Phase::Busy && phase == Phase::Idle;
        activity.phase = phase;
        activity.since = now;
    }

    /// Counts a request among those on a connection that carries several at once; `complete` if it has no body to come.
    pub fn begin_request(self: &Arc<Self>, complete: bool, now: Instant) -> OpenRequest {
        let mut first = false;
        self.count(now, |requests| {
            requests.open += 1;
            requests.complete += usize::from(complete);
            first = !requests.has_first;
            requests.has_first = true;
        });
        OpenRequest {
            connection: self.clone(),
            first,
            complete: AtomicBool::new(complete),
            ended: AtomicBool::new(false),
            began: now,
        }
    }

    /// Changes the number of requests. While one of them is handled, the connection is not closed for others.
    fn count(&self, now: Instant, change: impl FnOnce(&mut Requests)) {
        let mut requests = lock(&self.requests);
        change(&mut requests);
        let phase = match *requests {
            Requests { open: 0, .. } => Phase::Idle,
            Requests { complete: 0, .. } => Phase::Body,
            Requests { .. } => Phase::Busy,
        };
        if lock(&self.activity).phase != phase {
            self.set_phase(phase, now);
        }
    }

    /// The bound at which its stream has failed.
    pub fn ended_by(&self) -> Option<Bound> {
        *lock(&self.ended)
    }

    /// Completes when the connection has to be closed for others; the bound that was met.
    pub async fn closed(&self) -> Bound {
        self.close.notified().await;
        lock(&self.close_reason).unwrap_or(Bound::Connections)
    }
}

/// Requests on a connection that carries several at once.
#[derive(Debug, Default)]
struct Requests {
    open: usize,
    /// Those of them whose body has arrived.
    complete: usize,
    /// Whether one of them takes what is held for the first one.
    has_first: bool,
}

/// A request on a connection that carries several at once; open until it ends or is dropped.
pub struct OpenRequest {
    connection: Arc<Connection>,
    first: bool,
    complete: AtomicBool,
    ended: AtomicBool,
    began: Instant,
}

impl OpenRequest {
    /// Whether the connection holds memory for it.
    pub fn is_first(&self) -> bool {
        self.first
    }

    /// The whole body has arrived.
    pub fn complete(&self, now: Instant) {
        if !self.complete.swap(true, Ordering::Relaxed) {
            self.connection.count(now, |requests| requests.complete += 1);
        }
    }

    /// The request has been answered.
    pub fn end(&self, now: Instant) {
        if self.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        let complete = usize::from(self.complete.load(Ordering::Relaxed));
        self.connection.count(now, |requests| {
            requests.open -= 1;
            requests.complete -= complete;
            requests.has_first &= !self.first;
        });
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        // One that its client has cancelled is no progress.
        self.end(self.began);
    }
}

/// The connections that clients have.
pub struct Connections {
    open: Mutex<HashMap<u64, Arc<Connection>>>,
    /// Connections that have a descriptor: those that are open, and those that are about to close.
    alive: AtomicUsize,
    /// Notified when a descriptor is closed.
    closed: Notify,
    memory: Arc<Budget>,
}

/// A connection among those that are open, until dropped.
pub struct Registered {
    connections: Arc<Connections>,
    id: u64,
    /// The connection.
    pub connection: Arc<Connection>,
}

impl Connections {
    /// No connections, which share a byte budget.
    pub fn new(memory: Arc<Budget>) -> Self {
        Self { open: Mutex::default(), alive: AtomicUsize::new(0), closed: Notify::new(), memory }
    }

    /// Adds a connection; closes others for it if there are `limit` of them, or no memory is left, and refuses it if all
    /// are busy.
    pub fn register(
        self: &Arc<Self>,
        id: u64,
        limit: Option<usize>,
        now: Instant,
    ) -> Result<Registered, Bound> {
        let mut open = lock(&self.open);
        if limit.is_some_and(|limit| open.len() >= limit)
            && !close_one(&mut open, Bound::Connections, now)
        {
            return Err(Bound::Connections);
        }
        let memory = self.memory.holding(Use::Connection);
        if !memory.try_grow(CONNECTION_BYTES) {
            if !close_one(&mut open, Bound::Memory, now) {
                return Err(Bound::Memory);
            }
            memory.force(CONNECTION_BYTES);
        }
        let connection = Arc::new(Connection {
            activity: Mutex::new(Activity::new(now)),
            memory,
            close: Notify::new(),
            close_reason: Mutex::default(),
            reset: AtomicBool::new(false),
            ended: Mutex::default(),
            requests: Mutex::default(),
        });
        open.insert(id, connection.clone());
        self.alive.fetch_add(1, Ordering::Relaxed);
        Ok(Registered { connections: self.clone(), id, connection })
    }

    /// Waits until connections that were closed for others have released their descriptors and their memory.
    pub async fn settle(&self) {
        loop {
            let mut closed = pin!(self.closed.notified());
            // One that closes between the check and the wait counts, too.
            closed.as_mut().enable();
            if !self.is_closing() {
                return;
            }
            closed.await;
        }
    }

    /// Waits until a response may take `bytes`, for which connections are closed that are not in use; false if they are not
    /// available at `until`.
    pub async fn hold(
        &self,
        holding: &Holding,
        bytes: u64,
        until: Instant,
        clock: &impl Clock,
    ) -> bool {
        loop {
            if holding.try_grow(bytes) {
                return true;
            }
            let now = clock.now();
            if now >= until {
                return false;
            }
            // Those that were closed before may be enough.
            if !self.is_closing() {
                close_one(&mut lock(&self.open), Bound::Memory, now);
            }
            self.memory.changed().await;
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Whether connections that were closed for others still have their descriptors.
    fn is_closing(&self) -> bool {
        self.alive.load(Ordering::Relaxed) > self.count()
    }
}

/// Closes the connection that is least in use; false if all are busy.
fn close_one(open: &mut HashMap<u64, Arc<Connection>>, bound: Bound, now: Instant) -> bool {
    let states = open.iter().map(|(id, connection)| (*id, *lock(&connection.activity)));
    let Some(connection) = choice::to_close(states, now).and_then(|id| open.remove(&id)) else {
        return false;
    };
    connection.reset.store(true, Ordering::Relaxed);
    *lock(&connection.close_reason) = Some(bound);
    connection.close.notify_one();
    true
}

impl Registered {
    /// Counts further memory, for which another connection is closed if none is left; false if all are busy.
    pub fn grow(&self, bytes: u64, now: Instant) -> bool {
        if self.connection.memory.try_grow(bytes) {
            return true;
        }
        let closed = close_one(&mut lock(&self.connections.open), Bound::Memory, now);
        if closed {
            self.connection.memory.force(bytes);
        }
        closed
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        lock(&self.connections.open).remove(&self.id);
        self.connections.alive.fetch_sub(1, Ordering::Relaxed);
        self.connections.closed.notify_waiters();
    }
}

/// Stream of a client's connection; it fails when a head isn't complete in time, or a response isn't read.
pub struct ClientStream<C: Clock> {
    stream: TokioIo<TcpStream>,
    registered: Registered,
    head_timeout: Option<Duration>,
    /// Bytes of the head that has begun, and of the body since the latest progress.
    head_bytes: usize,
    body_bytes: usize,
    /// Whether the memory of large queues is counted.
    large_queues: bool,
    /// Whether the send queue has its size.
    large_sends: bool,
    /// Whether the memory of a long head is counted, which it is until the connection is closed.
    long_head: bool,
    /// When the head that has begun has to be complete.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// When the client has to have read something.
    write_timer: Option<Pin<Box<Sleep>>>,
    clock: C,
}

impl<C: Clock> ClientStream<C> {
    /// Watches a stream; the time for a head may be watched by others.
    pub fn new(
        stream: TcpStream,
        registered: Registered,
        head_timeout: Option<Duration>,
        clock: C,
    ) -> Self {
        let large_queues = registered.connection.memory.try_grow_spare(QUEUE_BYTES);
        if large_queues {
            // Fails only on a closed connection, which the first read reports.
            let _ = socket::limit_receive_buffer(&stream, RECEIVE_BUFFER_BYTES);
        }
        Self {
            stream: TokioIo::new(stream),
            registered,
            head_timeout,
            head_bytes: 0,
            body_bytes: 0,
            large_queues,
            large_sends: false,
            long_head: false,
            head_timer: None,
            write_timer: None,
            clock,
        }
    }

    fn connection(&self) -> &Connection {
        &self.registered.connection
    }

    /// Ends the connection at a bound.
    fn end(&self, bound: Bound) -> io::Error {
        *lock(&self.connection().ended) = Some(bound);
        io::ErrorKind::TimedOut.into()
    }

    /// Fails if the head that has begun is late.
    fn check_head(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if lock(&self.connection().activity).phase != Phase::Head {
            self.head_timer = None;
            return Ok(());
        }
        let Some(head_timeout) = self.head_timeout else { return Ok(()) };
        let until = (self.clock.now() + head_timeout).into();
        let timer =
            self.head_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Err(self.end(Bound::HeadTime)),
            Poll::Pending => Ok(()),
        }
    }

    /// Notes bytes that have arrived.
    fn note_read(&mut self, bytes: usize) -> io::Result<()> {
        let now = self.clock.now();
        let mut activity = lock(&self.registered.connection.activity);
        match activity.phase {
            Phase::Idle => {
                activity.phase = Phase::Head;
                activity.since = now;
                (self.head_bytes, self.body_bytes) = (bytes, 0);
            }
            Phase::Head => self.head_bytes += bytes,
            Phase::Body => {
                self.body_bytes += bytes;
                if self.body_bytes >= PROGRESS_BYTES {
                    activity.since = now;
                    self.body_bytes = 0;
                }
            }
            Phase::Busy => {}
        }
        drop(activity);
        if self.head_bytes <= SHORT_HEAD_BYTES || self.long_head {
            return Ok(());
        }
        self.long_head = true;
        match self.registered.grow(HEAD_BYTES, now) {
            true => Ok(()),
            false => Err(self.end(Bound::Memory)),
        }
    }

    /// Notes the result of a write. A connection to which a response is being written is in use, though its request has been
    /// handled.
    fn note_written<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        let now = self.clock.now();
        let mut activity = lock(&self.registered.connection.activity);
        if written.is_ready() {
            activity.since = now;
            activity.blocked = false;
            self.write_timer = None;
            return written;
        }
        if !activity.blocked {
            activity.since = now;
            activity.blocked = true;
        }
        drop(activity);
        if self.large_queues && !self.large_sends {
            self.large_sends = true;
            // Fails only on a closed connection, which the next write reports.
            let _ = socket::limit_send_buffer(self.stream.inner(), SEND_BUFFER_BYTES);
        }
        let until = (now + WRITE_TIMEOUT).into();
        let timer =
            self.write_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.connection().reset.store(true, Ordering::Relaxed);
        Poll::Ready(Err(self.end(Bound::Unread)))
    }
}

impl<C: Clock> Drop for ClientStream<C> {
    fn drop(&mut self) {
        if self.connection().reset.load(Ordering::Relaxed) {
            // What its client doesn't read would stay with the kernel otherwise. Fails only on a closed connection.
            let _ = socket::reset_on_close(self.stream.inner());
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
            this.note_read(part.filled().len())?;
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
        let size = if self.large_queues { bytes.len() } else { bytes.len().min(WRITE_BYTES) };
        let written = Pin::new(&mut self.stream).poll_write(cx, &bytes[..size]);
        self.note_written(written, cx)
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
        if !self.large_queues
            && buffers.iter().map(|buffer| buffer.len()).sum::<usize>() > WRITE_BYTES
        {
            // The first buffer may be a short head, which is written with what follows it.
            let mut bytes = Vec::with_capacity(WRITE_BYTES);
            for buffer in buffers {
                let room = WRITE_BYTES - bytes.len();
                bytes.extend_from_slice(&buffer[..buffer.len().min(room)]);
            }
            return self.poll_write(cx, &bytes);
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.note_written(written, cx)
    }
}
