//! Connections to other nodes and to the local upstream.

pub mod count;
pub mod peers;
pub mod upstream;

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};

/// Connects to another node from this node's own address, by which the network identifies it.
pub async fn connect(from: IpAddr, to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if from.is_ipv4() == to.is_ipv4() {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = tokio::time::timeout(timeout, socket.connect(to)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
