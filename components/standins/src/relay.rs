//! A TCP link that can be delayed, capped and cut.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const CHUNK: usize = 16 << 10;
const CHUNKS_IN_FLIGHT: usize = 256;

/// State of the link.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// Nothing passes, and open connections are reset.
    pub cut: bool,
    /// Nothing passes, but connections stay open.
    pub stall: bool,
    /// One-way delay in milliseconds.
    pub delay: u64,
    /// Bytes a second each way; no cap at zero.
    pub cap: u64,
}

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    link: watch::Sender<Link>,
    /// Bytes that passed, both ways.
    passed: Arc<AtomicU64>,
}

impl Relay {
    /// A relay with the given link.
    pub fn new(link: Link) -> Self {
        Self { link: watch::Sender::new(link), passed: Arc::default() }
    }

    /// Changes the link.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Bytes that passed, both ways.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Passes connections on to `to` for ever.
    pub async fn run(self, listener: TcpListener, to: SocketAddr) {
        while let Ok((from, _)) = listener.accept().await {
            if self.link.borrow().cut {
                continue;
            }
            let relay = self.clone();
            tokio::spawn(async move {
                if let Ok(onward) = TcpStream::connect(to).await {
                    relay.connection(from, onward).await;
                }
            });
        }
    }

    async fn connection(&self, from: TcpStream, to: TcpStream) {
        let _ = from.set_nodelay(true);
        let _ = to.set_nodelay(true);
        let (from_read, from_write) = from.into_split();
        let (to_read, to_write) = to.into_split();
        let mut link = self.link.subscribe();
        tokio::select! {
            () = self.one_way(from_read, to_write) => {}
            () = self.one_way(to_read, from_write) => {}
            _ = link.wait_for(|link| link.cut) => {}
        }
    }

    async fn one_way(&self, mut read: OwnedReadHalf, write: OwnedWriteHalf) {
        let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
        let deliver = self.deliver(receiver, write);
        let take = async {
            let mut paced = Instant::now();
            loop {
                let mut chunk = vec![0; CHUNK];
                let Ok(size) = read.read(&mut chunk).await else { break };
                if size == 0 {
                    break;
                }
                chunk.truncate(size);
                let (delay, cap) = {
                    let link = self.link.borrow();
                    (Duration::from_millis(link.delay), link.cap)
                };
                paced = paced.max(Instant::now()) + transfer_time(size, cap);
                if sender.send((paced + delay, chunk)).await.is_err() {
                    break;
                }
            }
            drop(sender);
        };
        tokio::join!(take, deliver);
    }

    async fn deliver(
        &self,
        mut chunks: mpsc::Receiver<(Instant, Vec<u8>)>,
        mut write: OwnedWriteHalf,
    ) {
        let mut link = self.link.subscribe();
        while let Some((due, chunk)) = chunks.recv().await {
            tokio::time::sleep_until(due).await;
            if link.wait_for(|link| !link.stall).await.is_err()
                || write.write_all(&chunk).await.is_err()
            {
                return;
            }
            self.passed.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        }
        let _ = write.shutdown().await;
    }
}

fn transfer_time(size: usize, cap: u64) -> Duration {
    if cap == 0 { Duration::ZERO } else { Duration::from_secs_f64(size as f64 / cap as f64) }
}

/// The last answers of something slow to tell the truth.
pub struct Lagging<T> {
    kept: Mutex<VecDeque<(Instant, T)>>,
    lag: Duration,
}

impl<T: Clone> Lagging<T> {
    /// Answers are `lag` old.
    pub fn new(lag: Duration) -> Self {
        Self { kept: Mutex::default(), lag }
    }

    /// Keeps `value` and gives the value of `lag` ago.
    pub fn pass(&self, value: T) -> T {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        kept.push_back((now, value.clone()));
        while kept.len() > 1 && now - kept[1].0 >= self.lag {
            kept.pop_front();
        }
        kept.front().map_or(value, |(_, old)| old.clone())
    }
}
