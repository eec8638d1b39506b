//! Control traffic: membership, configuration and summaries, on a thread of its own.
//!
//! Nodes use capnp-rpc over TCP. All state that the request path needs is in `Shared`; the tasks here keep it current.

mod claims;
mod clients;
mod exchange;
mod follow;
mod gossip;
mod join;
mod server;
mod suspects;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use journal::Log;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;
use units::{Clock, NodeId};

use crate::process::control_channel::ControlReceiver;
use crate::process::shards::lock;
use crate::process::shared::Shared;
use clients::ClientPool;

/// Time limit for the last messages of a leaving node.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// State shared by the tasks of the control thread.
pub struct Control<C: Clock, L: Log> {
    shared: Arc<Shared<C>>,
    log: L,
    clients: ClientPool,
    random: RefCell<ChaCha8Rng>,
    /// Whether a configuration is being pulled.
    pulling: Cell<bool>,
    /// Time of the last pull of a domain whose digest differed.
    last_repair: Cell<Instant>,
    /// Suspects to be sent in gossip messages.
    suspect_queue: RefCell<suspects::GossipQueue>,
}

impl<C: Clock, L: Log> Control<C, L> {
    fn node(&self) -> &NodeId {
        &self.shared.settings.node
    }
}

/// Starts the control thread, which runs until it is stopped and, before it ends, announces that the node leaves.
pub fn spawn<C: Clock, L: Log>(
    shared: Arc<Shared<C>>,
    log: L,
    listener: std::net::TcpListener,
    requests: ControlReceiver,
    leave: watch::Receiver<bool>,
) -> std::io::Result<thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, run(shared, log, listener, requests, leave));
    })
}

async fn run<C: Clock, L: Log>(
    shared: Arc<Shared<C>>,
    log: L,
    listener: std::net::TcpListener,
    requests: ControlReceiver,
    mut leave: watch::Receiver<bool>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let read = shared.metrics.control_bytes("received");
    let written = shared.metrics.control_bytes("sent");
    let seed = lock(&shared.members).own().incarnation.0;
    let control = Rc::new(Control {
        clients: ClientPool::new(shared.settings.listen.control.ip(), read, written),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        pulling: Cell::new(false),
        last_repair: Cell::new(Instant::now()),
        suspect_queue: RefCell::default(),
        shared,
        log,
    });
    tokio::task::spawn_local(server::listen(control.clone(), listener));
    tokio::task::spawn_local(suspects::run(control.clone(), requests.suspects));
    tokio::task::spawn_local(claims::run(control.clone(), requests.claims));
    join::join(&control).await;
    tokio::task::spawn_local(join::contact_seeds(control.clone()));
    tokio::task::spawn_local(gossip::probe_members(control.clone()));
    tokio::task::spawn_local(gossip::push_own_changes(control.clone()));
    tokio::task::spawn_local(exchange::run(control.clone()));
    tokio::task::spawn_local(follow::run(control.clone()));
    let _ = leave.wait_for(|leave| *leave).await;
    let _ = tokio::time::timeout(LEAVE_TIMEOUT, announce_leave(&control)).await;
}

async fn announce_leave<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let own = {
        let mut table = lock(&control.shared.members);
        table.leave();
        table.own().clone()
    };
    gossip::push(control, vec![own], Vec::new()).await;
    join::append_record(control).await;
}
