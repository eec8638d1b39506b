//! Ordinary callers and the watch over two nodes, while other clients use up what they can.

#![allow(dead_code, clippy::unwrap_used, reason = "each test crate uses only some of the helpers")]

use std::time::{Duration, Instant};

use emulator::direct;
use emulator::site::Config;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::pair::{POLL_INTERVAL, Pair};
use crate::usage;

/// Time until the node has to answer an ordinary request; long, as nothing here depends on the machine's speed.
const SERVED_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval of the upstream's announcements.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Head of a request without its framing and its end.
pub fn head(id: &str) -> String {
    direct::open_head(id, "/delivery-confirm/1", 30_000)
}

/// A configuration whose limits allow bodies of `body_bytes`, and whose route leaves clients the time to hold them.
pub fn configuration(body_bytes: usize) -> String {
    extended_configuration(3, &[], body_bytes)
}

/// The same as another version, with further routes.
pub fn extended_configuration(version: u64, extra_routes: &[&str], body_bytes: usize) -> String {
    let extra_routes = extra_routes.iter().map(|name| (*name).to_owned()).collect();
    let text = Config { version, extra_routes }.to_json();
    let mut document: Value = serde_json::from_str(&text).unwrap();
    document["limits"]["maxBodyBytes"] = json!(body_bytes);
    for rule in document["listeners"][0]["ruleSet"].as_array_mut().unwrap() {
        rule["action"]["timeout"] = json!("30s");
    }
    document.to_string()
}

/// Most that a node took of its resources.
#[derive(Debug, Default)]
pub struct Peak {
    /// Memory with what the sockets have received and not read.
    pub memory: u64,
    /// Resident memory.
    pub resident: u64,
    /// Memory with all that is in the queues of sockets, those of connections that were not accepted yet included.
    pub held: u64,
    /// What that was: resident memory, and the queues.
    pub parts: (u64, usage::Queues),
    /// Open descriptors.
    pub descriptors: usize,
    /// The same for each node.
    pub node_descriptors: [usize; 2],
}

impl Peak {
    /// Notes what the nodes take now; fails if one of them has ended.
    pub fn watch(&mut self, pair: &Pair) {
        let nodes = pair.nodes.iter().zip(&pair.machines);
        for ((node, machine), descriptors) in nodes.zip(&mut self.node_descriptors) {
            let memory = usage::memory(node.id());
            self.memory =
                self.memory.max(memory.unwrap_or_else(|| panic!("{} has ended", machine.name)));
            let resident = usage::resident(node.id()).unwrap_or_default();
            self.resident = self.resident.max(resident);
            let queues = usage::queued(node.id(), &[machine.outbound(), machine.inbound()]);
            if resident + queues.sum() > self.held {
                self.held = resident + queues.sum();
                self.parts = (resident, queues);
            }
            *descriptors = usage::descriptors(node.id()).max(*descriptors);
            self.descriptors = self.descriptors.max(*descriptors);
        }
    }
}

/// Sends one ordinary request with a small body; returns the status line of its answer.
pub async fn ordinary(pair: &Pair, id: &str) -> String {
    let text = format!(
        "{}Content-Length: 1000\r\nConnection: close\r\n\r\n{}",
        head(id),
        "x".repeat(1_000)
    );
    let mut answer = Vec::new();
    let exchange = async {
        let mut stream = TcpStream::connect(pair.machines[0].outbound()).await?;
        stream.write_all(text.as_bytes()).await?;
        stream.read_buf(&mut answer).await
    };
    match exchange.await {
        Ok(_) => String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned(),
        Err(err) => err.to_string(),
    }
}

/// Announces the upstream and watches the nodes until aborted; `work` is done meanwhile.
pub async fn watched<T>(pair: &Pair, peak: &mut Peak, work: impl Future<Output = T>) -> T {
    let watch = async {
        let mut sequence = 1_000;
        let mut announced: Option<Instant> = None;
        loop {
            if announced.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL) {
                sequence += 1;
                pair.heartbeat(sequence).await;
                announced = Some(Instant::now());
            }
            peak.watch(pair);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        result = work => result,
        () = watch => unreachable!("the watch doesn't end"),
    }
}

/// Asks until an ordinary request is served.
pub async fn until_served(pair: &Pair, name: &str) -> String {
    let started = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("{name}-{number}");
        let answer = tokio::time::timeout(SERVED_TIMEOUT, ordinary(pair, &id));
        let answer = answer.await.unwrap_or_else(|_| "no answer".to_owned());
        if answer.starts_with("HTTP/1.1 200") || started.elapsed() > SERVED_TIMEOUT {
            return answer;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
