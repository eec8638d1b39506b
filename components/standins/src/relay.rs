//! The network between failure domains: TCP links that can be delayed, capped and cut.
//!
//! One relay stands in front of every node. Which link a connection takes is told by the address it comes from, so
//! that traffic inside a failure domain passes at once while traffic from another takes its delay.

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

const CHUNK: usize = 16 << 10;
const CHUNKS_IN_FLIGHT: usize = 256;

/// State of the link between two places, both ways.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
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

/// Where a connection is taken and passed on to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Route {
    /// Address that others connect to.
    pub listen: SocketAddr,
    /// Address behind it.
    pub to: SocketAddr,
}

/// A change of the link between two places.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Change {
    /// One place.
    pub a: String,
    /// The other; the same one for links inside it.
    pub b: String,
    /// The link from now on.
    pub link: Link,
}

/// Bytes that passed from one place to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Passed {
    /// Where they came from.
    pub from: String,
    /// Where they went.
    pub to: String,
    /// How many.
    pub bytes: u64,
}

/// One direction between two places.
struct Lane {
    /// When the last byte accepted so far has left, under the cap.
    paced: Mutex<Instant>,
    passed: AtomicU64,
}

struct Pair {
    link: watch::Sender<Link>,
    lanes: [Lane; 2],
}

/// Pairs by their two places in alphabetical order.
type Pairs = HashMap<(String, String), Arc<Pair>>;

/// The places and the links between them.
#[derive(Clone)]
pub struct Relay {
    /// Place of an address, by its prefix such as `127.1.2.`.
    places: Arc<HashMap<String, String>>,
    pairs: Arc<Mutex<Pairs>>,
}

impl Relay {
    /// A network without delays.
    pub fn new(places: HashMap<String, String>) -> Self {
        Self { places: Arc::new(places), pairs: Arc::default() }
    }

    /// Changes the link between two places.
    pub fn set(&self, change: &Change) {
        self.pair(&change.a, &change.b).link.send_replace(change.link.clone());
    }

    /// Bytes that passed so far.
    pub fn passed(&self) -> Vec<Passed> {
        let mut all = Vec::new();
        for ((a, b), pair) in lock(&self.pairs).iter() {
            for (lane, from, to) in [(&pair.lanes[0], a, b), (&pair.lanes[1], b, a)] {
                let bytes = lane.passed.load(Ordering::Relaxed);
                all.push(Passed { from: from.clone(), to: to.clone(), bytes });
            }
        }
        all.sort_by(|x, y| (&x.from, &x.to).cmp(&(&y.from, &y.to)));
        all
    }

    /// Passes connections on for ever.
    pub async fn run(self, listener: TcpListener, to: SocketAddr) {
        while let Ok((from, address)) = listener.accept().await {
            let (near, far) = (self.place(address.ip()), self.place(to.ip()));
            let pair = self.pair(&near, &far);
            let forward = usize::from(near > far);
            tokio::spawn(async move {
                if pair.link.borrow().cut {
                    return;
                }
                if let Ok(onward) = TcpStream::connect(to).await {
                    connection(&pair, forward, from, onward).await;
                }
            });
        }
    }

    fn place(&self, address: IpAddr) -> String {
        let text = address.to_string();
        let found = self.places.iter().find(|(prefix, _)| text.starts_with(prefix.as_str()));
        found.map_or_else(|| "outside".to_owned(), |(_, place)| place.clone())
    }

    fn pair(&self, a: &str, b: &str) -> Arc<Pair> {
        let key = if a <= b { (a.to_owned(), b.to_owned()) } else { (b.to_owned(), a.to_owned()) };
        let lane = || Lane { paced: Mutex::new(Instant::now()), passed: AtomicU64::new(0) };
        let fresh = || {
            Arc::new(Pair { link: watch::Sender::new(Link::default()), lanes: [lane(), lane()] })
        };
        lock(&self.pairs).entry(key).or_insert_with(fresh).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn connection(pair: &Pair, forward: usize, from: TcpStream, to: TcpStream) {
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    let mut link = pair.link.subscribe();
    tokio::select! {
        () = one_way(pair, forward, from_read, to_write) => {}
        () = one_way(pair, 1 - forward, to_read, from_write) => {}
        _ = link.wait_for(|link| link.cut) => {}
    }
}

async fn one_way(pair: &Pair, lane: usize, mut read: OwnedReadHalf, write: OwnedWriteHalf) {
    let lane = &pair.lanes[lane];
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let take = async move {
        loop {
            let mut chunk = vec![0; CHUNK];
            let Ok(size) = read.read(&mut chunk).await else { break };
            if size == 0 {
                break;
            }
            chunk.truncate(size);
            if sender.send((lane.due(&pair.link, size), chunk)).await.is_err() {
                break;
            }
        }
    };
    tokio::join!(take, deliver(pair, lane, receiver, write));
}

impl Lane {
    /// When bytes that come now arrive at the other end.
    fn due(&self, link: &watch::Sender<Link>, size: usize) -> Instant {
        let link = link.borrow();
        let mut paced = lock(&self.paced);
        *paced = (*paced).max(Instant::now());
        if link.cap > 0 {
            *paced += Duration::from_secs_f64(size as f64 / link.cap as f64);
        }
        *paced + Duration::from_millis(link.delay)
    }
}

async fn deliver(
    pair: &Pair,
    lane: &Lane,
    mut chunks: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut write: OwnedWriteHalf,
) {
    let mut link = pair.link.subscribe();
    while let Some((due, chunk)) = chunks.recv().await {
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        if link.wait_for(|link| !link.stall).await.is_err()
            || write.write_all(&chunk).await.is_err()
        {
            return;
        }
        lane.passed.fetch_add(chunk.len() as u64, Ordering::Relaxed);
    }
    let _ = write.shutdown().await;
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
        let mut kept = lock(&self.kept);
        let now = Instant::now();
        kept.push_back((now, value.clone()));
        while kept.len() > 1 && now - kept[1].0 >= self.lag {
            kept.pop_front();
        }
        kept.front().map_or(value, |(_, old)| old.clone())
    }
}
