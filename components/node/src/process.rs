//! What lives for the process.

pub mod admin;
pub mod announce;
pub mod gate;
pub mod ledger;
pub mod mailbox;
pub mod members;
pub mod metrics;
pub mod report;
pub mod serve;
pub mod shards;
pub mod shared;
mod start;
pub mod upstream;

pub use start::{Error, Node, Stopped};
