//! An upstream: slots, service time, a call chain, and the faults that upstreams have.
//!
//! It is the witness in tests: what ran, and how often, is counted here and nowhere else.

mod announce;
mod chain;
mod faults;
mod handle;
mod witness;

pub use announce::keep_announcing;
pub use chain::Child;
pub use faults::{Faults, LoadReport};
pub use witness::Witness;

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
use crate::relay::Lagging;

const LOAD_LAG: Duration = Duration::from_secs(5);

/// What an upstream is started with.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Service it belongs to.
    pub service: ServiceName,
    /// Address it serves on.
    pub listen: SocketAddr,
    /// Upstream-side address of the node beside it.
    pub node: Option<SocketAddr>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Slots it announces, where that is not the truth.
    pub announced: Option<u32>,
    /// Connections it takes.
    pub connections: u32,
    /// Mean time a request holds a slot.
    pub time: Duration,
    /// Time until it is warm; cold, it is four times as slow.
    pub cold: Duration,
    /// Calls it makes for each request, one after the other.
    pub children: Vec<Child>,
    /// Seed of the service times.
    pub seed: u64,
}

/// A running upstream.
pub struct Upstream {
    plan: Plan,
    started: Instant,
    faults: Mutex<Faults>,
    witness: Mutex<Witness>,
    slots: Semaphore,
    waiting: AtomicU32,
    load: Lagging<LoadReport>,
    random: Mutex<rand_chacha::ChaCha8Rng>,
    http: client::Http,
    changed: Notify,
}

impl Upstream {
    /// An upstream that has not served yet.
    pub fn new(plan: Plan) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            faults: Mutex::default(),
            witness: Mutex::default(),
            slots: Semaphore::new(plan.slots as usize),
            waiting: AtomicU32::new(0),
            load: Lagging::new(LOAD_LAG),
            random: Mutex::new(rand::SeedableRng::seed_from_u64(plan.seed)),
            http: client::new(),
            changed: Notify::new(),
            plan,
        })
    }

    /// Serves calls and the load endpoint until told to stop, then finishes what is in flight.
    pub async fn serve(self: Arc<Self>, stop: impl Future<Output = ()>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.plan.listen).await?;
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
                async move { Ok::<_, Infallible>(handle::call(&upstream, request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(graceful.watch(connection));
        }
        graceful.shutdown().await;
        Ok(())
    }

    /// Its control endpoint.
    pub fn control(self: &Arc<Self>) -> impl poem::Endpoint + 'static {
        Route::new().at("/control", post(control)).at("/witness", get(seen)).data(self.clone())
    }

    /// Tells the node beside it that it takes no more work.
    pub fn drain(&self) {
        lock(&self.faults).drain = true;
        self.changed.notify_waiters();
    }

    /// What the load endpoint says, which may be late or a lie.
    fn told_load(&self) -> LoadReport {
        let honest = self.report();
        let late = self.load.pass(honest);
        let faults = lock(&self.faults);
        match (faults.lie, faults.lag) {
            (Some(busy), _) => LoadReport { busy, waiting: 0, slots: self.plan.slots },
            (None, true) => late,
            (None, false) => honest,
        }
    }

    fn report(&self) -> LoadReport {
        let busy = self.plan.slots - self.slots.available_permits() as u32;
        LoadReport { busy, waiting: self.waiting.load(Ordering::Relaxed), slots: self.plan.slots }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[handler]
fn control(upstream: Data<&Arc<Upstream>>, Json(faults): Json<Faults>) -> Json<Faults> {
    *lock(&upstream.faults) = faults.clone();
    upstream.changed.notify_waiters();
    Json(faults)
}

#[handler]
fn seen(upstream: Data<&Arc<Upstream>>) -> Json<Witness> {
    Json(lock(&upstream.witness).clone())
}
