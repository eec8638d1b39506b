//! Stand-in of the network between failure domains: a TCP relay whose links can be delayed, capped and cut.
//!
//! The relay listens on an address in front of every node. The source address of a connection selects its link, so that
//! traffic inside a failure domain is not delayed while traffic from another is.

use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const CHUNK_BYTES: usize = 16 << 10;
const MAX_QUEUED_CHUNKS: usize = 256;

/// Properties of the link between two failure domains, the same in both directions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// Close open connections and refuse new ones.
    pub cut: bool,
    /// Hold all data back, but keep connections open.
    pub stall: bool,
    /// One-way delay in milliseconds.
    pub delay: u64,
    /// Bytes per second in each direction; zero means no limit.
    pub cap: u64,
}

/// A forwarded address.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Route {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to forward connections to.
    pub to: SocketAddr,
}

/// A change of the link between two failure domains.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LinkChange {
    /// One failure domain.
    pub a: String,
    /// The other one; equal to `a` for the link inside it.
    pub b: String,
    /// New properties of the link.
    pub link: Link,
}

/// Amount of data sent from one failure domain to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Traffic {
    /// Sending failure domain.
    pub from: String,
    /// Receiving failure domain.
    pub to: String,
    /// Bytes sent.
    pub bytes: u64,
}

/// One direction of a link.
struct Direction {
    /// Time at which the bytes accepted so far have been sent, as limited by the cap.
    busy_until: Mutex<Instant>,
    bytes: AtomicU64,
}

/// Link between two failure domains and the state of its directions.
struct Pair {
    link: watch::Sender<Link>,
    directions: [Direction; 2],
}

/// Pairs by the names of their failure domains in alphabetical order.
type Pairs = HashMap<(String, String), Arc<Pair>>;

/// Relay between failure domains; clones share its state.
#[derive(Clone)]
pub struct Relay {
    /// Failure domains by the prefix of their addresses, such as `127.1.2.`.
    domains: Arc<HashMap<String, String>>,
    pairs: Arc<Mutex<Pairs>>,
}

impl Relay {
    /// Creates a network without delays.
    pub fn new(domains: HashMap<String, String>) -> Self {
        Self { domains: Arc::new(domains), pairs: Arc::default() }
    }

    /// Changes the link between two failure domains.
    pub fn set(&self, change: &LinkChange) {
        self.pair(&change.a, &change.b).link.send_replace(change.link.clone());
    }

    /// Traffic in each direction so far.
    pub fn traffic(&self) -> Vec<Traffic> {
        let mut all = Vec::new();
        for ((a, b), pair) in lock(&self.pairs).iter() {
            for (direction, from, to) in [(&pair.directions[0], a, b), (&pair.directions[1], b, a)]
            {
                let bytes = direction.bytes.load(Ordering::Relaxed);
                all.push(Traffic { from: from.clone(), to: to.clone(), bytes });
            }
        }
        all.sort_by(|x, y| (&x.from, &x.to).cmp(&(&y.from, &y.to)));
        all
    }

    /// Forwards connections until the listener fails.
    pub async fn run(self, listener: TcpListener, to: SocketAddr) {
        while let Ok((from, address)) = listener.accept().await {
            let (source, target) = (self.domain_of(address.ip()), self.domain_of(to.ip()));
            let pair = self.pair(&source, &target);
            let forward = usize::from(source > target);
            tokio::spawn(async move {
                if pair.link.borrow().cut {
                    return;
                }
                if let Ok(stream) = TcpStream::connect(to).await {
                    relay_connection(&pair, forward, from, stream).await;
                }
            });
        }
    }

    /// Failure domain of an address; `outside` if it is in none.
    fn domain_of(&self, address: IpAddr) -> String {
        let text = address.to_string();
        let found = self.domains.iter().find(|(prefix, _)| text.starts_with(prefix.as_str()));
        found.map_or_else(|| "outside".to_owned(), |(_, domain)| domain.clone())
    }

    fn pair(&self, a: &str, b: &str) -> Arc<Pair> {
        let key = if a <= b { (a.to_owned(), b.to_owned()) } else { (b.to_owned(), a.to_owned()) };
        let direction =
            || Direction { busy_until: Mutex::new(Instant::now()), bytes: AtomicU64::new(0) };
        let new_pair = || {
            Arc::new(Pair {
                link: watch::Sender::new(Link::default()),
                directions: [direction(), direction()],
            })
        };
        lock(&self.pairs).entry(key).or_insert_with(new_pair).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn relay_connection(pair: &Pair, forward: usize, from: TcpStream, to: TcpStream) {
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    let mut link = pair.link.subscribe();
    tokio::select! {
        () = copy_one_way(pair, forward, from_read, to_write) => {}
        () = copy_one_way(pair, 1 - forward, to_read, from_write) => {}
        _ = link.wait_for(|link| link.cut) => {}
    }
}

async fn copy_one_way(
    pair: &Pair,
    direction: usize,
    mut read: OwnedReadHalf,
    write: OwnedWriteHalf,
) {
    let direction = &pair.directions[direction];
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let receive = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let Ok(size) = read.read(&mut chunk).await else { break };
            if size == 0 {
                break;
            }
            chunk.truncate(size);
            if sender.send((direction.delivery_time(&pair.link, size), chunk)).await.is_err() {
                break;
            }
        }
    };
    tokio::join!(receive, deliver(pair, direction, receiver, write));
}

impl Direction {
    /// Time of delivery for bytes that are received now.
    fn delivery_time(&self, link: &watch::Sender<Link>, size: usize) -> Instant {
        let link = link.borrow();
        let mut busy_until = lock(&self.busy_until);
        *busy_until = (*busy_until).max(Instant::now());
        if link.cap > 0 {
            *busy_until += Duration::from_secs_f64(size as f64 / link.cap as f64);
        }
        *busy_until + Duration::from_millis(link.delay)
    }
}

async fn deliver(
    pair: &Pair,
    direction: &Direction,
    mut chunks: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut write: OwnedWriteHalf,
) {
    let mut link = pair.link.subscribe();
    while let Some((delivery_time, chunk)) = chunks.recv().await {
        if delivery_time > Instant::now() {
            tokio::time::sleep_until(delivery_time).await;
        }
        if link.wait_for(|link| !link.stall).await.is_err()
            || write.write_all(&chunk).await.is_err()
        {
            return;
        }
        direction.bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
    }
    let _ = write.shutdown().await;
}

/// A value that is reported with a fixed delay.
pub struct Delayed<T> {
    history: Mutex<VecDeque<(Instant, T)>>,
    delay: Duration,
}

impl<T: Clone> Delayed<T> {
    /// Creates a value that is reported `delay` late.
    pub fn new(delay: Duration) -> Self {
        Self { history: Mutex::default(), delay }
    }

    /// Stores the current value and returns the one of `delay` ago, or the oldest one.
    pub fn update(&self, value: T) -> T {
        let mut history = lock(&self.history);
        let now = Instant::now();
        history.push_back((now, value.clone()));
        while history.len() > 1 && now - history[1].0 >= self.delay {
            history.pop_front();
        }
        history.front().map_or(value, |(_, old)| old.clone())
    }
}
