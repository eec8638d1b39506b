//! Control traffic: membership, configuration and summaries, on a thread of its own.
//!
//! Nodes talk capnp-rpc over TCP. All state that the request path needs is in `Shared`; what is here only moves it.

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

use crate::process::mailbox::Inbox;
use crate::process::shards::lock;
use crate::process::shared::Shared;
use clients::Clients;

/// Time for the last messages of a node that leaves.
const FAREWELL: Duration = Duration::from_millis(300);

/// What the tasks of the control thread share.
pub struct Control<C: Clock, L: Log> {
    shared: Arc<Shared<C>>,
    log: L,
    clients: Clients,
    random: RefCell<ChaCha8Rng>,
    /// Peer that a configuration is being pulled from.
    pulling: Cell<bool>,
    /// When this node last pulled a domain whose digest differed.
    repaired: Cell<Instant>,
    /// Suspects that ride on gossip messages.
    suspects: RefCell<suspects::Outbox>,
}

impl<C: Clock, L: Log> Control<C, L> {
    fn node(&self) -> &NodeId {
        &self.shared.settings.node
    }
}

/// Runs the control traffic until told to stop; the node has said farewell when the thread ends.
pub fn spawn<C: Clock, L: Log>(
    shared: Arc<Shared<C>>,
    log: L,
    listener: std::net::TcpListener,
    inbox: Inbox,
    leave: watch::Receiver<bool>,
) -> std::io::Result<thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, run(shared, log, listener, inbox, leave));
    })
}

async fn run<C: Clock, L: Log>(
    shared: Arc<Shared<C>>,
    log: L,
    listener: std::net::TcpListener,
    inbox: Inbox,
    mut leave: watch::Receiver<bool>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let read = shared.metrics.control("received");
    let written = shared.metrics.control("sent");
    let seed = lock(&shared.table).own().incarnation.0;
    let control = Rc::new(Control {
        clients: Clients::new(shared.settings.listen.control.ip(), read, written),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        pulling: Cell::new(false),
        repaired: Cell::new(Instant::now()),
        suspects: RefCell::default(),
        shared,
        log,
    });
    tokio::task::spawn_local(server::listen(control.clone(), listener));
    tokio::task::spawn_local(suspects::keep_telling(control.clone(), inbox.news));
    tokio::task::spawn_local(claims::keep_settling(control.clone(), inbox.claims));
    join::once(&control).await;
    tokio::task::spawn_local(join::keep_in_touch(control.clone()));
    tokio::task::spawn_local(gossip::keep_probing(control.clone()));
    tokio::task::spawn_local(gossip::keep_telling(control.clone()));
    tokio::task::spawn_local(exchange::keep_exchanging(control.clone()));
    tokio::task::spawn_local(follow::keep_following(control.clone()));
    let _ = leave.wait_for(|leave| *leave).await;
    let _ = tokio::time::timeout(FAREWELL, farewell(&control)).await;
}

async fn farewell<C: Clock, L: Log>(control: &Rc<Control<C, L>>) {
    let own = {
        let mut table = lock(&control.shared.table);
        table.leave();
        table.own().clone()
    };
    gossip::push(control, vec![own], Vec::new()).await;
    join::record(control).await;
}
