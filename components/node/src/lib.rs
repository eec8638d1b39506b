//! The node: a sidecar proxy, one process beside each upstream.
//!
//! A node has two roles. As the entry node it accepts calls from external callers and from its own upstream, picks the
//! node to send each one to, and decides whether to send and to retry it. In front of its own upstream it applies
//! admission control: it decides what runs, what waits and what is refused. The modules are grouped by the lifetime of
//! their state: a request, a connection, a version of the configuration, or the process.

mod connection;
mod control;
mod process;
mod request;
mod version;

pub use process::{Error, Node, Stopped};
