//! The listeners of the request path: for callers and the upstream, and for other nodes.

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

use super::exchange;
use super::shared::Shared;
use crate::connection::socket;
use crate::platform::Platform;
use crate::request::body::{self, Payload};
use crate::request::call::{self, Head, Header};
use crate::request::outcome::{self, Outcome, Why};
use crate::request::peer::Report;
use crate::request::{entry, guard};

/// Pause after a connection could not be taken, as for want of file handles.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Connections that wait to be taken.
const BACKLOG: u32 = 1_024;
/// Time that a caller's connection may be idle, where the configuration allows less: closing early costs callers more.
const IDLE: Duration = Duration::from_secs(60);
/// Largest body of a call or message from another node.
const BODY_LARGEST: usize = 80 << 20;

/// Who a listener is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Callers, and the upstream beside the node.
    Callers,
    /// Other nodes.
    Nodes,
}

/// Listens on an address.
pub fn bind(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Takes connections until told to stop, and returns when the last request is answered.
pub async fn listen<P: Platform>(
    shared: Arc<Shared<P>>,
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
        match accepted {
            Ok((stream, _)) => take(shared.clone(), side, stream, &graceful),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn take<P: Platform>(
    shared: Arc<Shared<P>>,
    side: Side,
    stream: TcpStream,
    graceful: &GracefulShutdown,
) {
    // A connection whose options can't be set is already closed; reading from it says so.
    let _ = match side {
        Side::Callers => stream.set_nodelay(true),
        Side::Nodes => socket::watch(&stream),
    };
    let limits = shared.active().map(|active| active.limits);
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(answer(shared, side, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    match side {
        Side::Callers => {
            let idle = limits.map_or(IDLE, |limits| limits.idle.max(IDLE));
            builder.header_read_timeout(idle);
        }
        Side::Nodes => {
            builder.header_read_timeout(None);
        }
    }
    let watched = graceful.watch(builder.serve_connection(TokioIo::new(stream), service));
    tokio::spawn(async move {
        // A connection that breaks is its caller's affair: each request on it has its own outcome.
        let _ = watched.await;
    });
}

async fn answer<P: Platform>(
    shared: Arc<Shared<P>>,
    side: Side,
    request: Request<Incoming>,
) -> Response<Payload<P>> {
    match side {
        Side::Callers => {
            let mut response = entry::call(shared.clone(), request).await;
            if *shared.stopping.borrow() {
                call::set(response.headers_mut(), header::CONNECTION, "close");
            }
            response
        }
        Side::Nodes if request.uri().path() == exchange::PATH => {
            let Ok(body) = body::read_request(request.into_body(), BODY_LARGEST).await else {
                return Payload::empty(StatusCode::BAD_REQUEST);
            };
            match exchange::answer(&shared, &body) {
                Some(answer) => Response::new(Payload::whole(answer)),
                None => Payload::empty(StatusCode::BAD_REQUEST),
            }
        }
        Side::Nodes => guarded(&shared, request).await,
    }
}

/// A call from another node.
async fn guarded<P: Platform>(
    shared: &Arc<Shared<P>>,
    request: Request<Incoming>,
) -> Response<Payload<P>> {
    let now = shared.now();
    let (mut parts, incoming) = request.into_parts();
    let header: Option<Header> = call::parse(&parts.headers, &call::CALL);
    let id = parts.headers.get(&shared.platform.headers().id).cloned();
    let path = parts.uri.path_and_query().cloned();
    let (Some(header), Some(id), Some(path)) = (header, id, path) else {
        return Payload::empty(StatusCode::BAD_REQUEST);
    };
    let Ok(body) = body::read_request(incoming, BODY_LARGEST).await else {
        return Payload::empty(StatusCode::BAD_REQUEST);
    };
    parts.headers.remove(&call::CALL);
    parts.headers.remove(header::CONTENT_LENGTH);
    let head = Head { method: parts.method, path, headers: parts.headers, id };
    let outcome = guard::serve(shared, &header.call(now), &head, &body).await;
    mark(shared, outcome, now)
}

/// Puts an outcome into an answer to another node.
fn mark<P: Platform>(
    shared: &Shared<P>,
    outcome: Outcome<P>,
    arrived: Instant,
) -> Response<Payload<P>> {
    let (header, mut response) = match outcome {
        Outcome::Answer { head, body, unrun } => {
            (outcome::Header::Answer(unrun), Response::from_parts(*head, body))
        }
        Outcome::Refused(refusal) => {
            (outcome::Header::Refused(refusal), Payload::empty(StatusCode::SERVICE_UNAVAILABLE))
        }
        Outcome::Failed(fault) => {
            (outcome::Header::Failed(fault), Payload::empty(StatusCode::BAD_GATEWAY))
        }
    };
    call::set(response.headers_mut(), call::OUTCOME, header);
    let taken = shared.now().saturating_duration_since(arrived);
    let report = Report { load: shared.gate.load(), taken };
    call::set(response.headers_mut(), call::LOAD, report);
    let leaving =
        matches!(header, outcome::Header::Refused(refusal) if refusal.why == Why::Leaving);
    if leaving || shared.parting.load(Ordering::Relaxed) {
        call::set(response.headers_mut(), header::CONNECTION, "close");
    }
    response
}

/// Serves a small interface, one answer from memory for each request, until told to stop.
pub async fn small<F, Fut>(listener: TcpListener, mut stop: watch::Receiver<bool>, answer: F)
where
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
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let answered = answer(request);
            async move { Ok::<_, Infallible>(answered.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // The other side asks again if its connection broke.
            let _ = connection.await;
        });
    }
}
