//! Connections to upstreams and other nodes.

pub mod pool;
pub mod socket;
