//! What a platform gives the node: names of headers, announcements of upstreams, the configuration, and a store.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, Method};
use quick_error::quick_error;
use units::Clock;

use crate::version::Configuration;

quick_error! {
    /// Why the store gave nothing.
    #[derive(Debug)]
    pub enum StoreError {
        /// It refused the call, and nothing was done.
        Refused(status: u16) {
            display("the store refused: {}", status)
        }
        /// No answer came; a write may have been done.
        Lost(why: String) {
            display("no answer of the store: {}", why)
        }
        /// The records that were asked for are gone.
        Trimmed {
            display("the records asked for are gone")
        }
        /// The answer can't be read.
        Unreadable(why: String) {
            display("unreadable answer of the store: {}", why)
        }
    }
}

/// Names of the headers that a platform's callers and upstreams use.
#[derive(Debug, Clone)]
pub struct Headers {
    /// Id of one attempt of a caller.
    pub id: HeaderName,
    /// Milliseconds that the caller waits.
    pub deadline: HeaderName,
    /// Upstream that alone may run the request.
    pub pin: HeaderName,
    /// Service of the machine where the request began.
    pub caller: HeaderName,
    /// The upstream did not run the request.
    pub unrun: HeaderName,
}

/// State that an upstream says it is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Beat {
    /// Id of its incarnation.
    pub id: String,
    /// Milliseconds since the epoch at its start.
    pub born: u64,
    /// Number of the beat in its life.
    pub sequence: u64,
    /// Service it belongs to.
    pub service: String,
    /// Address it serves on.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// State.
    pub state: State,
    /// Time that it is still slow after its start.
    pub cold: Duration,
}

/// An upstream's message to the node beside it.
#[derive(Debug, Clone, PartialEq)]
pub enum Announcement {
    /// It is there.
    Beat(Beat),
    /// It leaves.
    Leave {
        /// Id of its incarnation.
        id: String,
    },
}

/// A configuration in the store.
#[derive(Debug, Clone)]
pub struct Found {
    /// As it was written.
    pub bytes: Bytes,
    /// Where to go on reading.
    pub next: u64,
}

/// What the node needs of its platform.
pub trait Platform: Send + Sync + 'static {
    /// The clock.
    type Clock: Clock;

    /// The clock.
    fn clock(&self) -> &Self::Clock;

    /// Names of headers.
    fn headers(&self) -> &Headers;

    /// Decodes a message of an upstream.
    fn announcement(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Announcement, String>;

    /// Decodes a configuration and checks it whole.
    fn configuration(&self, bytes: &[u8]) -> Result<Configuration, String>;

    /// The newest configuration in the store, and where to go on reading.
    fn newest(&self) -> impl Future<Output = Result<(Option<Found>, u64), StoreError>> + Send;

    /// Waits for a configuration written at `from` or later; none when nothing came in `wait`.
    fn follow(
        &self,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<(Option<Found>, u64), StoreError>> + Send;

    /// Records that nodes keep in the store.
    fn records(&self) -> impl Future<Output = Result<Vec<Bytes>, StoreError>> + Send;

    /// Keeps a record under a node's name.
    fn keep(
        &self,
        node: &str,
        record: Vec<u8>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
