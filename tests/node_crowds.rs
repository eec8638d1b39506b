//! Crowds of callers at `almondknot node`, which hold what the node gives to each of them.
//!
//! The crowds and the bounds are fixed; limits are lowered by the settings, so that small crowds are enough.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;
#[path = "support/usage.rs"]
mod usage;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use hyper::body::{Body, Frame};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::json;
use standins::cluster::{Cluster, Signal, Vm};
use support::{MS, empty_cluster, node_logs};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The first of the nets 127.x that the test uses, one for each form.
const FIRST_NET: u8 = 180;
const RULES: &str = "call POST /echo to echo class customer deadline 30s retries 0 # test\n";
/// Connections that callers may have.
const CONNECTIONS: usize = 64;
/// Memory of the node: what callers may make it hold, and 48 MiB for itself.
const CLIENT_BYTES: u64 = 16 << 20;
const MEMORY_BYTES: u64 = CLIENT_BYTES + (48 << 20);
/// Descriptors of the node besides connections of callers.
const OTHER_DESCRIPTORS: usize = 64;
/// Clients of a crowd, and streams of each where it has several.
const CLIENTS: usize = 200;
const STREAMS: usize = 100;
/// Size of a legal head.
const HEAD_BYTES: usize = 12 << 10;
/// Time for which a crowd is watched before others have to be served.
const WATCHED: Duration = Duration::from_secs(5);
/// Time after which an ordinary caller, an operator or a stop counts as lost.
const LOST_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a client of a crowd does, again whenever its connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    /// Connects and sends nothing.
    Silent,
    /// Sends a legal head without its end.
    PartialHead,
    /// Sends a small body without its last byte.
    StalledBody,
    /// Sends many requests on one connection, with long heads and without the ends of their bodies.
    Streams,
}

/// A body that begins and doesn't end.
struct Stalled(Option<Bytes>);

impl Body for Stalled {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        match self.0.take() {
            Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            None => Poll::Pending,
        }
    }
}

impl Form {
    /// Sends what one client sends; returns when the node closes the connection.
    async fn run(self, mut stream: TcpStream) {
        let filler = "x".repeat(HEAD_BYTES);
        let text = match self {
            Self::Silent => String::new(),
            Self::PartialHead => format!("POST /echo HTTP/1.1\r\nHost: a\r\nX-More: {filler}"),
            Self::StalledBody => format!(
                "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n{}",
                "x".repeat(999)
            ),
            Self::Streams => return streams(stream, &filler).await,
        };
        if stream.write_all(text.as_bytes()).await.is_ok() {
            let mut bytes = [0; 1 << 10];
            while stream.read(&mut bytes).await.is_ok_and(|size| size > 0) {}
        }
    }
}

/// Sends requests on streams of one connection, each again when it is refused.
async fn streams(stream: TcpStream, filler: &str) {
    let connected = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let Ok((sender, connection)) = connected else { return };
    let requests = (0..STREAMS).map(|_| {
        let mut sender = sender.clone();
        async move {
            while sender.ready().await.is_ok() {
                let body = Stalled(Some(Bytes::from_static(b"x")));
                let request = Request::post("http://a/echo").header("x-more", filler);
                // The answer to a refused one is dropped.
                let _ = sender.send_request(request.body(body).unwrap()).await;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    });
    let requests = futures_util::future::join_all(requests);
    tokio::select! {
        _ = requests => {}
        _ = connection => {}
    }
}

fn start_crowd(form: Form, to: SocketAddr) -> Vec<JoinHandle<()>> {
    let client = || async move {
        loop {
            if let Ok(stream) = TcpStream::connect(to).await {
                form.run(stream).await;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    (0..CLIENTS).map(|_| tokio::spawn(client())).collect()
}

/// Sends a request on a connection of its own until it is answered with 200.
async fn until_answered(to: SocketAddr, text: &str) -> bool {
    let started = Instant::now();
    while started.elapsed() < LOST_TIMEOUT {
        let exchange = async {
            let mut answer = Vec::new();
            let mut stream = TcpStream::connect(to).await?;
            stream.write_all(text.as_bytes()).await?;
            stream.read_buf(&mut answer).await?;
            std::io::Result::Ok(answer.starts_with(b"HTTP/1.1 200"))
        };
        if matches!(tokio::time::timeout(LOST_TIMEOUT, exchange).await, Ok(Ok(true))) {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// A cluster of one VM whose node has lowered limits.
async fn start(net: u8) -> (Cluster, Vm) {
    let mut cluster = empty_cluster(net, 1);
    cluster.set_rules(RULES).unwrap();
    cluster.override_settings(json!({
        "bounds": { "connections": CONNECTIONS, "memory": format!("{CLIENT_BYTES}B") },
    }));
    cluster.add(Vm::new("a", 0, 1, "echo").with_capacity(8, MS));
    cluster.start_vms().unwrap();
    assert!(cluster.wait_ready().await, "{}", node_logs(&cluster));
    let vm = cluster.vms()[0].clone();
    (cluster, vm)
}

async fn play(form: Form, net: u8) {
    let (mut cluster, vm) = start(net).await;
    let (door, admin) = (cluster.caller_address(&vm), cluster.admin_address(&vm));
    let pid = cluster.process("node-a").unwrap().id();
    let watch = tokio::spawn(async move {
        let (mut memory, mut descriptors) = (0, 0);
        // Ends with the process.
        while let Some(resident) = usage::resident(pid) {
            memory = memory.max(resident + usage::queued(pid, &[door]).sum());
            descriptors = descriptors.max(usage::descriptors(pid));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        (memory, descriptors)
    });
    let crowd = start_crowd(form, door);
    tokio::time::sleep(WATCHED).await;
    let text = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx";
    let served = until_answered(door, text).await;
    let text = "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let operated = until_answered(admin, text).await;
    let node = cluster.process("node-a").unwrap();
    node.signal(Signal::SIGTERM).unwrap();
    let started = Instant::now();
    let mut stopped = false;
    while !stopped && started.elapsed() < LOST_TIMEOUT {
        stopped = node.exit_status().unwrap().is_some_and(|status| status.code().is_some());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for client in crowd {
        client.abort();
    }
    drop(cluster);
    let (memory, descriptors) = watch.await.unwrap();
    eprintln!("{form:?}: {} MiB with queues, {descriptors} descriptors", memory >> 20);
    expect_that!(memory, le(MEMORY_BYTES), "memory, {form:?}");
    expect_that!(descriptors, le(CONNECTIONS + OTHER_DESCRIPTORS), "descriptors, {form:?}");
    expect_that!(served, eq(true), "an ordinary caller, {form:?}");
    expect_that!(operated, eq(true), "an operator, {form:?}");
    expect_that!(stopped, eq(true), "a stop, {form:?}");
}

/// Guards against callers that use up the memory or the descriptors of a node, or keep its connections in use.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowds_of_callers_take_a_bounded_part_of_a_node() {
    let forms = [Form::Silent, Form::PartialHead, Form::StalledBody, Form::Streams];
    for (number, form) in forms.into_iter().enumerate() {
        play(form, FIRST_NET + number as u8).await;
    }
}
