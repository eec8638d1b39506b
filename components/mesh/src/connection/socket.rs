//! Socket options that detect a dead peer.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

/// Longest time that sent data may stay unacknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between TCP keepalive probes, and how many may stay unanswered.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Connects within `timeout`, from the local address `from` if one is given.
pub async fn connect(
    from: Option<IpAddr>,
    to: SocketAddr,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(from) = from {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = tokio::time::timeout(timeout, socket.connect(to)).await??;
    set_options(&stream)?;
    Ok(stream)
}

/// Sets the options on an established connection.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
