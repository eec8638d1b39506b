//! HTTP listeners: for callers and the upstream, for other nodes, and for control endpoints.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::announced;
use super::shared::Shared;
use super::{exchange, quotas, relay};
use crate::connection::socket;
use crate::platform::Platform;
use crate::request::body::{self, Payload, ReadError};
use crate::request::call::{self, Header, RequestHead};
use crate::request::outcome::{self, Outcome, Refusal, RefusalReason};
use crate::request::peer::LoadReport;
use crate::request::{entry, guard};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Length of the queue of connections to accept.
const BACKLOG: u32 = 1_024;
/// Shortest idle timeout of a caller's connection, even if a shorter one is configured: a new connection costs callers
/// more than an idle one.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which the body of a message from another node has to arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
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

/// Accepts connections until stopped; returns when the last request is answered, or connections are closed.
pub async fn listen<P: Platform>(
    shared: Arc<Shared<P>>,
    clients: Clients,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(shared.clone(), clients, stream, &graceful),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection<P: Platform>(
    shared: Arc<Shared<P>>,
    clients: Clients,
    stream: TcpStream,
    graceful: &GracefulShutdown,
) {
    // Fails only on a closed connection, which the first read reports.
    let _ = match clients {
        Clients::Callers => stream.set_nodelay(true),
        Clients::Nodes => socket::set_options(&stream),
    };
    let limits = shared.configuration().map(|active| active.limits);
    let state = shared.clone();
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle(shared, clients, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    match clients {
        Clients::Callers => {
            let timeout =
                limits.map_or(MIN_IDLE_TIMEOUT, |limits| limits.idle_timeout.max(MIN_IDLE_TIMEOUT));
            builder.header_read_timeout(timeout);
        }
        Clients::Nodes => {
            builder.header_read_timeout(None);
        }
    }
    let connection = graceful.watch(builder.serve_connection(TokioIo::new(stream), service));
    tokio::spawn(async move {
        // A failed connection is not reported: each request on it has its own outcome.
        let _ = state.shutdown.until_closed(connection).await;
    });
}

async fn handle<P: Platform>(
    shared: Arc<Shared<P>>,
    clients: Clients,
    request: Request<Incoming>,
) -> Response<Payload<P>> {
    match clients {
        Clients::Callers => {
            let mut response = entry::handle(shared.clone(), request).await;
            if *shared.stopping.borrow() {
                call::set_header(response.headers_mut(), header::CONNECTION, "close");
            }
            response
        }
        Clients::Nodes if request.uri().path() == exchange::PATH => {
            let Some(body) = read_message(&shared, request.into_body()).await else {
                return Payload::empty(StatusCode::BAD_REQUEST);
            };
            match exchange::answer(&shared, &body) {
                Some(answer) => Response::new(Payload::buffered(answer)),
                None => Payload::empty(StatusCode::BAD_REQUEST),
            }
        }
        Clients::Nodes if request.uri().path() == quotas::PATH => {
            let body = read_message(&shared, request.into_body()).await;
            match body.and_then(|body| quotas::answer(&shared, &body)) {
                Some(answer) => Response::new(Payload::buffered(answer)),
                None => Payload::empty(StatusCode::BAD_REQUEST),
            }
        }
        Clients::Nodes if request.uri().path() == relay::PATH => {
            let (parts, incoming) = request.into_parts();
            if let Some(revision) = relay::newer_revision(&shared, &parts.headers) {
                let Some(body) = read_message(&shared, incoming).await else {
                    return Payload::empty(StatusCode::BAD_REQUEST);
                };
                relay::receive(&shared, &parts.headers, &revision, &body);
            }
            Payload::empty(StatusCode::OK)
        }
        Clients::Nodes => handle_call(&shared, request).await,
    }
}

/// Reads a message from another node; `None` if it doesn't arrive whole in time.
async fn read_message<P: Platform>(shared: &Shared<P>, incoming: Incoming) -> Option<Bytes> {
    let deadline = shared.now() + MESSAGE_TIMEOUT;
    body::read_request(incoming, MAX_BODY_BYTES, deadline).await.ok()
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
    let body = body::read_request(incoming, MAX_BODY_BYTES, call.deadline);
    let body = match shared.shutdown.until_answering(body).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(ReadError::Late)) => Err(RefusalReason::BodyLate),
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
    if leaving || shared.leaving.load(Ordering::Relaxed) {
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
