//! A connection with byte counters.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use prometheus::IntCounter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counts the bytes read from and written to a connection.
pub struct CountedStream<S> {
    inner: S,
    read: IntCounter,
    written: IntCounter,
}

impl<S> CountedStream<S> {
    /// Wraps a connection with counters for both directions.
    pub fn new(inner: S, read: IntCounter, written: IntCounter) -> Self {
        Self { inner, read, written }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(task, buffer);
        self.read.inc_by((buffer.filled().len() - before) as u64);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(task, bytes);
        if let Poll::Ready(Ok(size)) = polled {
            self.written.inc_by(size as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(task)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(task)
    }
}
