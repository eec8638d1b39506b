//! Options of sockets that tell a connection that has gone silent from one that is quiet.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

/// Time that sent bytes may stay unacknowledged.
const UNACKED: Duration = Duration::from_millis(1_500);
/// Time between probes of a quiet connection, and how many may stay unanswered.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Connects within `patience`, from the address `from` where one is given.
pub async fn connect(
    from: Option<IpAddr>,
    to: SocketAddr,
    patience: Duration,
) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(from) = from {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = tokio::time::timeout(patience, socket.connect(to)).await??;
    watch(&stream)?;
    Ok(stream)
}

/// Sets the options on a connection that was made or taken.
pub fn watch(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKED))
}
