//! The listeners of the request path: for callers, for the upstream, and for other nodes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use reservation::Key;
use serde::Deserialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use units::{Clock, ServiceName};
use verdict::{Reason, Refusal};

use super::shared::Shared;
use super::upstream::Announced;
use crate::request::attempt::{Head, Trailer, Wire, WireHolder};
use crate::request::body::Payload;
use crate::request::context::Header;
use crate::request::plan::Source;
use crate::request::{entry, guard, headers};

const ANNOUNCE: &str = "/almondknot/announce";
const TICKET: &str = "/almondknot/ticket";
const ANNOUNCE_LARGEST: usize = 16 << 10;
/// Time that a caller may take to send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const HEADERS_LARGEST: u32 = 64 << 10;
const MOST_STREAMS: u32 = 1_024;
const STREAM_WINDOW: u32 = 1 << 20;

/// Who a listener is for.
#[derive(Debug, Clone, Copy)]
pub enum Side {
    /// Callers outside the system.
    Callers,
    /// The upstream beside the node.
    Upstream,
    /// Other nodes.
    Peers,
}

/// Serves connections until told to stop; returns when the last request is answered.
pub async fn listen<C: Clock>(
    shared: Arc<Shared<C>>,
    side: Side,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        // An error here is that of one connection, or a want of file handles that passes.
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        serve(shared.clone(), side, stream, from, &graceful);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve<C: Clock>(
    shared: Arc<Shared<C>>,
    side: Side,
    stream: TcpStream,
    from: SocketAddr,
    graceful: &GracefulShutdown,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(answer(shared, side, from, request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MOST_STREAMS)
        .max_header_list_size(HEADERS_LARGEST)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(STREAM_WINDOW * 4);
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A connection that breaks is its caller's affair: each request on it has its own verdict.
        let _ = watched.await;
    });
}

async fn answer<C: Clock>(
    shared: Arc<Shared<C>>,
    side: Side,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    match side {
        _ if request.uri().path() == TICKET && !matches!(side, Side::Peers) => {
            ticket(&shared, &request)
        }
        Side::Callers => entry::call(shared, Source::Caller(from.ip()), request).await,
        Side::Upstream if request.uri().path() == ANNOUNCE => announced(&shared, request).await,
        Side::Upstream => entry::call(shared, Source::Upstream, request).await,
        Side::Peers => guarded(&shared, request).await,
    }
}

/// Gives out a ticket for one request of a service: `/almondknot/ticket?service=orders`.
fn ticket<C: Clock>(shared: &Shared<C>, request: &Request<Incoming>) -> Response<Payload<C>> {
    let service: Option<ServiceName> = request
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("service="))
        .and_then(|name| name.parse().ok());
    let Some(service) = service else {
        return plain(http::StatusCode::BAD_REQUEST, "expected ?service=NAME".to_owned());
    };
    let Some(target) = shared.choose(&service, &[]) else {
        return entry::refuse(shared, Refusal::not_run(Reason::NoUpstream, &shared.settings.node));
    };
    let ticket = Key::Ticket { holder: target.holder(), at: shared.wall(), nonce: rand::random() };
    let mut response = plain(
        http::StatusCode::OK,
        serde_json::json!({ "ticket": ticket.to_string() }).to_string(),
    );
    headers::set(response.headers_mut(), http::header::CONTENT_TYPE, "application/json");
    response
}

/// A call from another node.
async fn guarded<C: Clock>(
    shared: &Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    let (mut parts, body) = request.into_parts();
    let now = shared.clock.now();
    let context = headers::parse::<Header>(&parts.headers, &headers::CONTEXT)
        .map(|header| header.context(now));
    let (Some(context), Some(path)) = (context, parts.uri.path_and_query().cloned()) else {
        return entry::refuse(shared, Refusal::not_run(Reason::Malformed, &shared.settings.node));
    };
    parts.headers.remove(&headers::CONTEXT);
    let head = Head { method: parts.method, path, headers: parts.headers };
    let body = Payload::answer(body, Default::default());
    let mut exhausted = false;
    let (mut response, trailer) = match guard::serve(shared, context, &head, body).await {
        Ok(answer) => (Response::from_parts(answer.head, answer.body), answer.trailer),
        Err(failed) => {
            exhausted = failed.refusal.exhausted;
            let mut response = entry::refuse(shared, failed.refusal);
            let map = response.headers_mut();
            if failed.lethal {
                headers::set(map, headers::LETHAL, 1);
            }
            if failed.settled {
                headers::set(map, headers::SETTLED, 1);
            }
            if let Some(holder) = failed.holder {
                headers::set(map, headers::HOLDER, WireHolder(holder));
            }
            (response, failed.trailer)
        }
    };
    mark(
        shared,
        response.headers_mut(),
        Trailer { exhausted: trailer.exhausted || exhausted, ..trailer },
    );
    response
}

/// Puts on an answer what other nodes go by.
fn mark<C: Clock>(shared: &Shared<C>, map: &mut http::HeaderMap, trailer: Trailer) {
    let load = shared.gate.load(shared.clock.now());
    let report =
        routing::Report { running: load.running, waiting: load.waiting, limit: load.limit };
    headers::set(map, headers::REPORT, Wire(report));
    headers::set(map, headers::LEVEL, trailer.level.0);
    headers::set(map, headers::RETURNED, trailer.returned);
    if trailer.exhausted {
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

/// An announcement of the upstream.
async fn announced<C: Clock>(
    shared: &Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Response<Payload<C>> {
    if request.method() != Method::POST {
        return plain(http::StatusCode::METHOD_NOT_ALLOWED, "expected POST".to_owned());
    }
    let Ok(body) = Limited::new(request.into_body(), ANNOUNCE_LARGEST).collect().await else {
        return plain(
            http::StatusCode::PAYLOAD_TOO_LARGE,
            format!("expected at most {ANNOUNCE_LARGEST} bytes"),
        );
    };
    match serde_json::from_slice::<Announcement>(&body.to_bytes()) {
        Ok(Announcement { slots: 0, .. }) => plain(
            http::StatusCode::BAD_REQUEST,
            "field `slots`: `0` (expected at least 1)".to_owned(),
        ),
        Ok(Announcement { service, address, slots, connections, load, draining }) => {
            shared.announce(Announced { service, address, slots, connections, load, draining });
            plain(http::StatusCode::OK, String::new())
        }
        Err(err) => plain(http::StatusCode::BAD_REQUEST, err.to_string()),
    }
}

fn plain<C: Clock>(status: http::StatusCode, text: String) -> Response<Payload<C>> {
    let mut response = Response::new(Payload::whole(text));
    *response.status_mut() = status;
    response
}
