//! Connections to the control listeners of other nodes.

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
use crate::connection::count::CountedStream;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time until an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

struct Connection {
    client: peer::Client,
    driver: JoinHandle<Result<(), Error>>,
    last_used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Pool of connections, opened on demand.
pub struct ClientPool {
    connections: RefCell<HashMap<SocketAddr, Connection>>,
    from: IpAddr,
    read: IntCounter,
    written: IntCounter,
}

impl ClientPool {
    /// Creates an empty pool; connections are made from the address `from`, with counters for both directions.
    pub fn new(from: IpAddr, read: IntCounter, written: IntCounter) -> Self {
        Self { connections: RefCell::default(), from, read, written }
    }

    /// Client for the node at `address`.
    pub async fn get(&self, address: SocketAddr) -> Result<peer::Client, Error> {
        if let Some(client) = self.get_open(address) {
            return Ok(client);
        }
        let stream = connection::connect(self.from, address, CONNECT_TIMEOUT).await?;
        let (reader, writer) = self.count_bytes(stream).compat().split();
        let network = twoparty::VatNetwork::new(reader, writer, Side::Client, Default::default());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let driver = tokio::task::spawn_local(system);
        let connection = Connection { client: client.clone(), driver, last_used: Instant::now() };
        self.connections.borrow_mut().insert(address, connection);
        Ok(client)
    }

    /// Closes a failed connection.
    pub fn close(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    /// Closes connections that have ended or been unused for `IDLE_TIMEOUT`.
    pub fn close_idle(&self) {
        self.connections.borrow_mut().retain(|_, connection| {
            connection.last_used.elapsed() < IDLE_TIMEOUT && !connection.driver.is_finished()
        });
    }

    /// Wraps a connection with the byte counters.
    pub fn count_bytes(&self, stream: TcpStream) -> CountedStream<TcpStream> {
        CountedStream::new(stream, self.read.clone(), self.written.clone())
    }

    fn get_open(&self, address: SocketAddr) -> Option<peer::Client> {
        let mut connections = self.connections.borrow_mut();
        let connection =
            connections.get_mut(&address).filter(|connection| !connection.driver.is_finished())?;
        connection.last_used = Instant::now();
        Some(connection.client.clone())
    }
}
