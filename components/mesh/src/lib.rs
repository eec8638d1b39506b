//! Node of a deployment whose configuration and membership are kept in a metadata store.
//!
//! A call passes through two nodes: the entry, on the machine where the call starts, and the guard, beside the upstream
//! that runs it. [`decide`] holds the decisions as pure functions of state, event and time; the other modules are
//! grouped by lifetime: request, connection, configuration version and process. Header names, upstream messages and
//! store calls of a particular platform are behind [`platform::Platform`].

pub mod configuration;
pub mod connection;
pub mod decide;
pub mod platform;
pub mod process;
pub mod request;

pub use process::node::{Error, Node};
pub use process::settings::NodeSettings;
