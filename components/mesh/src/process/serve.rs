//! HTTP listeners: for callers and the upstream, for other nodes, and for control endpoints.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bounds::choice::{Phase, max_connections};
use bounds::connections::{Bound, ClientStream};
use bounds::{Budget, RequestBody};
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::peer_connections::Counted;
use super::shared::Shared;
use super::{announced, exchange, quotas, relay};
use crate::connection::socket;
use crate::platform::Platform;
use crate::request::body::Payload;
use crate::request::call::{self, Header, RequestHead};
use crate::request::outcome::{self, Outcome, Refusal, RefusalReason};
use crate::request::peer::LoadReport;
use crate::request::received::{self, Bounds, ReadError};
use crate::request::{entry, guard, intake};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Length of the queue of connections to accept.
const BACKLOG: u32 = 1_024;
/// Shortest idle timeout of a caller's connection, even if a shorter one is configured: a new connection costs callers
/// more than an idle one.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Limits on request heads while there is no configuration.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Smallest buffer that hyper accepts for a connection.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Part of the buffer besides the largest head: hyper refuses a head that fills the buffer, and one may be preceded by
/// empty lines.
const HEAD_MARGIN_BYTES: usize = 1 << 10;
/// Queues of the kernel for a client's connection, so that a thousand of them take a bounded part of the memory.
const CLIENT_RECEIVE_BYTES: usize = 8 << 10;
const CLIENT_SEND_BYTES: usize = 16 << 10;
/// Receive queue for a connection of another node, so that bodies that wait for bytes take a bounded part of the memory.
const PEER_RECEIVE_BYTES: usize = 128 << 10;
/// Buffer for what another node sends at once, head or body.
const PEER_BUFFER_BYTES: usize = 64 << 10;
/// Time in which the body of a message from another node has to arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the rest of a body is read that was discarded, so that the entry gets the refusal.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Largest body of a call or message from another node.
const MAX_BODY_BYTES: usize = 80 << 20;

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clients {
    /// Callers, and the upstream beside the node.
    Callers,
    /// Other nodes.
    Nodes,
}

/// Binds a listener.
pub fn bind(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Binds the listener for these clients.
pub fn bind_for(clients: Clients, address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    match clients {
        Clients::Callers => {
            bounds::socket::limit_queues(&socket, CLIENT_RECEIVE_BYTES, Some(CLIENT_SEND_BYTES))?;
        }
        Clients::Nodes => bounds::socket::limit_queues(&socket, PEER_RECEIVE_BYTES, None)?,
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until stopped; returns when the last request is answered, or connections are closed.
pub async fn listen<P: Platform>(
    shared: Arc<Shared<P>>,
    clients: Clients,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut accepted_connections = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                accepted_connections += 1;
                match clients {
                    Clients::Callers => {
                        serve_client(shared.clone(), accepted_connections, stream, &graceful);
                        shared.clients.settle().await;
                    }
                    Clients::Nodes => {
                        serve_node(shared.clone(), stream, &graceful);
                        shared.peer_connections.settle().await;
                    }
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_node<P: Platform>(shared: Arc<Shared<P>>, stream: TcpStream, graceful: &GracefulShutdown) {
    // Fails only on a closed connection, which the first read reports.
    let _ = socket::set_options(&stream);
    let state = shared.clone();
    let counted = Arc::new(shared.peer_connections.add());
    let service = service_fn(move |request| {
        let (shared, counted) = (shared.clone(), counted.clone());
        async move { Ok::<_, Infallible>(handle_message(shared, request, &counted).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(PEER_BUFFER_BYTES);
    let connection = graceful.watch(builder.serve_connection(TokioIo::new(stream), service));
    tokio::spawn(async move {
        // A failed connection is not reported: each request on it has its own outcome.
        let _ = state.shutdown.until_closed(connection).await;
    });
}

/// Serves a connection of a caller or the upstream; `id` is different for each of them.
fn serve_client<P: Platform>(
    shared: Arc<Shared<P>>,
    id: u64,
    stream: TcpStream,
    graceful: &GracefulShutdown,
) {
    let limit = shared.settings.descriptors.map(max_connections);
    let registered = match shared.clients.register(id, limit, shared.now()) {
        Ok(registered) => registered,
        Err(bound) => return shared.record_bound(bound),
    };
    // Fails only on a closed connection, which the first read reports.
    let _ = stream.set_nodelay(true);
    let limits = shared.configuration().map(|active| active.limits);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes);
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.head_timeout);
    let idle_timeout =
        limits.map_or(MIN_IDLE_TIMEOUT, |limits| limits.idle_timeout.max(MIN_IDLE_TIMEOUT));
    let clock = shared.platform.clock().clone();
    let connection = registered.connection.clone();
    let stream = ClientStream::new(stream, registered, Some(head_timeout), clock);
    let (state, watched) = (shared.clone(), connection.clone());
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (shared, connection) = (shared.clone(), connection.clone());
        async move {
            if request.body().is_end_stream() {
                connection.set_phase(Phase::Busy, shared.now());
            } else {
                connection.set_phase(Phase::Body, shared.now());
                request.extensions_mut().insert(connection.clone());
            }
            let response = handle_request(shared.clone(), request).await;
            connection.set_phase(Phase::Idle, shared.now());
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES).saturating_add(HEAD_MARGIN_BYTES));
    let served = graceful.watch(builder.serve_connection(stream, service));
    tokio::spawn(async move {
        // A failed connection is not reported: each request on it has its own outcome.
        tokio::select! {
            ended = state.shutdown.until_closed(served) => {
                let large_head =
                    matches!(&ended, Some(Err(err)) if err.is_parse_too_large());
                let bound = large_head.then_some(Bound::HeadSize).or(watched.ended_by());
                if let Some(bound) = bound {
                    state.record_bound(bound);
                }
            }
            bound = watched.closed() => state.record_bound(bound),
        }
    });
}

/// Handles a request of a caller or the upstream.
async fn handle_request<P: Platform>(
    shared: Arc<Shared<P>>,
    request: Request<Incoming>,
) -> Response<Payload<P>> {
    let mut response = entry::handle(shared.clone(), request).await;
    if *shared.stopping.borrow() {
        call::set_header(response.headers_mut(), header::CONNECTION, "close");
    }
    response
}

/// Handles what another node sends: a call or a message.
async fn handle_message<P: Platform>(
    shared: Arc<Shared<P>>,
    request: Request<Incoming>,
    connection: &Counted,
) -> Response<Payload<P>> {
    match request.uri().path() {
        // A call has the path of its client's request, which may be that of a message. Every entry sets this header on
        // calls, and removes it from what clients send.
        _ if request.headers().contains_key(&call::CALL) && connection.is_surplus() => {
            refuse_call(&shared, request).await
        }
        _ if request.headers().contains_key(&call::CALL) => handle_call(&shared, request).await,
        exchange::PATH => {
            let Some(body) = read_message(&shared, request.into_body()).await else {
                return Payload::empty(StatusCode::BAD_REQUEST);
            };
            match exchange::answer(&shared, &body) {
                Some(answer) => Response::new(Payload::buffered(answer)),
                None => Payload::empty(StatusCode::BAD_REQUEST),
            }
        }
        quotas::PATH => {
            let body = read_message(&shared, request.into_body()).await;
            match body.and_then(|body| quotas::answer(&shared, &body)) {
                Some(answer) => Response::new(Payload::buffered(answer)),
                None => Payload::empty(StatusCode::BAD_REQUEST),
            }
        }
        relay::PATH => {
            let (parts, incoming) = request.into_parts();
            if let Some(revision) = relay::newer_revision(&shared, &parts.headers) {
                let Some(body) = read_message(&shared, incoming).await else {
                    return Payload::empty(StatusCode::BAD_REQUEST);
                };
                relay::receive(&shared, &parts.headers, &revision, &body);
            }
            Payload::empty(StatusCode::OK)
        }
        _ => Payload::empty(StatusCode::BAD_REQUEST),
    }
}

/// Reads a message from another node; `None` if it doesn't arrive whole in time.
async fn read_message<P: Platform>(shared: &Shared<P>, incoming: Incoming) -> Option<Bytes> {
    let deadline = shared.now() + MESSAGE_TIMEOUT;
    let bounds = Bounds { limit: MAX_BODY_BYTES, deadline, drain: Duration::ZERO };
    // Bodies of clients must not keep out what nodes tell each other.
    let unlimited = Arc::new(Budget::new(None));
    let body = received::read(incoming, bounds, &unlimited, shared.platform.clock()).await;
    body.ok().map(|body| body.to_bytes())
}

/// Reads a body from another node.
async fn read_body<P: Platform>(
    shared: &Shared<P>,
    incoming: Incoming,
    deadline: Instant,
) -> Result<RequestBody, ReadError> {
    let bounds = Bounds { limit: MAX_BODY_BYTES, deadline, drain: DRAIN_TIME };
    let body = received::read(incoming, bounds, &shared.bodies, shared.platform.clock()).await;
    intake::log_exhausted(shared);
    body
}

/// Refuses a call on a connection for which there is no descriptor: it has not run.
async fn refuse_call<P: Platform>(
    shared: &Arc<Shared<P>>,
    request: Request<Incoming>,
) -> Response<Payload<P>> {
    let arrived = shared.now();
    let id = request.headers().get(&shared.platform.headers().id).cloned();
    shared.record_bound(Bound::PeerConnections);
    // Whether the sender ends in time makes no difference.
    let _ = tokio::time::timeout(DRAIN_TIME, received::drain(request.into_body())).await;
    let outcome = Outcome::Refused(Refusal::new(RefusalReason::Connections));
    let mut response = respond(shared, outcome, arrived);
    if let Some(id) = id {
        response.headers_mut().insert(&shared.platform.headers().id, id);
    }
    call::set_header(response.headers_mut(), header::CONNECTION, "close");
    response
}

/// Handles a call from another node, as the guard.
async fn handle_call<P: Platform>(
    shared: &Arc<Shared<P>>,
    request: Request<Incoming>,
) -> Response<Payload<P>> {
    let now = shared.now();
    let (mut parts, incoming) = request.into_parts();
    let header: Option<Header> = call::parse_header(&parts.headers, &call::CALL);
    let id = parts.headers.get(&shared.platform.headers().id).cloned();
    let path = parts.uri.path_and_query().cloned();
    let (Some(header), Some(id), Some(path)) = (header, id, path) else {
        return Payload::empty(StatusCode::BAD_REQUEST);
    };
    let call = header.call(now);
    let body = read_body(shared, incoming, call.deadline);
    let body = match shared.shutdown.until_answering(body).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(ReadError::Late)) => Err(RefusalReason::BodyLate),
        Some(Err(ReadError::Discarded)) => Err(RefusalReason::BodyBudget),
        Some(Err(_)) => return Payload::empty(StatusCode::BAD_REQUEST),
        None => Err(RefusalReason::Stopping),
    };
    if let Some(notice) = call::parse_header(&parts.headers, &call::NOTICE) {
        announced::apply_notice(shared, &notice, "node");
    }
    parts.headers.remove(&call::CALL);
    parts.headers.remove(&call::NOTICE);
    parts.headers.remove(header::CONTENT_LENGTH);
    let head = RequestHead { method: parts.method, path, headers: parts.headers, id };
    let outcome = match body {
        Ok(body) => guard::serve(shared, &call, &head, &body).await,
        Err(reason) => Outcome::Refused(Refusal::new(reason)),
    };
    let mut response = respond(shared, outcome, now);
    response.headers_mut().insert(&shared.platform.headers().id, head.id);
    response
}

/// Turns an outcome into the response to another node.
fn respond<P: Platform>(
    shared: &Shared<P>,
    outcome: Outcome<P>,
    arrived: Instant,
) -> Response<Payload<P>> {
    let (header, mut response) = match outcome {
        Outcome::Answer { head, body, not_run } => {
            (outcome::Header::Answer(not_run), Response::from_parts(*head, body))
        }
        Outcome::Refused(refusal) => {
            (outcome::Header::Refused(refusal), Payload::empty(StatusCode::SERVICE_UNAVAILABLE))
        }
        Outcome::Failed(fault) => {
            (outcome::Header::Failed(fault), Payload::empty(StatusCode::BAD_GATEWAY))
        }
    };
    call::set_header(response.headers_mut(), call::OUTCOME, header);
    let now = shared.now();
    let guard_time = now.saturating_duration_since(arrived);
    let report = LoadReport { load: shared.limiter.load(now), guard_time };
    call::set_header(response.headers_mut(), call::LOAD, report);
    if let Some(notice) = announced::notice(shared) {
        call::set_header(response.headers_mut(), call::NOTICE, notice);
    }
    let leaving = matches!(header, outcome::Header::Refused(refusal) if refusal.reason == RefusalReason::Leaving);
    let crowded = shared.peer_connections.is_crowded();
    if leaving || crowded || shared.leaving.load(Ordering::Relaxed) {
        call::set_header(response.headers_mut(), header::CONNECTION, "close");
    }
    response
}

/// Serves a control endpoint, whose responses are built in memory, until stopped.
pub async fn listen_control<F, Fut>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(MIN_IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // Clients of these endpoints reconnect and ask again.
            let _ = connection.await;
        });
    }
}
