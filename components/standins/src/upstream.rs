//! Stand-in of an upstream: slots, service time, calls to other services, and faults.
//!
//! Tests rely on its counts of what ran and how often.

mod announce;
mod chain;
mod faults;
mod handle;
mod stats;

pub use announce::keep_announcing;
pub use chain::ChildCall;
pub use faults::{Faults, LoadReport};
pub use stats::Stats;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use poem::web::{Data, Json};
use poem::{EndpointExt, Route, get, handler, post};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;
use units::ServiceName;

use crate::client;
use crate::relay::Delayed;

/// Age of the reported load under the fault `lag`.
const LOAD_LAG: Duration = Duration::from_secs(5);

/// Configuration of an upstream.
#[derive(Debug, Clone)]
pub struct Config {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Address to serve on.
    pub listen: SocketAddr,
    /// Upstream-side address of its sidecar node.
    pub node: Option<SocketAddr>,
    /// Number of requests run at once.
    pub slots: u32,
    /// Number of slots to announce, if not the actual one.
    pub announced_slots: Option<u32>,
    /// Connection limit to announce.
    pub connections: u32,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Time after the start during which service times are four times as long.
    pub cold_time: Duration,
    /// Calls made for each request, in order.
    pub children: Vec<ChildCall>,
    /// Seed of the service times.
    pub seed: u64,
}

/// A running upstream.
pub struct Upstream {
    config: Config,
    started: Instant,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    slots: Semaphore,
    waiting: AtomicU32,
    delayed_load: Delayed<LoadReport>,
    rng: Mutex<rand_chacha::ChaCha8Rng>,
    http: client::Http,
    faults_changed: Notify,
}

impl Upstream {
    /// Creates an upstream that is not serving yet.
    pub fn new(config: Config) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            faults: Mutex::default(),
            stats: Mutex::default(),
            slots: Semaphore::new(config.slots as usize),
            waiting: AtomicU32::new(0),
            delayed_load: Delayed::new(LOAD_LAG),
            rng: Mutex::new(rand::SeedableRng::seed_from_u64(config.seed)),
            http: client::new(),
            faults_changed: Notify::new(),
            config,
        })
    }

    /// Serves requests and the load endpoint until `stop` is ready, then completes requests in flight.
    pub async fn serve(self: Arc<Self>, stop: impl Future<Output = ()>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.config.listen).await?;
        let graceful = GracefulShutdown::new();
        tokio::pin!(stop);
        loop {
            let (stream, _) = tokio::select! {
                accepted = listener.accept() => accepted?,
                () = &mut stop => break,
            };
            let _ = stream.set_nodelay(true);
            let upstream = self.clone();
            let service = service_fn(move |request| {
                let upstream = upstream.clone();
                async move { Ok::<_, Infallible>(handle::handle(&upstream, request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(graceful.watch(connection));
        }
        graceful.shutdown().await;
        Ok(())
    }

    /// Returns the control endpoint.
    pub fn control(self: &Arc<Self>) -> impl poem::Endpoint + 'static {
        Route::new().at("/control", post(control)).at("/witness", get(get_stats)).data(self.clone())
    }

    /// Announces to the sidecar node that the upstream is draining.
    pub fn drain(&self) {
        lock(&self.faults).drain = true;
        self.faults_changed.notify_waiters();
    }

    /// Load that the load endpoint reports, delayed or wrong while a fault requires it.
    fn reported_load(&self) -> LoadReport {
        let actual = self.actual_load();
        let delayed = self.delayed_load.update(actual);
        let faults = lock(&self.faults);
        match (faults.lie, faults.lag) {
            (Some(busy), _) => LoadReport { busy, waiting: 0, slots: self.config.slots },
            (None, true) => delayed,
            (None, false) => actual,
        }
    }

    fn actual_load(&self) -> LoadReport {
        let busy = self.config.slots - self.slots.available_permits() as u32;
        LoadReport { busy, waiting: self.waiting.load(Ordering::Relaxed), slots: self.config.slots }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[handler]
fn control(upstream: Data<&Arc<Upstream>>, Json(faults): Json<Faults>) -> Json<Faults> {
    *lock(&upstream.faults) = faults.clone();
    upstream.faults_changed.notify_waiters();
    Json(faults)
}

#[handler]
fn get_stats(upstream: Data<&Arc<Upstream>>) -> Json<Stats> {
    Json(lock(&upstream.stats).clone())
}
