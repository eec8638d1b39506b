//! What lives for a connection.

pub mod pool;
pub mod socket;
