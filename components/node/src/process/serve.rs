//! The listeners of the request path: for callers, for the upstream, and for other nodes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bounds::connections::{Bound, ClientStream, Connection};
use bounds::ledger::Use;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use reservation::Key;
use serde::Deserialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use units::{Clock, ServiceName};
use verdict::{Reason, Refusal, Verdict};

use super::shared::Shared;
use super::upstream::LocalUpstream;
use crate::request::attempt::{Feedback, Head, HolderHeader, ReportHeader};
use crate::request::body::Payload;
use crate::request::context::Header;
use crate::request::prepare::Source;
use crate::request::{dispatch, headers, local};

const ANNOUNCE_PATH: &str = "/almondknot/announce";
const TICKET_PATH: &str = "/almondknot/ticket";
const MAX_ANNOUNCEMENT_BYTES: usize = 16 << 10;
/// Time in which a caller has to send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADERS_BYTES: u32 = 64 << 10;
/// Limits on connections of other nodes and of the upstream.
const MAX_STREAMS: u32 = 1_024;
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Limits on connections of callers.
const CALLER_STREAMS: u32 = 128;
const CALLER_WINDOW_BYTES: u32 = 64 << 10;
/// Queues of the kernel for a caller's connection.
const CALLER_RECEIVE_BYTES: usize = 8 << 10;
const CALLER_SEND_BYTES: usize = 16 << 10;
const BACKLOG: u32 = 1_024;
/// Most that a request of a caller takes: its head, and what is buffered of its body and its answer. It is held for one
/// request of each connection, so that those with many requests don't keep out others.
const REQUEST_BYTES: u64 = 192 << 10;

/// Clients of a listener.
#[derive(Debug, Clone, Copy)]
pub enum Clients {
    /// External callers.
    Callers,
    /// The local upstream.
    Upstream,
    /// Other nodes.
    Peers,
}

/// Accepts connections until stopped; returns when the last request is answered.
pub async fn listen<C: Clock>(
    shared: Arc<Shared<C>>,
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
        // The error concerns one connection only, or is a temporary lack of file descriptors.
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        match clients {
            Clients::Callers => {
                accepted_connections += 1;
                serve_caller(shared.clone(), accepted_connections, stream, from, &graceful);
                shared.clients.settle().await;
            }
            Clients::Upstream | Clients::Peers => {
                serve(shared.clone(), clients, stream, from, &graceful);
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve<C: Clock>(
    shared: Arc<Shared<C>>,
    clients: Clients,
    stream: TcpStream,
    from: SocketAddr,
    graceful: &GracefulShutdown,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle(shared, clients, from, request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADERS_BYTES)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(STREAM_WINDOW_BYTES * 4);
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A broken connection needs no handling here: each of its requests is handled on its own.
        let _ = watched.await;
    });
}

/// Binds the listener for callers, whose queues are bounded from the first byte on.
pub fn bind_callers(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    bounds::socket::limit_queues(&socket, CALLER_RECEIVE_BYTES, Some(CALLER_SEND_BYTES))?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves a connection of a caller; `id` is different for each of them.
fn serve_caller<C: Clock>(
    shared: Arc<Shared<C>>,
    id: u64,
    stream: TcpStream,
    from: SocketAddr,
    graceful: &GracefulShutdown,
) {
    let limit = Some(shared.settings.bounds.connections as usize);
    let registered = match shared.clients.register(id, limit, shared.clock.now()) {
        Ok(registered) => registered,
        Err(bound) => return shared.record_bound(bound),
    };
    if !registered.grow(REQUEST_BYTES, shared.clock.now()) {
        return shared.record_bound(Bound::Memory);
    }
    let _ = stream.set_nodelay(true);
    let connection = registered.connection.clone();
    let stream = ClientStream::new(stream, registered, None, shared.clock.clone());
    let (state, watched) = (shared.clone(), connection.clone());
    let service = service_fn(move |request| {
        let (shared, connection) = (shared.clone(), connection.clone());
        async move { Ok::<_, Infallible>(handle_caller(shared, &connection, from, request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADERS_BYTES as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(CALLER_STREAMS)
        .max_header_list_size(MAX_HEADERS_BYTES)
        .max_send_buf_size(CALLER_WINDOW_BYTES as usize)
        .initial_stream_window_size(CALLER_WINDOW_BYTES)
        .initial_connection_window_size(CALLER_WINDOW_BYTES * 4);
    let served = graceful.watch(builder.serve_connection(stream, service).into_owned());
    tokio::spawn(async move {
        tokio::select! {
            // A broken connection needs no handling here: each of its requests is handled on its own.
            _ = served => {
                if let Some(bound) = watched.ended_by() {
                    state.record_bound(bound);
                }
            }
            bound = watched.closed() => state.record_bound(bound),
        }
    });
}

/// Handles a request of a caller, if there is memory for it.
async fn handle_caller<C: Clock>(
    shared: Arc<Shared<C>>,
    connection: &Arc<Connection>,
    from: SocketAddr,
    mut request: Request<Incoming>,
) -> Response<Payload<C>> {
    let began = shared.clock.now();
    let open = Arc::new(connection.begin_request(request.body().is_end_stream(), began));
    request.extensions_mut().insert(open.clone());
    let memory = shared.memory.holding(Use::Connection);
    let response = if open.is_first() || memory.try_grow(REQUEST_BYTES) {
        let mut response = handle(shared.clone(), Clients::Callers, from, request).await;
        if let Payload::Stream { resources, .. } = response.body_mut() {
            resources.memory = Some(Box::new(memory));
        }
        response
    } else {
        shared.record_bound(Bound::Memory);
        let refusal = Refusal::not_run(Reason::Overloaded, &shared.settings.node);
        let refusal = refusal.retry_after(shared.admission.retry_after());
        dispatch::refusal_response(&shared, refusal)
    };
    open.end(shared.clock.now());
    response
}

/// Handles a request, unless the node has to exit first: the request may then have run.
async fn handle<C: Clock>(
    shared: Arc<Shared<C>>,
    clients: Clients,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    let mut ended = shared.ended.subscribe();
    tokio::select! {
        biased;
        response = handle_to_end(shared.clone(), clients, from, request) => response,
        // The channel is closed only together with `shared`.
        _ = ended.wait_for(|ended| *ended) => dispatch::refusal_response(
            &shared,
            Refusal::new(Verdict::MayHaveRun, Reason::Stopped, &shared.settings.node),
        ),
    }
}

async fn handle_to_end<C: Clock>(
    shared: Arc<Shared<C>>,
    clients: Clients,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    match clients {
        _ if request.uri().path() == TICKET_PATH && !matches!(clients, Clients::Peers) => {
            issue_ticket(&shared, &request)
        }
        Clients::Callers => dispatch::serve(shared, Source::Caller(from.ip()), request).await,
        Clients::Upstream if request.uri().path() == ANNOUNCE_PATH => {
            handle_announcement(&shared, request).await
        }
        Clients::Upstream => dispatch::serve(shared, Source::Upstream, request).await,
        Clients::Peers => handle_peer_call(&shared, request).await,
    }
}

/// Issues a ticket for one request of a service: `/almondknot/ticket?service=orders`.
fn issue_ticket<C: Clock>(shared: &Shared<C>, request: &Request<Incoming>) -> Response<Payload<C>> {
    let service: Option<ServiceName> = request
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("service="))
        .and_then(|name| name.parse().ok());
    let Some(service) = service else {
        return text_response(http::StatusCode::BAD_REQUEST, "expected ?service=NAME".to_owned());
    };
    let Some(target) = shared.choose_target(&service, &[]) else {
        return dispatch::refusal_response(
            shared,
            Refusal::not_run(Reason::NoUpstream, &shared.settings.node),
        );
    };
    let ticket = Key::Ticket {
        holder: target.holder(),
        issued_at: shared.unix_time(),
        nonce: rand::random(),
    };
    let mut response = text_response(
        http::StatusCode::OK,
        serde_json::json!({ "ticket": ticket.to_string() }).to_string(),
    );
    headers::set(response.headers_mut(), http::header::CONTENT_TYPE, "application/json");
    response
}

/// Handles a call from another node.
async fn handle_peer_call<C: Clock>(
    shared: &Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    let (mut parts, body) = request.into_parts();
    let now = shared.clock.now();
    let context = headers::parse::<Header>(&parts.headers, &headers::CONTEXT)
        .map(|header| header.context(now));
    let (Some(context), Some(path)) = (context, parts.uri.path_and_query().cloned()) else {
        return dispatch::refusal_response(
            shared,
            Refusal::not_run(Reason::Malformed, &shared.settings.node),
        );
    };
    parts.headers.remove(&headers::CONTEXT);
    let head = Head { method: parts.method, path, headers: parts.headers };
    let body = Payload::stream(body, Default::default());
    let mut exhausted = false;
    let (mut response, feedback) = match local::serve(shared, context, &head, body).await {
        Ok(answer) => (Response::from_parts(answer.head, answer.body), answer.feedback),
        Err(failed) => {
            exhausted = failed.refusal.no_retry;
            let mut response = dispatch::refusal_response(shared, failed.refusal);
            let map = response.headers_mut();
            if failed.crashed {
                headers::set(map, headers::CRASHED, 1);
            }
            if failed.never_ran {
                headers::set(map, headers::NEVER_RAN, 1);
            }
            if let Some(holder) = failed.holder {
                headers::set(map, headers::HOLDER, HolderHeader(holder));
            }
            (response, failed.feedback)
        }
    };
    set_feedback_headers(
        shared,
        response.headers_mut(),
        Feedback { exhausted: feedback.exhausted || exhausted, ..feedback },
    );
    response
}

/// Sets the headers that report load and feedback to other nodes.
fn set_feedback_headers<C: Clock>(
    shared: &Shared<C>,
    map: &mut http::HeaderMap,
    feedback: Feedback,
) {
    let load = shared.admission.load(shared.clock.now());
    let report =
        routing::LoadReport { running: load.running, waiting: load.waiting, limit: load.limit };
    headers::set(map, headers::REPORT, ReportHeader(report));
    headers::set(map, headers::LEVEL, feedback.level.0);
    headers::set(map, headers::RETURNED, feedback.returned);
    if feedback.exhausted {
        headers::set(map, headers::EXHAUSTED, 1);
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
    service: ServiceName,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    #[serde(default)]
    load: Option<String>,
    #[serde(default)]
    draining: bool,
}

/// Handles an announcement of the upstream.
async fn handle_announcement<C: Clock>(
    shared: &Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    if request.method() != Method::POST {
        return text_response(http::StatusCode::METHOD_NOT_ALLOWED, "expected POST".to_owned());
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES).collect().await else {
        return text_response(
            http::StatusCode::PAYLOAD_TOO_LARGE,
            format!("expected at most {MAX_ANNOUNCEMENT_BYTES} bytes"),
        );
    };
    match serde_json::from_slice::<Announcement>(&body.to_bytes()) {
        Ok(Announcement { slots: 0, .. }) => text_response(
            http::StatusCode::BAD_REQUEST,
            "field `slots`: `0` (expected at least 1)".to_owned(),
        ),
        Ok(Announcement { service, address, slots, connections, load, draining }) => {
            shared.update_upstream(LocalUpstream {
                service,
                address,
                slots,
                connections,
                load,
                draining,
            });
            text_response(http::StatusCode::OK, String::new())
        }
        Err(err) => text_response(http::StatusCode::BAD_REQUEST, err.to_string()),
    }
}

fn text_response<C: Clock>(status: http::StatusCode, text: String) -> Response<Payload<C>> {
    let mut response = Response::new(Payload::buffered(text));
    *response.status_mut() = status;
    response
}
