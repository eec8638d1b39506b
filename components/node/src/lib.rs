//! The node: one small process beside each upstream.
//!
//! A node is on the path of a call twice. As the entry it takes calls from callers outside and from its own upstream,
//! decides where to send them, whether to send them at all, and whether to try again. As the guard it stands in front
//! of its own upstream and decides what runs, what waits and what is refused. The modules are laid out by life span:
//! what lives for a request, a connection, a version of the configuration, or the process.

mod connection;
mod control;
mod process;
mod request;
mod version;

pub use process::{Error, Node, Stopped};
