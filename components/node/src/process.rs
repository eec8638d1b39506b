//! State and tasks of the process.

pub mod admin;
pub mod admission;
pub mod call_stats;
pub mod control_channel;
pub mod metrics;
pub mod report;
pub mod routes;
pub mod serve;
pub mod shards;
pub mod shared;
mod start;
pub mod upstream;
pub mod upstream_watch;

pub use start::{Error, Node, Stopped};
