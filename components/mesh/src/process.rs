//! What lives as long as the process.

pub mod control;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod gate;
pub mod intake;
pub mod metrics;
pub mod node;
pub mod place;
pub mod serve;
pub mod shared;
pub mod upstream;
