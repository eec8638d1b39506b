//! Socket options that bound what the kernel keeps of a connection.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};

/// Bounds the queues of connections that are accepted from a listener; the kernel takes about twice as much. The bounds
/// hold from a connection's first byte on, also before it is accepted.
pub fn limit_queues(listener: &TcpSocket, received: usize, sent: Option<usize>) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(received)?;
    sent.map_or(Ok(()), |sent| socket.set_send_buffer_size(sent))
}

/// Bounds what the kernel keeps of what has arrived and was not read; it takes about twice as much.
pub fn limit_receive_buffer(stream: &TcpStream, bytes: usize) -> io::Result<()> {
    SockRef::from(stream).set_recv_buffer_size(bytes)
}

/// Bounds what the kernel keeps of what was written and is not acknowledged yet; it takes about twice as much.
pub fn limit_send_buffer(stream: &TcpStream, bytes: usize) -> io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(bytes)
}

/// Lets the kernel discard what was written and not read when the connection is closed.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
