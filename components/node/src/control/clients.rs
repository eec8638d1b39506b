//! Connections to the control side of other nodes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures_util::AsyncReadExt;
use prometheus::IntCounter;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::control_capnp::peer;

use crate::connection;
use crate::connection::count::Counted;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time until a connection that nobody uses is closed.
const IDLE: Duration = Duration::from_secs(120);

struct Entry {
    client: peer::Client,
    driver: JoinHandle<Result<(), Error>>,
    used: Instant,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connections, opened when needed and kept for a while.
pub struct Clients {
    entries: RefCell<HashMap<SocketAddr, Entry>>,
    from: IpAddr,
    read: IntCounter,
    written: IntCounter,
}

impl Clients {
    /// No connections; they will be made from the address `from`, and bytes counted on these two counters.
    pub fn new(from: IpAddr, read: IntCounter, written: IntCounter) -> Self {
        Self { entries: RefCell::default(), from, read, written }
    }

    /// A client of the node at `address`.
    pub async fn get(&self, address: SocketAddr) -> Result<peer::Client, Error> {
        if let Some(client) = self.open(address) {
            return Ok(client);
        }
        let stream = connection::connect(self.from, address, CONNECT_TIMEOUT).await?;
        let (reader, writer) = self.counted(stream).compat().split();
        let network = twoparty::VatNetwork::new(reader, writer, Side::Client, Default::default());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let driver = tokio::task::spawn_local(system);
        let entry = Entry { client: client.clone(), driver, used: Instant::now() };
        self.entries.borrow_mut().insert(address, entry);
        Ok(client)
    }

    /// Closes a connection that failed.
    pub fn forget(&self, address: SocketAddr) {
        self.entries.borrow_mut().remove(&address);
    }

    /// Closes connections that nobody has used for a while.
    pub fn sweep(&self) {
        self.entries
            .borrow_mut()
            .retain(|_, entry| entry.used.elapsed() < IDLE && !entry.driver.is_finished());
    }

    /// A connection whose bytes are counted.
    pub fn counted(&self, stream: TcpStream) -> Counted<TcpStream> {
        Counted::new(stream, self.read.clone(), self.written.clone())
    }

    fn open(&self, address: SocketAddr) -> Option<peer::Client> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&address).filter(|entry| !entry.driver.is_finished())?;
        entry.used = Instant::now();
        Some(entry.client.clone())
    }
}
