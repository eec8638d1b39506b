//! The node of a deployment whose configuration and members are kept in a metadata store.
//!
//! A node is on the path of a call twice: as the entry on the machine where the call starts, and as the guard beside
//! the upstream that runs it. [`decide`] holds the decisions as functions of state, event and time; the other modules
//! are laid out by life span: what lives for a request, a connection, a version of the configuration, the process.
//! What a platform calls its headers, calls and records is behind [`platform::Platform`].

pub mod connection;
pub mod decide;
pub mod platform;
pub mod process;
pub mod request;
pub mod version;

pub use process::node::{Error, Node};
pub use process::place::Place;
